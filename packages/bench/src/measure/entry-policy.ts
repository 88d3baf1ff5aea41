import {
	applyEvent, createEntryState, getPoolKeys, type EntryState, type RandomSource,
} from '@pistachiogauge/decisions';
import {
	defaultTimings, storeKeys, type Bundle, type Effect, type EffectKind, type EffectOf, type InputEvent, type KeyValue,
} from '@pistachiogauge/model';
import {type EventQueue} from '../virtual/event-queue.js';
import {type Job} from './job.js';
import {type Policy} from './run-load.js';
import {runJob, slotsPerWorker, type Worker} from './workers.js';

const pool = 'desk';
const service = 'badge';
const tickMs = 50;
const startTime = 100_000;
const startWallTime = 1_767_225_600_000;

/** Settings of the measured pool. */
export type PoolSettings = {
	readonly budget: number;
	readonly queueLimit: number;
	readonly teams?: readonly string[];
};

/** Bundle of the measured pool. */
function createBundle({budget, queueLimit, teams = []}: PoolSettings): Bundle {
	return {
		schemaVersion: 1,
		version: 1,
		pools: {
			[pool]: {
				budget, maintenancePeriodDays: 35, isSpare: false, minInstances: 1, slotsPerInstance: slotsPerWorker,
			},
		},
		services: {
			[service]: {
				pool, defaultClass: 'normal', shares: {urgent: 0.5, normal: 0.35, deferrable: 0.15}, queueLimit, notExecutedStatuses: [503], defaultDeadlineMs: 10_000,
			},
		},
		// Every queue of the load is a team.
		teams: Object.fromEntries(teams.map(team => [team, {maxInFlight: 100_000, weight: 1}])),
	};
}

/** State of an entry that has just acquired the pool. */
function createPoolState(settings: PoolSettings): EntryState {
	const state = createEntryState({
		id: 'e1', zone: 'a', peerAddress: '127.0.0.1:1', timings: defaultTimings, verifyBundle: () => ({kind: 'invalid', reason: 'not used'}),
	});
	state.bundle.current = createBundle(settings);
	state.membership.record = {
		epoch: 1, members: [{id: 'e1', address: '127.0.0.1:1', zone: 'a'}], pools: {[pool]: {owner: 'e1'}}, previousMembers: [], previousPools: {}, forced: false, proposer: 'e1',
	};
	state.membership.isActive = true;
	state.membership.isStoreReached = true;
	return state;
}

/** Runs the decisions of one entry that owns the pool, with a store that answers at once. */
export function createEntryPolicy(settings: PoolSettings): Policy {
	return {
		name: 'pistachiogauge',
		start: (queue, workers, random, report) => new EntryRun(queue, workers, random, report, settings),
	};
}

class EntryRun {
	readonly #state: EntryState;
	readonly #jobs = new Map<string, Job>();
	readonly #stored = new Map<string, KeyValue>();
	readonly #byAddress: ReadonlyMap<string, Worker>;
	readonly #inbox: InputEvent[] = [];
	#revision = 0;
	#isApplying = false;
	readonly #sinks: Partial<Record<EffectKind, (effect: Effect) => void>> = {
		'answer-caller': effect => {
			this.#respond(effect as EffectOf<'answer-caller'>);
		},
		'send-endpoint': effect => {
			this.#send(effect as EffectOf<'send-endpoint'>);
		},
		'probe-endpoint': effect => {
			const {instanceId, address} = effect as EffectOf<'probe-endpoint'>;
			this.queue.add(2, () => {
				this.#push({kind: 'probe-ended', instanceId, isHealthy: this.#byAddress.get(address)!.mode !== 'down'});
			});
		},
		'read-store': effect => {
			const {operationId, key, isPrefix} = effect as EffectOf<'read-store'>;
			const entries = [...this.#stored.values()].filter(entry => isPrefix ? entry.key.startsWith(key) : entry.key === key);
			this.#push({
				kind: 'store-answered', operationId, result: 'applied', entries,
			});
		},
		'write-store': effect => {
			const {operationId, key, value} = effect as EffectOf<'write-store'>;
			this.#revision += 1;
			const entry = {key, value, revision: this.#revision};
			this.#stored.set(key, entry);
			this.#push({
				kind: 'store-answered', operationId, result: 'applied', entries: [entry],
			});
		},
		'handler-failed'(effect) {
			throw (effect as EffectOf<'handler-failed'>).error as Error;
		},
	};

	constructor(
		readonly queue: EventQueue,
		readonly workers: readonly Worker[],
		readonly random: RandomSource,
		readonly report: (job: Job) => void,
		settings: PoolSettings,
	) {
		this.#state = createPoolState(settings);
		this.#byAddress = new Map(workers.map(worker => [worker.address, worker]));
		for (const {id} of workers) {
			const key = `${storeKeys.instancesPrefix}${id}`;
			this.#stored.set(key, {key, value: JSON.stringify({pool, moves: 0}), revision: 1});
		}

		this.#state.membership.acquiredPools.add(pool);
		this.#push({kind: 'store-reached'});
		this.#push({
			kind: 'instances-listed', instances: workers.map(({id, address, rack}) => ({
				id, address, rack, zone: 'a', pool, state: 'live',
			})),
		});
		this.#acquire();
		this.#tick();
	}

	ask(job: Job): void {
		this.#jobs.set(job.id, job);
		this.#push({
			kind: 'request-received', request: {
				requestId: job.id,
				service,
				mode: 'direct',
				method: 'GET',
				path: `/${job.id}`,
				headers: [],
				body: new Uint8Array(),
				requestClass: job.requestClass,
				team: job.source,
				isIdempotent: job.isIdempotent,
				key: this.#createKey(),
				timeLeftMs: job.deadlineMs,
			},
		});
	}

	#createKey(): string {
		const digits = (startWallTime + Math.floor(this.queue.now)).toString(16).padStart(12, '0');
		const number = String(this.#jobs.size).padStart(12, '0');
		return `${digits.slice(0, 8)}-${digits.slice(8)}-7000-8000-${number}`;
	}

	#acquire(): void {
		getPoolKeys(this.#state, pool).coverageSince = Number.NEGATIVE_INFINITY;
		this.#push({kind: 'pool-acquired', pool, wasStandby: true} as unknown as InputEvent);
	}

	#tick(): void {
		this.#push({kind: 'tick'});
		this.queue.add(tickMs, () => {
			this.#tick();
		});
	}

	#push(event: InputEvent): void {
		this.#inbox.push(event);
		if (this.#isApplying) {
			return;
		}

		this.#isApplying = true;
		for (let next = this.#inbox.shift(); next !== undefined; next = this.#inbox.shift()) {
			const now = startTime + this.queue.now;
			for (const effect of applyEvent(this.#state, next, {now, wallTime: startWallTime + this.queue.now, random: this.random})) {
				this.#sinks[effect.kind]?.(effect);
			}
		}

		this.#isApplying = false;
	}

	#respond({requestId, result}: EffectOf<'answer-caller'>): void {
		const job = this.#jobs.get(requestId)!;
		job.outcome = result.outcome;
		job.status = result.status;
		job.endedAt = this.queue.now;
		this.report(job);
	}

	#send({attemptId, address, request, timeoutMs}: EffectOf<'send-endpoint'>): void {
		let hasEnded = false;
		const endWith = (event: InputEvent) => {
			if (!hasEnded) {
				hasEnded = true;
				this.#push(event);
			}
		};

		runJob(this.queue, this.#byAddress.get(address)!, this.#jobs.get(request.requestId)!, end => {
			endWith(end.kind === 'answered'
				? {
					kind: 'endpoint-answered', attemptId, status: end.status, headers: [], body: new Uint8Array(),
				}
				: {kind: 'endpoint-failed', attemptId, failure: end.failure});
		});
		this.queue.add(timeoutMs, () => {
			endWith({kind: 'endpoint-failed', attemptId, failure: 'answer-timeout'});
		});
	}
}
