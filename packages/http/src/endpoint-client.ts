import {
	type AttemptFailure, type EffectOf, type HeaderList, type InputEvent,
} from '@pistachiogauge/model';
import {Pool, request, type Dispatcher} from 'undici';

/** @public */
export type EndpointClientOptions = {
	readonly pushEvent: (event: InputEvent) => void;
	/** Monotonic milliseconds, by the clock that `notAfter` counts in. */
	readonly getNow: () => number;
	readonly answerLimitBytes: number;
};

/** @public */
export type EndpointClient = {
	/** Sends one attempt; its end comes as `endpoint-answered` or `endpoint-failed`. */
	sendAttempt(effect: EffectOf<'send-endpoint'>): void;
	/** Asks an endpoint over a fresh connection whether it serves. */
	probeEndpoint(effect: EffectOf<'probe-endpoint'>): void;
	stop(): Promise<void>;
};

/** Connections to one worker. Sixty-four are allowed over all entries; even four successive owners together stay within. */
const connectionsPerWorker = 16;
/** Below the idle time after which common middleboxes forget a connection. */
const idleLimitMs = 25_000;
const connectTimeoutMs = 1000;
const probeTimeoutMs = 1000;

/** Headers that belong to one connection, or that are set anew. */
const droppedHeaders: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length', 'trailer', 'upgrade']);

/** Creates the client for requests to endpoints. @public */
export function createEndpointClient(options: EndpointClientOptions): EndpointClient {
	const pools = new Map<string, Pool>();

	function getPool(address: string): Pool {
		const known = pools.get(address);
		if (known !== undefined) {
			return known;
		}

		const created = new Pool(`http://${address}`, {
			connections: connectionsPerWorker,
			pipelining: 1,
			keepAliveTimeout: idleLimitMs,
			keepAliveMaxTimeout: idleLimitMs,
			headersTimeout: 0,
			bodyTimeout: 0,
			connect: {timeout: connectTimeoutMs},
		});
		pools.set(address, created);
		return created;
	}

	/** Opens new connections from now on; requests on the old ones go on until they end. */
	function removePool(address: string): void {
		const pool = pools.get(address);
		pools.delete(address);
		void pool?.close().catch(() => undefined);
	}

	return {
		sendAttempt(effect) {
			const {attemptId, address, request: {method, path, headers, body}} = effect;
			const attempt = new Attempt(effect, options, () => {
				removePool(address);
			});
			try {
				getPool(address).dispatch({
					method,
					path,
					headers: [...headers.flat(), 'pistachiogauge-request-id', effect.request.requestId],
					body: body.length > 0 ? body : undefined,
				}, attempt);
			} catch {
				options.pushEvent({kind: 'endpoint-failed', attemptId, failure: 'not-sent'});
			}
		},
		probeEndpoint({instanceId, address}) {
			void (async () => {
				let isHealthy = false;
				try {
					const answer = await request(`http://${address}/healthz`, {headersTimeout: probeTimeoutMs, bodyTimeout: probeTimeoutMs, reset: true});
					await answer.body.dump();
					isHealthy = answer.statusCode === 200;
				} catch {
					isHealthy = false;
				}

				options.pushEvent({kind: 'probe-ended', instanceId, isHealthy});
			})();
		},
		async stop() {
			await Promise.all([...pools.values()].map(async pool => pool.destroy()));
		},
	};
}

/** One attempt, as undici reports on it. */
class Attempt implements Dispatcher.DispatchHandler {
	readonly #effect: EffectOf<'send-endpoint'>;
	readonly #options: EndpointClientOptions;
	readonly #timer: NodeJS.Timeout;
	readonly #chunks: Uint8Array[] = [];
	#size = 0;
	#status = 0;
	readonly #headers: HeaderList = [];
	#isStarted = false;
	#hasEnded = false;
	#isTimedOut = false;
	#controller: Dispatcher.DispatchController | undefined;

	/** `onTimeout` is told that the connection has carried no answer in time; others that were opened with it may be silent as well. */
	constructor(effect: EffectOf<'send-endpoint'>, options: EndpointClientOptions, onTimeout: () => void) {
		this.#effect = effect;
		this.#options = options;
		this.#timer = setTimeout(() => {
			this.#isTimedOut = true;
			if (this.#isStarted) {
				onTimeout();
			}

			this.#fail(this.#isStarted ? 'answer-timeout' : 'not-sent');
			this.#controller?.abort(new Error('no answer in time'));
		}, effect.timeoutMs);
	}

	/** Undici calls this right before it writes the first byte, so an abort here proves that nothing was sent. */
	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#hasEnded || this.#options.getNow() >= this.#effect.notAfter) {
			controller.abort(new Error('the permission to send has run out'));
			this.#fail('not-sent');
			return;
		}

		this.#isStarted = true;
	}

	onResponseStart(_controller: Dispatcher.DispatchController, statusCode: number, headers: Record<string, string | string[] | undefined>): void {
		this.#status = statusCode;
		for (const [name, value] of Object.entries(headers)) {
			if (value === undefined || droppedHeaders.has(name)) {
				continue;
			}

			for (const item of [value].flat()) {
				this.#headers.push([name, item]);
			}
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		this.#size += chunk.length;
		if (this.#size > this.#options.answerLimitBytes) {
			this.#fail('answer-truncated');
			controller.abort(new Error('the answer is too large'));
			return;
		}

		this.#chunks.push(chunk);
	}

	onResponseEnd(): void {
		if (this.#finish()) {
			this.#options.pushEvent({
				kind: 'endpoint-answered', attemptId: this.#effect.attemptId, status: this.#status, headers: this.#headers, body: Buffer.concat(this.#chunks),
			});
		}
	}

	onResponseError(): void {
		if (this.#isTimedOut) {
			return;
		}

		if (!this.#isStarted) {
			this.#fail('not-sent');
			return;
		}

		this.#fail(this.#status === 0 ? 'connection-lost' : 'answer-truncated');
	}

	#fail(failure: AttemptFailure): void {
		if (this.#finish()) {
			this.#options.pushEvent({kind: 'endpoint-failed', attemptId: this.#effect.attemptId, failure});
		}
	}

	#finish(): boolean {
		const isFirst = !this.#hasEnded;
		this.#hasEnded = true;
		clearTimeout(this.#timer);
		return isFirst;
	}
}
