import {
	type AttemptFailure, type EffectOf, type HeaderList, type InputEvent,
} from '@pistachiogauge/model';
import {Pool, request, type Dispatcher} from 'undici';

/** @public */
export type EndpointClientOptions = {
	readonly pushEvent: (event: InputEvent) => void;
	/** Monotonic time in milliseconds, on the same clock as `notAfter` of an attempt. */
	readonly getNow: () => number;
	readonly answerLimitBytes: number;
};

/** @public */
export type EndpointClient = {
	/** Sends one attempt; its outcome is reported as an `endpoint-answered` or `endpoint-failed` event. */
	sendAttempt(effect: EffectOf<'send-endpoint'>): void;
	/** Runs a health check of an endpoint over a new connection; its outcome is reported as a `probe-ended` event. */
	probeEndpoint(effect: EffectOf<'probe-endpoint'>): void;
	stop(): Promise<void>;
};

/** An endpoint accepts 64 connections from all entries together, so even four successive owners of its pool stay within the limit. */
const connectionsPerEndpoint = 16;
/** Shorter than the idle time after which common middleboxes drop the state of a connection. */
const idleTimeoutMs = 25_000;
const connectTimeoutMs = 1000;
const probeTimeoutMs = 1000;

/** Headers of an answer that apply to one connection only or that the entry sets itself. */
const droppedHeaders: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length', 'trailer', 'upgrade']);

/** Creates the client for requests to endpoints. @public */
export function createEndpointClient(options: EndpointClientOptions): EndpointClient {
	const connectionPools = new Map<string, Pool>();

	function getConnectionPool(address: string): Pool {
		const known = connectionPools.get(address);
		if (known !== undefined) {
			return known;
		}

		const created = new Pool(`http://${address}`, {
			connections: connectionsPerEndpoint,
			pipelining: 1,
			keepAliveTimeout: idleTimeoutMs,
			keepAliveMaxTimeout: idleTimeoutMs,
			headersTimeout: 0,
			bodyTimeout: 0,
			connect: {timeout: connectTimeoutMs},
		});
		connectionPools.set(address, created);
		return created;
	}

	/** Makes later requests use new connections; requests on the old connections continue until they end. */
	function removeConnectionPool(address: string): void {
		const pool = connectionPools.get(address);
		connectionPools.delete(address);
		void pool?.close().catch(() => undefined);
	}

	return {
		sendAttempt(effect) {
			const {attemptId, address, request: {method, path, headers, body}} = effect;
			const attempt = new AttemptHandler(effect, options, () => {
				removeConnectionPool(address);
			});
			try {
				getConnectionPool(address).dispatch({
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
			await Promise.all([...connectionPools.values()].map(async pool => pool.destroy()));
		},
	};
}

/** Receives undici's callbacks for one attempt and reports its outcome exactly once. */
class AttemptHandler implements Dispatcher.DispatchHandler {
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

	/** `onTimeout` is called when a sent request was not answered in time; other connections to the same address may be stalled too. */
	constructor(effect: EffectOf<'send-endpoint'>, options: EndpointClientOptions, onTimeout: () => void) {
		this.#effect = effect;
		this.#options = options;
		this.#timer = setTimeout(() => {
			this.#isTimedOut = true;
			if (this.#isStarted) {
				onTimeout();
			}

			this.#reportFailure(this.#isStarted ? 'answer-timeout' : 'not-sent');
			this.#controller?.abort(new Error('the endpoint did not answer within the timeout'));
		}, effect.timeoutMs);
	}

	/** Undici calls this right before it writes the first byte, so aborting here guarantees that nothing was sent. */
	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#hasEnded || this.#options.getNow() >= this.#effect.notAfter) {
			controller.abort(new Error('the time until which the request may be sent has passed'));
			this.#reportFailure('not-sent');
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
			this.#reportFailure('answer-truncated');
			controller.abort(new Error('the answer exceeds the size limit'));
			return;
		}

		this.#chunks.push(chunk);
	}

	onResponseEnd(): void {
		if (this.#markEnded()) {
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
			this.#reportFailure('not-sent');
			return;
		}

		this.#reportFailure(this.#status === 0 ? 'connection-lost' : 'answer-truncated');
	}

	#reportFailure(failure: AttemptFailure): void {
		if (this.#markEnded()) {
			this.#options.pushEvent({kind: 'endpoint-failed', attemptId: this.#effect.attemptId, failure});
		}
	}

	#markEnded(): boolean {
		const isFirst = !this.#hasEnded;
		this.#hasEnded = true;
		clearTimeout(this.#timer);
		return isFirst;
	}
}
