import {createRandomSource, type RandomSource} from '@pistachiogauge/chain';
import {
	applyJobEvent, createJobsState, poolClaimPrefix, type CallerAnswer, type Endpoint, type JobEffect, type JobEventOf, type JobSpec,
} from '@pistachiogauge/jobs';
import {accountBounds, computeKeyHash, type AccountPlan} from '../accounts/index.js';
import {createEventQueue, type EventQueue} from '../virtual/event-queue.js';
import {startWallTime} from '../virtual/virtual-clock.js';
import {createStoreCaller} from './call-store.js';
import {createVirtualSinks} from './create-virtual-sinks.js';
import {type OrderDisturbance, type OrderRouter} from './order-routes.js';
import {createEndpointLifecycle} from './endpoint-lifecycle.js';
import {createEventDelivery} from './event-delivery.js';
import {createJobInvariantChecker, type JobInvariantChecker} from './job-invariant-checker.js';
import {createVirtualAdviceService, type VirtualAdviceService} from './virtual-advice-service.js';
import {createVirtualConfiguration, type VirtualConfiguration} from './virtual-configuration.js';
import {createVirtualFleetRecords} from './virtual-fleet-records.js';
import {createVirtualMachineService, type VirtualMachineService} from './virtual-machine-service.js';
import {createVirtualJobStore, type VirtualJobStore} from './virtual-job-store.js';
import {createVirtualJobsEntry, type VirtualJobsEntry} from './virtual-jobs-entry.js';
import {createVirtualNetwork, storeNode, type VirtualNetwork} from './virtual-network.js';
import {createOrigin, createVirtualRelay} from './virtual-relay.js';
import {createVirtualAdmissionRecords, type VirtualAdmissionRecords} from './virtual-admission-records.js';
import {createVirtualRegistry} from './virtual-registry.js';
import {createVirtualShareRecords, type VirtualShareRecords} from './virtual-share-records.js';
import {startVirtualSession} from './virtual-session.js';
import {type TaskBehaviour, type VirtualTaskEndpoint} from './virtual-task-endpoint.js';
import {createVirtualWatches, loseWatchHistory} from './virtual-watches.js';

/** A simulation of entries, endpoints, machines and the store in virtual time. */
export type JobsSimulation = {
	readonly queue: EventQueue;
	readonly random: RandomSource;
	readonly entries: readonly VirtualJobsEntry[];
	readonly endpoints: Map<string, VirtualTaskEndpoint>;
	readonly store: VirtualJobStore;
	readonly shareRecords: VirtualShareRecords;
	readonly admissionRecords: VirtualAdmissionRecords;
	readonly network: VirtualNetwork;
	readonly checker: JobInvariantChecker;
	readonly advice: VirtualAdviceService;
	readonly machineService: VirtualMachineService;
	readonly answers: Map<string, CallerAnswer>;
	readonly configuration: VirtualConfiguration;
	/** Pools without that of the machines that are switched off. */
	readonly homePools: readonly string[];
	/** Chooses the keys of requests; undefined for requests without. */
	keyChooser: KeyChooser | undefined;
	/** Share of orders to endpoints that get no answer and take effect seconds later. */
	lateOrderShare: number;
	/** What happens to orders to single endpoints, by id. */
	readonly orderDisturbances: Map<string, OrderDisturbance>;
	/** Chooses the routes of single orders; undefined while all are drawn. */
	orderRouter: OrderRouter | undefined;
	/** Share of writes to the store that get no answer; half of them are done at once, the others seconds later if their condition still holds. */
	unansweredWriteShare: number;
	isStoreUp: boolean;
	/** Submits a job at an entry and returns the job's id; the answer appears in `answers` under `submit-ID`. Without a given key, one is chosen. */
	submitJob(entry: VirtualJobsEntry, queue: string, spec: JobSpec, behaviour?: Partial<TaskBehaviour>, key?: string): string;
	/** Finds the account of a job that the store has; undefined for a job without one. */
	getJobAccount(jobId: string): string | undefined;
	cancelJob(entry: VirtualJobsEntry, queue: string, jobId: string): void;
	/** Writes a configuration in which a queue belongs to another pool, or is removed. @returns Whether the store has acknowledged it, which it does not while it is down. */
	changeQueue(queue: string, pool: string | undefined): boolean;
	/** Sends the submission of a job once more. */
	submitAgain(entry: VirtualJobsEntry, job: {readonly jobId: string; readonly queueName: string}): void;
	/** Asks an entry for the status of a job. */
	requestStatus(entry: VirtualJobsEntry, queue: string, jobId: string, key?: string): void;
	/** Writes a configuration with other client accounts. @returns Whether the store has acknowledged it, which it does not while it is down. */
	changeAccounts(accounts: readonly AccountPlan[] | undefined): boolean;
	killEntry(entry: VirtualJobsEntry, downMs: number): void;
	crashEndpoint(endpoint: VirtualTaskEndpoint, downMs: number): void;
	/** Crashes an endpoint that comes back under the same id and has forgotten everything; orders that are on their way reach the next process. */
	restartEndpoint(endpoint: VirtualTaskEndpoint, downMs: number): void;
	/** Lets an entry reach the store again; its watches then deliver what it has missed. */
	reconnectStore(entry: VirtualJobsEntry): void;
	/** Makes all watches lose their history, so that every entry lists the full state again. */
	loseWatchHistory(): void;
	/** Writes a line about a fault to the log. */
	logFault(text: string): void;
	runFor(ms: number): void;
};

/** Chooses the API key of a submission, and that of a request for a job. */
export type KeyChooser = {
	chooseKey(): string | undefined;
	chooseKeyForJob(jobId: string): string | undefined;
};

export type JobsSimulationOptions = {
	readonly seed: number;
	readonly entryCount: number;
	readonly pools: Readonly<Record<string, number>>;
	readonly endpointCapacity: Endpoint['capacity'];
	/** Number of machines that are switched off; without any, there is no pool for them and no machine is moved. */
	readonly spareMachineCount?: number;
	/** Client accounts of the first configuration; undefined for a deployment without. */
	readonly accounts?: readonly AccountPlan[];
	/** Receives each line of the entries' logs, with virtual time and entry. */
	readonly onLine?: (line: string) => void;
};

const tickMs = 25;
const orderLeaseMs = 3000;
const entryCheckMs = 25;
/** Time after a disturbance from which the rules with a time bound hold for an entry again. */
const contactMs = 3000;
/** Time without an answer after which the store counts as unreachable. */
const storeSilenceLimitMs = 1600;
/** Bounds of the delay of one call, one answer and one watch event. */
const callDelayMs = {min: 1, max: 6} as const;

/** Creates a simulation with a queue `jobs-POOL` for each pool, and one `advised-POOL` that requires advice. */
export function createJobsSimulation({
	seed, entryCount, pools, endpointCapacity, spareMachineCount = 0, accounts, onLine,
}: JobsSimulationOptions): JobsSimulation {
	const queue = createEventQueue();
	const random = createRandomSource(seed);
	const network = createVirtualNetwork();
	const endpoints = new Map<string, VirtualTaskEndpoint>();
	const behaviours = new Map<string, Partial<TaskBehaviour>>();
	/** Key of the submission of each job. A repetition carries it as well. */
	const submissionKeys = new Map<string, string | undefined>();
	const answers = new Map<string, CallerAnswer>();
	const orderDisturbances = new Map<string, OrderDisturbance>();
	let requestCount = 0;
	let incarnationCount = 0;
	const checker = createJobInvariantChecker(queue);
	const advice = createVirtualAdviceService(queue, random, id => {
		const endpoint = endpoints.get(id);
		return endpoint?.isUp === true ? endpoint.registration : undefined;
	});
	const chooseDelayMs = () => callDelayMs.min + (random.getFraction() * (callDelayMs.max - callDelayMs.min));
	const entries = Array.from({length: entryCount}, (_unused, index) => createVirtualJobsEntry(`entry-${index + 1}`, createJobsState({node: '', incarnation: '', orderLeaseMs})));
	const delivery = createEventDelivery({
		queue,
		chooseDelayMs,
		applyEvent(entry, event) {
			for (const effect of applyJobEvent(entry.state, event, {now: queue.now, wallTime: startWallTime + queue.now, random})) {
				(sinks[effect.kind] as ((owner: VirtualJobsEntry, value: JobEffect) => void) | undefined)?.(entry, effect);
			}
		},
	});
	const logFault = (text: string) => {
		onLine?.(`${queue.now.toFixed(1)} fault ${text}`);
	};

	const canReachStore = (entry: VirtualJobsEntry, direction: 'request' | 'answer') => entry.isStoreReachable
		&& (direction === 'request' ? network.canDeliver(entry.node, storeNode) : network.canDeliver(storeNode, entry.node));
	const canCallStore = (entry: VirtualJobsEntry) => simulation.isStoreUp && canReachStore(entry, 'request') && canReachStore(entry, 'answer');
	const watches = createVirtualWatches({
		queue,
		random,
		entries,
		delivery,
		chooseDelayMs,
		canCallStore,
		listState: entry => [
			...store.listMembersAndClaims(),
			{kind: 'endpoints-listed', endpoints: registry.listEndpoints()},
			...[...entry.state.ledger.pools.keys()].flatMap(pool => [...store.listInbox(pool), ...fleetRecords.listForPool(pool, entry.state.evacuation.requests.values())]),
			...fleetRecords.listForFleet(),
			...[...admissionRecords.records.values()].map(admission => ({kind: 'admission-changed', admission} as const)),
			...(configuration.hasAccounts || configuration.current.version > 1 ? [{kind: 'configuration-changed', configuration: configuration.current} as const] : []),
			...machineService.listWaves(),
			...(entry.state.quota.followed.length > 0 ? [{kind: 'shares-listed', owned: entry.state.quota.followed, shares: shareRecords.listShares()} as const] : []),
		],
	});
	const store = createVirtualJobStore(watches.publish);
	const fleetRecords = createVirtualFleetRecords(store, watches.publish);
	const shareRecords = createVirtualShareRecords(store, watches.publish);
	const admissionRecords = createVirtualAdmissionRecords(store, watches.publish);
	const registry = createVirtualRegistry({
		queue, endpoints, canReachStore: id => simulation.isStoreUp && network.canDeliver(id, storeNode), publish: watches.publish,
	});
	const callStore = createStoreCaller({
		queue, random, delivery, chooseDelayMs, isStoreUp: () => simulation.isStoreUp, canReachStore, getUnansweredWriteShare: () => simulation.unansweredWriteShare,
	});
	const configuration = createVirtualConfiguration({
		queue, pools: Object.keys(pools), hasSparePool: spareMachineCount > 0, accounts, delivery, callStore, publish: watches.publish,
	});
	if (accounts !== undefined) {
		checker.accounts.recordAccounts(accounts);
	}

	const getBehaviour = (taskId: string): TaskBehaviour => ({
		resources: checker.getStep(taskId)?.room ?? endpointCapacity, isFiller: false, durationMs: 800, isFailing: false, isAdvised: false, ...behaviours.get(taskId.split('.', 1)[0]!),
	});

	const lifecycle = createEndpointLifecycle({
		queue, random, endpoints, checker, advice, registry, logFault, getBehaviour, capacity: endpointCapacity,
	});
	const machineService = createVirtualMachineService({
		queue, endpoints, lifecycle, capacity: endpointCapacity, spareCount: spareMachineCount, logFault, publish: watches.publish, reportViolation: checker.reportViolation,
	});
	const sinks = createVirtualSinks({
		queue,
		random,
		store,
		network,
		endpoints,
		checker,
		answers,
		onLine,
		delivery,
		callStore,
		chooseDelayMs,
		describeSender: (entry, pool, incarnation) => ({
			node: entry.node, isOwner: store.claims.get(`${poolClaimPrefix}${pool}`)?.incarnation === incarnation, isInTouch: queue.now > entry.disturbedAt + contactMs,
		}),
		getLateOrderShare: () => simulation.lateOrderShare,
		orderDisturbances,
		routeOrder: order => simulation.orderRouter?.(order),
		logFault,
		listEndpoints: registry.listEndpoints,
		advice,
		relay: createVirtualRelay({
			queue, network, delivery, chooseDelayMs, findEntry: name => entries.find(({node}) => node === name),
		}),
		fleetRecords,
		shareRecords,
		admissionRecords,
		machineService,
		isInTouch: entry => queue.now > entry.outOfTouchAt + contactMs,
	});

	/** Sends a caller's request to an entry; with client accounts, it carries the given or a chosen key unless its queue is public. */
	function sendRequest(entry: VirtualJobsEntry, request: Omit<JobEventOf<'caller-requested'>, 'kind' | 'keyHash' | 'origin'>, givenKey?: string): void {
		const {requestId, action, jobId} = request;
		const isPublic = configuration.current.accounts === undefined || configuration.current.queues.some(({name, isPublic}) => name === request.queue && isPublic);
		const key = isPublic ? undefined : givenKey ?? (action === 'submit' ? simulation.keyChooser?.chooseKey() : simulation.keyChooser?.chooseKeyForJob(jobId));
		if (action === 'submit') {
			submissionKeys.set(jobId, key);
		}

		if (!isPublic) {
			checker.accounts.recordRequest(requestId, {
				action, jobId, key, node: entry.node,
			});
		}

		delivery.deliverLater(entry, {
			kind: 'caller-requested', ...request, keyHash: key === undefined ? undefined : computeKeyHash(key), origin: createOrigin(configuration.current, request.queue, jobId, queue.now),
		});
	}

	function startEntry(entry: VirtualJobsEntry): void {
		incarnationCount += 1;
		const incarnation = `life-${incarnationCount}`;
		entry.incarnation = incarnation;
		entry.state = createJobsState({
			node: entry.node, incarnation, orderLeaseMs, strictRevokeMs: accounts === undefined ? undefined : accountBounds.revokeMs,
		});
		entry.isUp = true;
		entry.pausedUntil = 0;
		entry.lastEventAt = queue.now;
		entry.storeAnsweredAt = Number.NEGATIVE_INFINITY;
		entry.outOfTouchAt = queue.now;
		configuration.start(entry);
		watches.start(entry);
		entry.session = startVirtualSession(entry, {
			queue, random, store, delivery, callStore,
		});
		let wasStoreReached = false;
		const tick = () => {
			const isStoreReached = queue.now < entry.storeAnsweredAt + storeSilenceLimitMs;
			if (isStoreReached !== wasStoreReached) {
				wasStoreReached = isStoreReached;
				delivery.deliver(entry, {kind: isStoreReached ? 'store-reached' : 'store-lost'});
			}

			delivery.deliver(entry, {kind: 'tick'});
			queue.add(tickMs, () => {
				delivery.runInProcess(entry, tick, incarnation);
			});
		};

		tick();
	}

	/** Expires leases that were not renewed, which none does while the store is down, and notes which entries cannot learn of changes. */
	function checkEntries(): void {
		if (simulation.isStoreUp) {
			store.expireLeases(queue.now);
		}

		for (const entry of entries) {
			if (network.isCutOff(entry.node, storeNode) || queue.now < entry.watch.deafUntil || simulation.unansweredWriteShare > 0) {
				entry.disturbedAt = queue.now;
			}

			if (!entry.isUp || queue.now < entry.pausedUntil || entry.watch.missed !== undefined || !canCallStore(entry)) {
				entry.outOfTouchAt = queue.now;
			}
		}

		queue.add(entryCheckMs, checkEntries);
	}

	const simulation: JobsSimulation = {
		queue,
		random,
		entries,
		endpoints,
		store,
		shareRecords,
		admissionRecords,
		network,
		checker,
		advice,
		machineService,
		answers,
		configuration,
		keyChooser: undefined,
		lateOrderShare: 0,
		orderDisturbances,
		orderRouter: undefined,
		unansweredWriteShare: 0,
		isStoreUp: true,
		submitJob(entry, queueName, spec, behaviour = {}, key = undefined) {
			requestCount += 1;
			const jobId = requestCount.toString(16).padStart(16, '0');
			const requestId = `submit-${jobId}`;
			behaviours.set(jobId, {isAdvised: queueName.startsWith('advised-'), ...behaviour});
			checker.recordJob(jobId, requestId, spec);
			sendRequest(entry, {
				requestId, action: 'submit', queue: queueName, jobId, spec,
			}, key);
			return jobId;
		},
		cancelJob(entry, queueName, jobId) {
			requestCount += 1;
			const requestId = `cancel-${jobId}-${requestCount}`;
			checker.recordCancelRequest(jobId, requestId, !configuration.hasAccounts);
			sendRequest(entry, {
				requestId, action: 'cancel', queue: queueName, jobId, spec: undefined,
			});
		},
		requestStatus(entry, queueName, jobId, key) {
			requestCount += 1;
			const requestId = `get-${jobId}-${requestCount}`;
			if (!configuration.hasAccounts) {
				checker.recordStatusRequest(jobId, requestId);
			}

			sendRequest(entry, {
				requestId, action: 'get', queue: queueName, jobId, spec: undefined,
			}, key);
		},
		homePools: Object.keys(pools),
		changeQueue(queueName, pool) {
			if (!simulation.isStoreUp) {
				return false;
			}

			logFault(`queue ${queueName} ${pool === undefined ? 'removed' : `belongs to ${pool}`}`);
			configuration.writeQueue(queueName, pool);
			return true;
		},
		submitAgain(entry, {jobId, queueName}) {
			requestCount += 1;
			sendRequest(entry, {
				requestId: `repeat-${jobId}-${requestCount}`, action: 'submit', queue: queueName, jobId, spec: checker.getSpec(jobId),
			}, submissionKeys.get(jobId));
		},
		changeAccounts(changed) {
			if (!simulation.isStoreUp) {
				return false;
			}

			configuration.writeAccounts(changed);
			checker.accounts.recordAccounts(changed ?? []);
			return true;
		},
		getJobAccount: jobId => store.getStoredJob(jobId)?.job.account,
		killEntry(entry, downMs) {
			entry.isUp = false;
			queue.add(downMs, () => {
				startEntry(entry);
			});
		},
		crashEndpoint(endpoint, downMs) {
			lifecycle.stop(endpoint);
			queue.add(downMs, () => {
				lifecycle.add(endpoint.registration.pool);
			});
		},
		restartEndpoint(endpoint, downMs) {
			lifecycle.stop(endpoint);
			queue.add(downMs, () => {
				lifecycle.start(endpoint.registration);
			});
		},
		reconnectStore(entry) {
			entry.isStoreReachable = true;
			loseWatchHistory(entry);
			watches.resume(entry);
		},
		loseWatchHistory() {
			for (const entry of entries) {
				loseWatchHistory(entry);
				watches.resume(entry);
			}
		},
		logFault,
		runFor(ms) {
			queue.runUntil(queue.now + ms);
		},
	};
	for (const [pool, count] of Object.entries(pools)) {
		for (let index = 0; index < count; index++) {
			lifecycle.add(pool);
		}
	}

	for (const entry of entries) {
		queue.add(random.getFraction() * 300, () => {
			startEntry(entry);
		});
	}

	checkEntries();
	registry.start();
	return simulation;
}
