import {
	type EffectOf, type InputEvent, type RequestClass, type RequestResult,
} from '@pistachiogauge/model';
import {type Logger, type Metrics} from '@pistachiogauge/telemetry';

/** Records metrics and log lines for the requests of an entry's own callers. @internal */
export type RequestObserver = {
	/** Called with each input event before the decisions handle it. */
	observeEvent(event: InputEvent): void;
	observeMessage(effect: EffectOf<'send-peer'>): void;
	observeResult(requestId: string, result: RequestResult): void;
	/** Records how late the tick fired, which is the time that every other event waits as well. */
	observeTick(now: number): void;
};

type OpenRequest = {
	readonly service: string;
	readonly requestClass: RequestClass;
	readonly startedAt: number;
	isForwarded: boolean;
};

/** Creates an observer. `getNow` returns monotonic milliseconds. @internal */
export function createRequestObserver(metrics: Metrics, log: Logger, getNow: () => number, tickIntervalMs: number): RequestObserver {
	const openRequests = new Map<string, OpenRequest>();
	let lastTickAt: number | undefined;
	const observers: {readonly [Kind in InputEvent['kind']]?: (event: Extract<InputEvent, {kind: Kind}>) => void} = {
		'request-received'({request}) {
			metrics.addCount('requests_received_total');
			openRequests.set(request.requestId, {
				service: request.service, requestClass: request.requestClass, startedAt: getNow(), isForwarded: false,
			});
		},
		'caller-gone'({requestId}) {
			metrics.addCount('callers_gone_total');
			openRequests.delete(requestId);
		},
	};

	return {
		observeEvent(event) {
			(observers[event.kind] as ((value: InputEvent) => void) | undefined)?.(event);
		},
		observeMessage({message}) {
			metrics.addCount(`peer_messages_sent_total{kind="${message.kind}"}`);
			const request = message.kind === 'forward' ? openRequests.get(message.request.requestId) : undefined;
			if (request !== undefined && !request.isForwarded) {
				request.isForwarded = true;
				metrics.addCount('requests_forwarded_total');
			}
		},
		observeResult(requestId, result) {
			metrics.addCount(`requests_${result.outcome.replace('-', '_')}_total`);
			if (result.reason !== undefined) {
				metrics.addCount(`requests_without_answer_total{reason="${result.reason}"}`);
			}

			const request = openRequests.get(requestId);
			if (request === undefined) {
				return;
			}

			openRequests.delete(requestId);
			const durationMs = getNow() - request.startedAt;
			metrics.recordValue(`request_duration_ms{class="${request.requestClass}"}`, durationMs);
			log('debug', 'request answered', {
				requestId,
				service: request.service,
				class: request.requestClass,
				isForwarded: request.isForwarded,
				outcome: result.outcome,
				reason: result.reason,
				status: result.status,
				durationMs: Math.round(durationMs),
			});
		},
		observeTick(now) {
			if (lastTickAt !== undefined) {
				metrics.recordValue('loop_delay_ms', now - lastTickAt - tickIntervalMs);
			}

			lastTickAt = now;
		},
	};
}
