import {
	applyEvent, createEntryState, getPoolKeys, type EntryState, type RandomSource,
} from '@pistachiogauge/decisions';
import {
	defaultTimings, storeKeys, type Bundle, type Effect, type EffectKind, type EffectOf, type InputEvent, type KeyValue,
} from '@pistachiogauge/model';
import {type EventQueue} from '../virtual/event-queue.js';
import {type LoadRequest} from './load-request.js';
import {type Policy} from './run-load.js';
import {runAttempt, slotsPerWorker, type Worker} from './workers.js';

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
		// Each source of the load is a team.
		teams: Object.fromEntries(teams.map(team => [team, {maxInFlight: 100_000, weight: 1}])),
	};
}

/** State of an entry that has just acquired the pool. */
function createOwnerState(settings: PoolSettings): EntryState {
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

/** Runs the decisions of one entry that owns the pool. The simulated store answers immediately. */
export function createEntryPolicy(settings: PoolSettings): Policy {
	return {
		name: 'pistachiogauge',
		start: (eventQueue, workers, random, report) => new EntryPolicyRun(eventQueue, workers, random, report, settings),
	};
}

class EntryPolicyRun {
	readonly #state: EntryState;
	readonly #requests = new Map<string, LoadRequest>();
	readonly #storedKeyValues = new Map<string, KeyValue>();
	readonly #workersByAddress: ReadonlyMap<string, Worker>;
	readonly #pendingEvents: InputEvent[] = [];
	#revision = 0;
	#isApplying = false;
	readonly #effectHandlers: Partial<Record<EffectKind, (effect: Effect) => void>> = {
		'answer-caller': effect => {
			this.#recordResult(effect as EffectOf<'answer-caller'>);
		},
		'send-endpoint': effect => {
			this.#startAttempt(effect as EffectOf<'send-endpoint'>);
		},
		'probe-endpoint': effect => {
			const {instanceId, address} = effect as EffectOf<'probe-endpoint'>;
			this.eventQueue.add(2, () => {
				this.#submitEvent({kind: 'probe-ended', instanceId, isHealthy: this.#workersByAddress.get(address)!.mode !== 'down'});
			});
		},
		'read-store': effect => {
			const {operationId, key, isPrefix} = effect as EffectOf<'read-store'>;
			const keyValues = [...this.#storedKeyValues.values()].filter(keyValue => isPrefix ? keyValue.key.startsWith(key) : keyValue.key === key);
			this.#submitEvent({
				kind: 'store-answered', operationId, result: 'applied', entries: keyValues,
			});
		},
		'write-store': effect => {
			const {operationId, key, value} = effect as EffectOf<'write-store'>;
			this.#revision += 1;
			const keyValue = {key, value, revision: this.#revision};
			this.#storedKeyValues.set(key, keyValue);
			this.#submitEvent({
				kind: 'store-answered', operationId, result: 'applied', entries: [keyValue],
			});
		},
		'handler-failed'(effect) {
			throw (effect as EffectOf<'handler-failed'>).error as Error;
		},
	};

	constructor(
		readonly eventQueue: EventQueue,
		readonly workers: readonly Worker[],
		readonly random: RandomSource,
		readonly report: (request: LoadRequest) => void,
		settings: PoolSettings,
	) {
		this.#state = createOwnerState(settings);
		this.#workersByAddress = new Map(workers.map(worker => [worker.address, worker]));
		for (const {id} of workers) {
			const key = `${storeKeys.instancesPrefix}${id}`;
			this.#storedKeyValues.set(key, {key, value: JSON.stringify({pool, moves: 0}), revision: 1});
		}

		this.#state.membership.acquiredPools.add(pool);
		this.#submitEvent({kind: 'store-reached'});
		this.#submitEvent({
			kind: 'instances-listed', instances: workers.map(({id, address, rack}) => ({
				id, address, rack, zone: 'a', pool, state: 'live',
			})),
		});
		this.#acquirePool();
		this.#tick();
	}

	submitRequest(request: LoadRequest): void {
		this.#requests.set(request.id, request);
		this.#submitEvent({
			kind: 'request-received', request: {
				requestId: request.id,
				service,
				mode: 'direct',
				method: 'GET',
				path: `/${request.id}`,
				headers: [],
				body: new Uint8Array(),
				requestClass: request.requestClass,
				team: request.source,
				isIdempotent: request.isIdempotent,
				key: this.#createKey(),
				timeLeftMs: request.deadlineMs,
			},
		});
	}

	#createKey(): string {
		const digits = (startWallTime + Math.floor(this.eventQueue.now)).toString(16).padStart(12, '0');
		const number = String(this.#requests.size).padStart(12, '0');
		return `${digits.slice(0, 8)}-${digits.slice(8)}-7000-8000-${number}`;
	}

	#acquirePool(): void {
		getPoolKeys(this.#state, pool).coverageSince = Number.NEGATIVE_INFINITY;
		this.#submitEvent({kind: 'pool-acquired', pool, wasStandby: true} as unknown as InputEvent);
	}

	#tick(): void {
		this.#submitEvent({kind: 'tick'});
		this.eventQueue.add(tickMs, () => {
			this.#tick();
		});
	}

	#submitEvent(event: InputEvent): void {
		this.#pendingEvents.push(event);
		if (this.#isApplying) {
			return;
		}

		this.#isApplying = true;
		for (let next = this.#pendingEvents.shift(); next !== undefined; next = this.#pendingEvents.shift()) {
			const now = startTime + this.eventQueue.now;
			for (const effect of applyEvent(this.#state, next, {now, wallTime: startWallTime + this.eventQueue.now, random: this.random})) {
				this.#effectHandlers[effect.kind]?.(effect);
			}
		}

		this.#isApplying = false;
	}

	#recordResult({requestId, result}: EffectOf<'answer-caller'>): void {
		const request = this.#requests.get(requestId)!;
		request.outcome = result.outcome;
		request.status = result.status;
		request.endedAt = this.eventQueue.now;
		this.report(request);
	}

	#startAttempt({attemptId, address, request, timeoutMs}: EffectOf<'send-endpoint'>): void {
		let hasResult = false;
		const endAttempt = (event: InputEvent) => {
			if (!hasResult) {
				hasResult = true;
				this.#submitEvent(event);
			}
		};

		runAttempt(this.eventQueue, this.#workersByAddress.get(address)!, this.#requests.get(request.requestId)!, result => {
			endAttempt(result.kind === 'answered'
				? {
					kind: 'endpoint-answered', attemptId, status: result.status, headers: [], body: new Uint8Array(),
				}
				: {kind: 'endpoint-failed', attemptId, failure: result.failure});
		});
		this.eventQueue.add(timeoutMs, () => {
			endAttempt({kind: 'endpoint-failed', attemptId, failure: 'answer-timeout'});
		});
	}
}
