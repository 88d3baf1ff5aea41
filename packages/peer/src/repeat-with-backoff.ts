const backoffMinMs = 50;
const backoffMaxMs = 1000;

/**
Repeats an operation until the signal is aborted.

The backoff between runs doubles up to one second and returns to its minimum after a run longer than that. Jitter keeps the entries from reconnecting all at once.

@internal
*/
export async function repeatWithBackoff(operation: () => Promise<void>, signal: AbortSignal, reportError: (error: unknown) => void): Promise<void> {
	let backoffMs = backoffMinMs;
	while (!signal.aborted) {
		const startedAt = performance.now();
		try {
			// eslint-disable-next-line no-await-in-loop
			await operation();
		} catch (error) {
			reportError(error);
		}

		const wasLong = performance.now() - startedAt > backoffMaxMs;
		backoffMs = wasLong ? backoffMinMs : Math.min(backoffMs * 2, backoffMaxMs);
		// eslint-disable-next-line no-await-in-loop
		await waitFor(backoffMs * (0.5 + Math.random()), signal);
	}
}

async function waitFor(delayMs: number, signal: AbortSignal): Promise<void> {
	return new Promise(resolve => {
		const finish = () => {
			clearTimeout(timer);
			signal.removeEventListener('abort', finish);
			resolve();
		};

		const timer = setTimeout(finish, delayMs);
		signal.addEventListener('abort', finish, {once: true});
	});
}
