import {createRandomSource, type RandomSource} from '@pistachiogauge/chain';
import {
	applyJobEvent, createJobsState, type CallerAnswer, type Configuration, type Endpoint, type JobEffect, type JobEvent, type JobSpec, type Member,
} from '@pistachiogauge/jobs';
import {createEventQueue, type EventQueue} from '../virtual/event-queue.js';
import {startWallTime} from '../virtual/virtual-clock.js';
import {createVirtualSinks} from './create-virtual-sinks.js';
import {createJobInvariantChecker, type JobInvariantChecker} from './job-invariant-checker.js';
import {type VirtualJobsEntry} from './virtual-jobs-entry.js';
import {createVirtualTaskEndpoint, type TaskBehaviour, type VirtualTaskEndpoint} from './virtual-task-endpoint.js';
import {createVirtualJobStore, type VirtualJobStore} from './virtual-job-store.js';
import {createVirtualNetwork, storeNode, type VirtualNetwork} from './virtual-network.js';

/** A simulation of entries, endpoints, machines and the store in virtual time. */
export type JobsSimulation = {
	readonly queue: EventQueue;
	readonly random: RandomSource;
	readonly entries: readonly VirtualJobsEntry[];
	readonly endpoints: Map<string, VirtualTaskEndpoint>;
	readonly store: VirtualJobStore;
	readonly network: VirtualNetwork;
	readonly checker: JobInvariantChecker;
	readonly answers: Map<string, CallerAnswer>;
	/** Share of orders to endpoints that get no answer and take effect seconds later. */
	lateOrderShare: number;
	isStoreUp: boolean;
	/** Submits a job at an entry and returns the job's id; the answer appears in `answers` under `submit-ID`. */
	submitJob(entry: VirtualJobsEntry, queue: string, spec: JobSpec, behaviour?: Partial<TaskBehaviour>): string;
	cancelJob(entry: VirtualJobsEntry, queue: string, jobId: string): void;
	killEntry(entry: VirtualJobsEntry, downMs: number): void;
	crashEndpoint(endpoint: VirtualTaskEndpoint, downMs: number): void;
	/** Lets an entry reach the store again; its watches then deliver what it has missed. */
	reconnectStore(entry: VirtualJobsEntry): void;
	/** Makes all watches lose their history, so that every entry lists the full state again. */
	loseWatchHistory(): void;
	runFor(ms: number): void;
};

export type JobsSimulationOptions = {
	readonly seed: number;
	readonly entryCount: number;
	readonly pools: Readonly<Record<string, number>>;
	readonly endpointCapacity: Endpoint['capacity'];
	/** Receives each line of the entries' logs, with virtual time and entry. */
	readonly onLine?: (line: string) => void;
};

const tickMs = 25;
const leaseTtlMs = 2000;
const renewMs = 500;
/** Bounds of the delay of one call, one answer and one watch event. */
const callDelayMs = {min: 1, max: 6} as const;

/** Creates a simulation with a queue `jobs-POOL` for each pool. */
export function createJobsSimulation({
	seed, entryCount, pools, endpointCapacity, onLine,
}: JobsSimulationOptions): JobsSimulation {
	const queue = createEventQueue();
	const random = createRandomSource(seed);
	const store = createVirtualJobStore();
	const network = createVirtualNetwork();
	const endpoints = new Map<string, VirtualTaskEndpoint>();
	const behaviours = new Map<string, Partial<TaskBehaviour>>();
	const answers = new Map<string, CallerAnswer>();
	let requestCount = 0;
	let incarnationCount = 0;
	const configuration: Configuration = {
		version: 1,
		queues: Object.keys(pools).map(pool => ({
			name: `jobs-${pool}`, host: 'jobs.example', prefix: `/${pool}/`, pool, priority: 0, attempts: 2, stretch: 1.6, latencyTargetMs: 600, advice: undefined,
		})),
		pools: Object.keys(pools).map(name => ({name, isSpare: false})),
		limits: {
			headerBytes: 16_384, bodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	};
	const checker = createJobInvariantChecker(queue);
	const chooseDelayMs = () => callDelayMs.min + (random.getFraction() * (callDelayMs.max - callDelayMs.min));

	const entries: VirtualJobsEntry[] = Array.from({length: entryCount}, (_unused, index) => ({
		node: `entry-${index + 1}`, incarnation: '', state: createJobsState({node: '', incarnation: '', orderLeaseMs: 3000}), isUp: false, isStoreReachable: true, pausedUntil: 0, leaseRenewedAt: 0, isRegistered: false,
	}));

	function deliver(entry: VirtualJobsEntry, event: JobEvent, incarnation = entry.incarnation): void {
		if (!entry.isUp || entry.incarnation !== incarnation) {
			return;
		}

		if (queue.now < entry.pausedUntil) {
			queue.add(entry.pausedUntil - queue.now, () => {
				deliver(entry, event, incarnation);
			});
			return;
		}

		for (const effect of applyJobEvent(entry.state, event, {now: queue.now, wallTime: startWallTime + queue.now, random})) {
			(sinks[effect.kind] as ((owner: VirtualJobsEntry, value: JobEffect) => void) | undefined)?.(entry, effect);
		}
	}

	function deliverLater(entry: VirtualJobsEntry, event: JobEvent, delayMs = chooseDelayMs()): void {
		const {incarnation} = entry;
		queue.add(delayMs, () => {
			deliver(entry, event, incarnation);
		});
	}

	const isStoreAvailable = (entry: VirtualJobsEntry) => simulation.isStoreUp && entry.isStoreReachable && network.canDeliver(entry.node, storeNode) && network.canDeliver(storeNode, entry.node);

	/** Delivers changes to all entries that reach the store; the others get the full state once they reach it again. */
	function publish(changes: readonly JobEvent[]): void {
		for (const change of changes) {
			for (const entry of entries) {
				if (isStoreAvailable(entry)) {
					deliverLater(entry, change);
				}
			}
		}
	}

	const sinks = createVirtualSinks({
		queue, random, store, network, endpoints, checker, answers, onLine, maxCallDelayMs: callDelayMs.max, chooseDelayMs, getLateOrderShare: () => simulation.lateOrderShare, isStoreAvailable, getMember, listEndpoints, deliver, deliverLater, publish,
	});

	function getMember({node, incarnation}: VirtualJobsEntry): Member {
		return {node, incarnation, weight: 1};
	}

	function listEndpoints(): Endpoint[] {
		return [...endpoints.values()].filter(endpoint => endpoint.isUp).map(endpoint => endpoint.registration);
	}

	function startEntry(entry: VirtualJobsEntry): void {
		incarnationCount += 1;
		entry.incarnation = `life-${incarnationCount}`;
		entry.state = createJobsState({node: entry.node, incarnation: entry.incarnation, orderLeaseMs: 3000});
		entry.isUp = true;
		entry.isRegistered = false;
		deliver(entry, {kind: 'configuration-changed', configuration});
		const {incarnation} = entry;
		const tick = () => {
			if (entry.incarnation === incarnation && entry.isUp) {
				deliver(entry, {kind: 'tick'});
				queue.add(tickMs, tick);
			}
		};

		const renew = () => {
			if (entry.incarnation !== incarnation || !entry.isUp) {
				return;
			}

			if (isStoreAvailable(entry) && queue.now >= entry.pausedUntil) {
				renewLease(entry);
			}

			queue.add(renewMs, renew);
		};

		tick();
		renew();
	}

	function renewLease(entry: VirtualJobsEntry): void {
		entry.leaseRenewedAt = queue.now;
		if (entry.isRegistered) {
			deliverLater(entry, {kind: 'session-renewed', validUntil: queue.now + leaseTtlMs, wallValidUntil: startWallTime + queue.now + leaseTtlMs});
			return;
		}

		if (entry.state.authority.sessionOpenedAt !== undefined) {
			deliverLater(entry, {kind: 'session-lost'}, 0);
		}

		entry.isRegistered = true;
		publish(store.register(getMember(entry)));
		deliverLater(entry, {kind: 'session-opened'});
		deliverLater(entry, {kind: 'store-reached'});
		deliverFullState(entry);
	}

	/** Delivers what an entry learns when it lists the full state. */
	function deliverFullState(entry: VirtualJobsEntry): void {
		deliverLater(entry, {kind: 'members-listed', members: [...store.members.values()]});
		deliverLater(entry, {kind: 'claims-listed', claims: [...store.claims.values()]});
		deliverLater(entry, {kind: 'endpoints-listed', endpoints: listEndpoints()});
		for (const pool of entry.state.ledger.pools.keys()) {
			for (const event of store.listInbox(pool)) {
				deliverLater(entry, event, callDelayMs.max);
			}
		}
	}

	/** Expires leases that were not renewed; no lease expires while the store is down. */
	function expireLeases(): void {
		for (const entry of entries) {
			if (simulation.isStoreUp && entry.isRegistered && queue.now > entry.leaseRenewedAt + leaseTtlMs) {
				entry.isRegistered = false;
				publish(store.endLease(entry.incarnation));
			}
		}

		queue.add(100, expireLeases);
	}

	let endpointCount = 0;
	function addEndpoint(pool: string): void {
		endpointCount += 1;
		const id = `endpoint-${endpointCount}`;
		const registration: Endpoint = {
			id, pool, address: id, zone: 'a', state: 'ready', capacity: endpointCapacity, labels: ['a', `rack-${endpointCount % 4}`], rack: `rack-${endpointCount % 4}`, startedAt: startWallTime + queue.now, remainingMs: undefined,
		};
		const getBehaviour = (taskId: string): TaskBehaviour => ({
			resources: checker.getStep(taskId)?.room ?? endpointCapacity, isFiller: false, durationMs: 800, isFailing: false, ...behaviours.get(taskId.split('.', 1)[0]!),
		});
		endpoints.set(id, createVirtualTaskEndpoint(queue, registration, getBehaviour, checker));
		publish([{kind: 'endpoint-changed', endpoint: registration}]);
	}

	const simulation: JobsSimulation = {
		queue,
		random,
		entries,
		endpoints,
		store,
		network,
		checker,
		answers,
		lateOrderShare: 0,
		isStoreUp: true,
		submitJob(entry, queueName, spec, behaviour = {}) {
			requestCount += 1;
			const jobId = requestCount.toString(16).padStart(16, '0');
			const requestId = `submit-${jobId}`;
			behaviours.set(jobId, behaviour);
			checker.recordJob(jobId, requestId, spec);
			deliverLater(entry, {
				kind: 'caller-requested', requestId, action: 'submit', queue: queueName, jobId, spec,
			});
			return jobId;
		},
		cancelJob(entry, queueName, jobId) {
			requestCount += 1;
			const requestId = `cancel-${jobId}-${requestCount}`;
			checker.recordCancelRequest(jobId, requestId);
			deliverLater(entry, {
				kind: 'caller-requested', requestId, action: 'cancel', queue: queueName, jobId, spec: undefined,
			});
		},
		killEntry(entry, downMs) {
			entry.isUp = false;
			queue.add(downMs, () => {
				startEntry(entry);
			});
		},
		crashEndpoint(endpoint, downMs) {
			checker.recordCrash(endpoint);
			endpoint.crash();
			queue.add(4500, () => {
				publish([{kind: 'endpoint-removed', endpointId: endpoint.registration.id}]);
			});
			queue.add(downMs, () => {
				addEndpoint(endpoint.registration.pool);
			});
		},
		reconnectStore(entry) {
			entry.isStoreReachable = true;
			deliverFullState(entry);
		},
		loseWatchHistory() {
			for (const entry of entries) {
				if (isStoreAvailable(entry)) {
					deliverFullState(entry);
				}
			}
		},
		runFor(ms) {
			queue.runUntil(queue.now + ms);
		},
	};
	for (const [pool, count] of Object.entries(pools)) {
		for (let index = 0; index < count; index++) {
			addEndpoint(pool);
		}
	}

	for (const entry of entries) {
		queue.add(random.getFraction() * 300, () => {
			startEntry(entry);
		});
	}

	expireLeases();
	return simulation;
}
