import {type RandomSource} from '@pistachiogauge/decisions';
import {type RequestClass, type RequestResult, type ServiceRequest} from '@pistachiogauge/model';
import {createSkew, startWallTime} from './virtual-clock.js';
import {type VirtualEntry, type Simulation} from './world.js';

/** What a caller asks for. */
export type RequestOptions = {
	readonly service: string;
	readonly requestClass: RequestClass;
	readonly isIdempotent: boolean;
	readonly deadlineMs: number;
	/** Key of an earlier request; without one a new key is made. */
	readonly key?: string;
	/** Body of the request; without one it is unique. */
	readonly body?: string;
	readonly runMs?: number;
	readonly team?: string;
};

/** One request of a caller with its end. */
export type SentRequest = {
	readonly options: RequestOptions;
	readonly entry: VirtualEntry;
	readonly request: ServiceRequest;
	/** Virtual milliseconds. */
	readonly sentAt: number;
	result: RequestResult | undefined;
	answeredAt: number | undefined;
	hasHungUp: boolean;
};

/** The callers of a run. */
export type VirtualCallers = {
	/** Every request of the run, in order. */
	readonly requests: readonly SentRequest[];
	readonly byId: ReadonlyMap<string, SentRequest>;
	send(entry: VirtualEntry, plan: RequestOptions): SentRequest;
	hangUp(sent: SentRequest): void;
	recordAnswer(requestId: string, result: RequestResult): void;
};

const encoder = new TextEncoder();

/** Creates the callers; each request comes from a machine with a wall clock of its own. */
export function createVirtualCallers(world: Simulation): VirtualCallers {
	const {random, queue} = world;
	const requests: SentRequest[] = [];
	const byId = new Map<string, SentRequest>();
	return {
		requests,
		byId,
		send(entry, plan) {
			const number = requests.length + 1;
			const request: ServiceRequest = {
				requestId: `r${number}`,
				service: plan.service,
				method: plan.isIdempotent ? 'GET' : 'POST',
				path: '/print',
				headers: plan.runMs === undefined ? [] : [['x-run-ms', String(plan.runMs)]],
				body: encoder.encode(plan.body ?? `job-${number}`),
				mode: 'direct',
				requestClass: plan.requestClass,
				team: plan.team ?? 'desk',
				isIdempotent: plan.isIdempotent,
				key: plan.isIdempotent ? undefined : plan.key ?? createKey(random, startWallTime + queue.now + createSkew(random)),
				timeLeftMs: plan.deadlineMs,
			};
			const sent: SentRequest = {
				options: plan, entry, request, sentAt: queue.now, result: undefined, answeredAt: undefined, hasHungUp: false,
			};
			requests.push(sent);
			byId.set(request.requestId, sent);
			world.observe({kind: 'request-sent', entry, request});
			world.deliver(entry, {kind: 'request-received', request});
			return sent;
		},
		hangUp(sent) {
			if (sent.result === undefined && !sent.hasHungUp) {
				sent.hasHungUp = true;
				world.deliver(sent.entry, {kind: 'caller-gone', requestId: sent.request.requestId});
			}
		},
		recordAnswer(requestId, result) {
			const sent = byId.get(requestId);
			if (sent !== undefined && sent.result === undefined) {
				sent.result = result;
				sent.answeredAt = queue.now;
			}
		},
	};
}

/** Creates a UUIDv7 (RFC 9562, section 5.7) from seeded numbers. */
export function createKey(random: RandomSource, wallTime: number): string {
	const time = Math.floor(wallTime).toString(16).padStart(12, '0');
	const draw = () => random.getInteger(2 ** 24).toString(16).padStart(6, '0');
	const digits = `${draw()}${draw()}${draw()}`;
	return `${time.slice(0, 8)}-${time.slice(8)}-7${digits.slice(0, 3)}-8${digits.slice(3, 6)}-${digits.slice(6, 18)}`;
}
