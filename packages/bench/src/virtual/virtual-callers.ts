import {type RandomSource} from '@pistachiogauge/decisions';
import {type RequestClass, type RequestResult, type ServiceRequest} from '@pistachiogauge/model';
import {chooseSkewMs, startWallTime} from './virtual-clock.js';
import {type VirtualEntry, type Simulation} from './simulation.js';

/** Properties of one request of a caller. */
export type RequestOptions = {
	readonly service: string;
	readonly requestClass: RequestClass;
	readonly isIdempotent: boolean;
	readonly deadlineMs: number;
	/** Idempotency key of an earlier request; by default a new key is created. */
	readonly key?: string;
	/** Body of the request; unique by default. */
	readonly body?: string;
	readonly runMs?: number;
	readonly team?: string;
};

/** A request of a caller with its result. */
export type SentRequest = {
	readonly options: RequestOptions;
	readonly entry: VirtualEntry;
	readonly request: ServiceRequest;
	/** Virtual time in ms. */
	readonly sentAt: number;
	result: RequestResult | undefined;
	answeredAt: number | undefined;
	hasHungUp: boolean;
};

/** Callers of a run. */
export type VirtualCallers = {
	/** All requests of the run, in the order in which they were sent. */
	readonly requests: readonly SentRequest[];
	readonly requestsById: ReadonlyMap<string, SentRequest>;
	send(entry: VirtualEntry, options: RequestOptions): SentRequest;
	hangUp(sent: SentRequest): void;
	recordAnswer(requestId: string, result: RequestResult): void;
};

const encoder = new TextEncoder();

/** Creates the callers; each request comes from a machine whose wall clock has its own skew. */
export function createVirtualCallers(simulation: Simulation): VirtualCallers {
	const {random, queue} = simulation;
	const requests: SentRequest[] = [];
	const requestsById = new Map<string, SentRequest>();
	return {
		requests,
		requestsById,
		send(entry, options) {
			const number = requests.length + 1;
			const request: ServiceRequest = {
				requestId: `r${number}`,
				service: options.service,
				method: options.isIdempotent ? 'GET' : 'POST',
				path: '/print',
				headers: options.runMs === undefined ? [] : [['x-run-ms', String(options.runMs)]],
				body: encoder.encode(options.body ?? `job-${number}`),
				mode: 'direct',
				requestClass: options.requestClass,
				team: options.team ?? 'desk',
				isIdempotent: options.isIdempotent,
				key: options.isIdempotent ? undefined : options.key ?? createKey(random, startWallTime + queue.now + chooseSkewMs(random)),
				timeLeftMs: options.deadlineMs,
			};
			const sent: SentRequest = {
				options, entry, request, sentAt: queue.now, result: undefined, answeredAt: undefined, hasHungUp: false,
			};
			requests.push(sent);
			requestsById.set(request.requestId, sent);
			simulation.observe({kind: 'request-sent', entry, request});
			simulation.deliver(entry, {kind: 'request-received', request});
			return sent;
		},
		hangUp(sent) {
			if (sent.result === undefined && !sent.hasHungUp) {
				sent.hasHungUp = true;
				simulation.deliver(sent.entry, {kind: 'caller-gone', requestId: sent.request.requestId});
			}
		},
		recordAnswer(requestId, result) {
			const sent = requestsById.get(requestId);
			if (sent !== undefined && sent.result === undefined) {
				sent.result = result;
				sent.answeredAt = queue.now;
			}
		},
	};
}

/** Creates a UUIDv7 (RFC 9562, section 5.7) from seeded random numbers. */
export function createKey(random: RandomSource, wallTime: number): string {
	const time = Math.floor(wallTime).toString(16).padStart(12, '0');
	const drawDigits = () => random.getInteger(2 ** 24).toString(16).padStart(6, '0');
	const digits = `${drawDigits()}${drawDigits()}${drawDigits()}`;
	return `${time.slice(0, 8)}-${time.slice(8)}-7${digits.slice(0, 3)}-8${digits.slice(3, 6)}-${digits.slice(6, 18)}`;
}
