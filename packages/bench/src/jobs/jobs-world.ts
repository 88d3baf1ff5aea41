import {createRandomSource, type RandomSource} from '@pistachiogauge/chain';
import {
	applyJobEvent, createJobsState, type CallerAnswer, type Configuration, type Endpoint, type JobEffect, type JobEffectOf, type JobEvent, type JobsState, type JobSpec, type Machine, type Member,
} from '@pistachiogauge/jobs';
import {createEventQueue, type EventQueue} from '../virtual/event-queue.js';
import {startWallTime} from '../virtual/virtual-clock.js';
import {createPromises, type Promises} from './promises.js';
import {createVirtualEndpoint, type TaskNature, type VirtualEndpoint} from './virtual-endpoint.js';
import {createVirtualRecords, type VirtualRecords} from './virtual-records.js';

/** An entry in the emulator. */
export type WorldEntry = {
	readonly node: string;
	incarnation: string;
	state: JobsState;
	isUp: boolean;
	/** Whether its calls reach the store. */
	isStoreReachable: boolean;
	/** Until when it does not run, in virtual ms. */
	frozenUntil: number;
	renewedAt: number;
	isRegistered: boolean;
};

/** Entries, endpoints, machines and the store in virtual time. */
export type JobsWorld = {
	readonly queue: EventQueue;
	readonly random: RandomSource;
	readonly entries: readonly WorldEntry[];
	readonly endpoints: Map<string, VirtualEndpoint>;
	readonly records: VirtualRecords;
	readonly promises: Promises;
	readonly answers: Map<string, CallerAnswer>;
	/** Share of orders to endpoints that get no answer and are carried out late. */
	lateShare: number;
	isStoreUp: boolean;
	/** Hands in a job at an entry; the answer appears under the returned id. */
	submitJob(entry: WorldEntry, queue: string, spec: JobSpec, nature?: Partial<TaskNature>): string;
	cancelJob(entry: WorldEntry, queue: string, jobId: string): void;
	killEntry(entry: WorldEntry, downMs: number): void;
	crashEndpoint(endpoint: VirtualEndpoint, downMs: number): void;
	/** Lets an entry reach the store again; its watches then tell what it has missed. */
	reconnect(entry: WorldEntry): void;
	/** All watches lose their history and list everything anew. */
	loseHistory(): void;
	runFor(ms: number): void;
};

export type WorldOptions = {
	readonly seed: number;
	readonly entryCount: number;
	readonly pools: Readonly<Record<string, number>>;
	readonly room: Endpoint['capacity'];
	/** Told each line of the entries' logs, with virtual time and entry. */
	readonly onLine?: (line: string) => void;
};

const tickMs = 25;
const leaseTtlMs = 2000;
const renewMs = 500;
/** Delay bounds in ms of a call and of a watch. */
const callMs = {min: 1, max: 6} as const;
const callTimeoutMs = 700;

/** Creates a world with a queue `jobs-POOL` for each pool. */
export function createJobsWorld({
	seed, entryCount, pools, room, onLine,
}: WorldOptions): JobsWorld {
	const queue = createEventQueue();
	const random = createRandomSource(seed);
	const records = createVirtualRecords();
	const endpoints = new Map<string, VirtualEndpoint>();
	const natures = new Map<string, Partial<TaskNature>>();
	const answers = new Map<string, CallerAnswer>();
	let requestCount = 0;
	let lifeCount = 0;
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
	const promises = createPromises(queue);
	const getDelay = () => callMs.min + (random.getFraction() * (callMs.max - callMs.min));

	const entries: WorldEntry[] = Array.from({length: entryCount}, (_unused, index) => ({
		node: `entry-${index + 1}`, incarnation: '', state: createJobsState({node: '', incarnation: '', orderLeaseMs: 3000}), isUp: false, isStoreReachable: true, frozenUntil: 0, renewedAt: 0, isRegistered: false,
	}));

	function deliver(entry: WorldEntry, event: JobEvent, incarnation = entry.incarnation): void {
		if (!entry.isUp || entry.incarnation !== incarnation) {
			return;
		}

		if (queue.now < entry.frozenUntil) {
			queue.add(entry.frozenUntil - queue.now, () => {
				deliver(entry, event, incarnation);
			});
			return;
		}

		for (const effect of applyJobEvent(entry.state, event, {now: queue.now, wallTime: startWallTime + queue.now, random})) {
			(sinks[effect.kind] as ((owner: WorldEntry, value: JobEffect) => void) | undefined)?.(entry, effect);
		}
	}

	function deliverLater(entry: WorldEntry, event: JobEvent, delayMs = getDelay()): void {
		const {incarnation} = entry;
		queue.add(delayMs, () => {
			deliver(entry, event, incarnation);
		});
	}

	const isReached = (entry: WorldEntry) => world.isStoreUp && entry.isStoreReachable;

	/** Tells all entries of changes; one that does not reach the store is told everything when it does again. */
	function publish(changes: readonly JobEvent[]): void {
		for (const change of changes) {
			for (const entry of entries) {
				if (isReached(entry)) {
					deliverLater(entry, change);
				}
			}
		}
	}

	/** A call to the store: carried out after its way, unless the store is out of reach. */
	function callStore(entry: WorldEntry, failed: JobEvent | undefined, run: () => JobEvent | undefined): void {
		queue.add(getDelay(), () => {
			const answer = isReached(entry) ? run() : failed;
			if (answer !== undefined) {
				deliverLater(entry, answer);
			}
		});
	}

	/** An order to an endpoint; some get no answer and are carried out seconds later. */
	function callEndpoint(entry: WorldEntry, endpointId: string, lost: JobEvent, run: (endpoint: VirtualEndpoint) => JobEvent | undefined): void {
		const isLate = random.getFraction() < world.lateShare;
		queue.add(isLate ? 2000 + (random.getFraction() * 10_000) : getDelay(), () => {
			const endpoint = endpoints.get(endpointId);
			const answer = endpoint?.isReachable === true || (isLate && endpoint !== undefined) ? run(endpoint) : lost;
			if (!isLate && answer !== undefined) {
				deliverLater(entry, answer, answer === lost ? callTimeoutMs : getDelay());
			}
		});
		if (isLate) {
			deliverLater(entry, lost, callTimeoutMs);
		}
	}

	const sinks: {readonly [Kind in JobEffect['kind']]?: (entry: WorldEntry, effect: JobEffectOf<Kind>) => void} = {
		claim(entry, effect) {
			callStore(entry, {
				kind: 'claim-answered', name: effect.name, result: 'refused', token: 0,
			}, () => {
				if (!entry.isRegistered) {
					return {
						kind: 'claim-answered', name: effect.name, result: 'refused', token: 0,
					};
				}

				const {answer, changes} = records.claim(effect, getMember(entry));
				publish(changes);
				return answer;
			});
		},
		'load-pool'(entry, {pool, token}) {
			deliverLater(entry, {kind: 'endpoints-listed', endpoints: listEndpoints()});
			callStore(entry, {kind: 'pool-load-failed', pool, token}, () => {
				// What is recorded while the answer is on its way is told by the watch after it.
				queue.add(2 * callMs.max, () => {
					for (const event of records.listInbox(pool)) {
						deliverLater(entry, event);
					}
				});
				return records.loadPool(pool, token);
			});
		},
		'store-job'(entry, {requestId, job}) {
			callStore(entry, {kind: 'job-stored', requestId, result: 'refused'}, () => {
				const {isNew, changes} = records.storeJob(job);
				publish(changes);
				return {kind: 'job-stored', requestId, result: isNew ? 'applied' : 'conflict'};
			});
		},
		'read-progress'(entry, {requestId, jobId}) {
			callStore(entry, {
				kind: 'progress-read', requestId, result: 'failed', progress: undefined,
			}, () => {
				const progress = records.getProgress(jobId);
				return {
					kind: 'progress-read', requestId, result: progress === undefined ? 'absent' : 'found', progress,
				};
			});
		},
		'store-cancel'(entry, {requestId, pool, jobId}) {
			callStore(entry, {kind: 'cancel-stored', requestId, result: 'refused'}, () => {
				publish(records.storeCancel(pool, jobId));
				return {kind: 'cancel-stored', requestId, result: 'applied'};
			});
		},
		'save-progress'(entry, effect) {
			callStore(entry, {
				kind: 'progress-saved', pool: effect.pool, token: effect.token, saveId: effect.saveId, result: 'unknown', revision: 0, presentRevisions: undefined, isClaimLost: false,
			}, () => records.saveProgress(effect));
		},
		'poll-endpoint'(entry, effect) {
			const {endpointId, token} = effect.target;
			const {incarnation} = entry;
			callEndpoint(entry, endpointId, {
				kind: 'poll-refused', endpointId, token, refusal: 'no-answer',
			}, endpoint => {
				endpoint.hold(effect, event => {
					const isHeard = endpoint.isReachable;
					queue.add(isHeard ? getDelay() : callTimeoutMs, () => {
						deliver(entry, isHeard
							? event
							: {
								kind: 'poll-refused', endpointId, token, refusal: 'no-answer',
							}, incarnation);
					});
				});
				return undefined;
			});
		},
		'start-task'(entry, effect) {
			const {endpointId, token} = effect.target;
			const refused = {
				kind: 'start-refused', endpointId, token, taskId: effect.taskId, run: effect.run,
			} as const;
			callEndpoint(entry, endpointId, {...refused, refusal: 'no-answer'}, endpoint => {
				const answer = endpoint.startTask(effect, entry.node);
				return typeof answer === 'number'
					? {
						kind: 'start-answered', endpointId, token, taskId: effect.taskId, run: effect.run, clockMs: answer,
					}
					: {...refused, refusal: answer};
			});
		},
		'stop-task'(entry, effect) {
			const {endpointId, token} = effect.target;
			const stopped = {
				kind: 'stop-answered', endpointId, token, taskId: effect.taskId, run: effect.run,
			} as const;
			callEndpoint(entry, endpointId, {...stopped, refusal: 'no-answer'}, endpoint => ({...stopped, refusal: endpoint.stopTask(effect)}));
		},
		'list-machines'(entry) {
			const machines: Machine[] = listEndpoints().map(endpoint => ({
				name: `machine-of-${endpoint.id}`, pool: endpoint.pool, state: 'up', zone: endpoint.zone, labels: endpoint.labels, capacity: endpoint.capacity, endpointId: endpoint.id,
			}));
			deliverLater(entry, {kind: 'machines-listed', machines});
		},
		'answer-caller'(_entry, {requestId, answer}) {
			answers.set(requestId, answer);
			promises.noteAnswer(requestId, answer);
		},
		log(entry, {message, fields}) {
			onLine?.(`${queue.now.toFixed(1)} ${entry.node} ${message} ${JSON.stringify(fields)}`);
		},
		'handler-failed'(_entry, {filter, eventKind, error}) {
			promises.report('handler-failed', `${filter} on ${eventKind}: ${error instanceof Error ? error.stack : String(error)}`);
		},
	};

	function getMember({node, incarnation}: WorldEntry): Member {
		return {node, incarnation, weight: 1};
	}

	function listEndpoints(): Endpoint[] {
		return [...endpoints.values()].filter(endpoint => endpoint.isUp).map(endpoint => endpoint.registration);
	}

	function startEntry(entry: WorldEntry): void {
		lifeCount += 1;
		entry.incarnation = `life-${lifeCount}`;
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

			if (isReached(entry) && queue.now >= entry.frozenUntil) {
				keepLease(entry);
			}

			queue.add(renewMs, renew);
		};

		tick();
		renew();
	}

	function keepLease(entry: WorldEntry): void {
		entry.renewedAt = queue.now;
		if (entry.isRegistered) {
			deliverLater(entry, {kind: 'session-renewed', validUntil: queue.now + leaseTtlMs});
			return;
		}

		if (entry.state.authority.sessionOpenedAt !== undefined) {
			deliverLater(entry, {kind: 'session-lost'}, 0);
		}

		entry.isRegistered = true;
		publish(records.register(getMember(entry)));
		deliverLater(entry, {kind: 'session-opened'});
		deliverLater(entry, {kind: 'store-reached'});
		tellAll(entry);
	}

	/** What an entry learns when it lists everything anew. */
	function tellAll(entry: WorldEntry): void {
		deliverLater(entry, {kind: 'members-listed', members: [...records.members.values()]});
		deliverLater(entry, {kind: 'claims-listed', claims: [...records.claims.values()]});
		deliverLater(entry, {kind: 'endpoints-listed', endpoints: listEndpoints()});
		for (const pool of entry.state.ledger.pools.keys()) {
			for (const event of records.listInbox(pool)) {
				deliverLater(entry, event, callMs.max);
			}
		}
	}

	/** Ends leases that have not been renewed; the store's time stands still while it is down. */
	function checkLeases(): void {
		for (const entry of entries) {
			if (world.isStoreUp && entry.isRegistered && queue.now > entry.renewedAt + leaseTtlMs) {
				entry.isRegistered = false;
				publish(records.endLease(entry.incarnation));
			}
		}

		queue.add(100, checkLeases);
	}

	let endpointCount = 0;
	function addEndpoint(pool: string): void {
		endpointCount += 1;
		const id = `endpoint-${endpointCount}`;
		const registration: Endpoint = {
			id, pool, address: id, zone: 'a', state: 'ready', capacity: room, labels: ['a', `rack-${endpointCount % 4}`], rack: `rack-${endpointCount % 4}`, startedAt: startWallTime + queue.now, remainingMs: undefined,
		};
		const getNature = (taskId: string): TaskNature => ({
			room: promises.getStep(taskId)?.room ?? room, isFiller: false, durationMs: 800, isHopeless: false, ...natures.get(taskId.split('.', 1)[0]!),
		});
		endpoints.set(id, createVirtualEndpoint(queue, registration, getNature, promises));
		publish([{kind: 'endpoint-changed', endpoint: registration}]);
	}

	const world: JobsWorld = {
		queue,
		random,
		entries,
		endpoints,
		records,
		promises,
		answers,
		lateShare: 0,
		isStoreUp: true,
		submitJob(entry, queueName, spec, nature = {}) {
			requestCount += 1;
			const jobId = requestCount.toString(16).padStart(16, '0');
			const requestId = `submit-${jobId}`;
			natures.set(jobId, nature);
			promises.noteJob(jobId, requestId, spec);
			deliverLater(entry, {
				kind: 'caller-requested', requestId, action: 'submit', queue: queueName, jobId, spec,
			});
			return jobId;
		},
		cancelJob(entry, queueName, jobId) {
			requestCount += 1;
			const requestId = `cancel-${jobId}-${requestCount}`;
			promises.noteCancel(jobId, requestId);
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
			promises.noteCrash(endpoint);
			endpoint.crash();
			queue.add(4500, () => {
				publish([{kind: 'endpoint-removed', endpointId: endpoint.registration.id}]);
			});
			queue.add(downMs, () => {
				addEndpoint(endpoint.registration.pool);
			});
		},
		reconnect(entry) {
			entry.isStoreReachable = true;
			tellAll(entry);
		},
		loseHistory() {
			for (const entry of entries) {
				if (isReached(entry)) {
					tellAll(entry);
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

	checkLeases();
	return world;
}
