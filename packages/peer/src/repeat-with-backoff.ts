const pauseMinMs = 50;
const pauseMaxMs = 1000;

/**
Runs a job again and again until the signal is aborted.

The pause between runs doubles up to a second, with jitter so that the entries do not return all at once, and starts small again after a long run.

@internal
*/
export async function repeatWithBackoff(job: () => Promise<void>, signal: AbortSignal, reportError: (error: unknown) => void): Promise<void> {
	let pauseMs = pauseMinMs;
	while (!signal.aborted) {
		const startedAt = performance.now();
		try {
			// eslint-disable-next-line no-await-in-loop
			await job();
		} catch (error) {
			reportError(error);
		}

		const wasLong = performance.now() - startedAt > pauseMaxMs;
		pauseMs = wasLong ? pauseMinMs : Math.min(pauseMs * 2, pauseMaxMs);
		// eslint-disable-next-line no-await-in-loop
		await waitFor(pauseMs * (0.5 + Math.random()), signal);
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
