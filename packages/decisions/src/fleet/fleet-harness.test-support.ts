import {
	defaultTimings, storeKeys, type Bundle, type Effect, type EffectOf, type EntryEvent, type EventOf, type ListedInstance, type OperatorCommand, type PoolRecord, type PoolWork,
} from '@pistachiogauge/model';
import {runChain, type Filter} from '../chain.js';
import {createRandomSource} from '../context.js';
import {createEntryState, type EntryState} from '../entry-state.js';
import {fleetFilter} from './fleet-filter.js';
import {getServingInstances} from './fleet-state.js';

const pools = ['p', 'q'];
const bundle: Bundle = {
	schemaVersion: 1,
	version: 1,
	pools: Object.fromEntries(pools.map(pool => [pool, {
		budget: 1, maintenancePeriodDays: 35, isSpare: pool === 'q', minInstances: 1, slotsPerInstance: 8,
	}])),
	services: {},
	teams: {},
};

/** How the store fails: a write takes effect without an answer, a write is lost, or every call fails. */
export type StoreFault = 'none' | 'answer-lost' | 'write-lost' | 'outage';

/** An entry under test, with the answers and audit events that it has produced. */
export type TestEntry = {
	readonly id: string;
	readonly state: EntryState;
	readonly answers: Array<EventOf<'operator-answered'>>;
	readonly auditEvents: Array<EventOf<'audit-event'>>;
};

/** Runs entries that share a store and a platform, in virtual time. */
export class FleetHarness {
	now = 0;
	storeFault: StoreFault = 'none';
	/** Writes that were sent while `isHoldingWrites` was set and have not reached the store. */
	readonly heldWrites: Array<EffectOf<'write-store'>> = [];
	isHoldingWrites = false;
	readonly pairs = new Map<string, {value: string; revision: number}>();
	readonly unhealthyInstances = new Set<string>();
	readonly reboots: string[] = [];
	readonly entries: TestEntry[] = [];
	listed: ListedInstance[] = [];
	#revision = 0;
	#callCount = 0;

	addInstances(pool: string, count: number): void {
		for (let index = 1; index <= count; index++) {
			this.listed.push({
				id: `${pool}${index}`, address: '127.0.0.1:1', zone: 'z', rack: 'r', pool, state: 'live',
			});
		}
	}

	addEntry(id: string, epoch: number, owned: readonly string[]): TestEntry {
		const state = createEntryState({
			id, zone: 'z', peerAddress: '127.0.0.1:1', timings: {...defaultTimings, defaultDeadlineMs: 1000}, verifyBundle: () => ({kind: 'invalid', reason: 'not used'}),
		});
		state.bundle.current = bundle;
		state.membership.isStoreReached = true;
		const entry: TestEntry = {
			id, state, answers: [], auditEvents: [],
		};
		this.entries.push(entry);
		this.adoptEpoch(entry, epoch, owned);
		return entry;
	}

	adoptEpoch({id, state}: TestEntry, epoch: number, owned: readonly string[]): void {
		state.membership.record = {
			epoch,
			members: [{id, address: '127.0.0.1:1', zone: 'z'}],
			pools: Object.fromEntries(owned.map(pool => [pool, {owner: id}])),
			previousMembers: [], previousPools: {}, forced: false, proposer: id,
		};
		for (const pool of owned) {
			state.membership.acquiredPools.add(pool);
			this.send(this.entries.find(item => item.id === id)!, {kind: 'pool-acquired', pool, wasStandby: true});
		}
	}

	send(entry: TestEntry, event: EntryEvent): void {
		const collector: Filter = {
			name: 'collector',
			handlers: {
				'operator-answered'(_state, answer) {
					entry.answers.push(answer);
					return [];
				},
				'audit-event'(_state, auditEvent) {
					entry.auditEvents.push(auditEvent);
					return [];
				},
			},
		};
		const context = {now: this.now, wallTime: 1_700_000_000_000 + this.now, random: createRandomSource(1)};
		for (const effect of runChain([fleetFilter, collector], entry.state, event, context)) {
			if (effect.kind === 'handler-failed') {
				throw effect.error as Error;
			}

			this.#handleEffect(entry, effect);
		}
	}

	call(entry: TestEntry, command: OperatorCommand, operator = 'ana'): string {
		this.#callCount += 1;
		const callId = `call-${this.#callCount}`;
		this.send(entry, {
			kind: 'operator-called', callId, operator, command,
		});
		return callId;
	}

	run(durationMs: number, check: () => void = () => undefined): void {
		for (const end = this.now + durationMs; this.now < end;) {
			this.now += 50;
			for (const entry of this.entries) {
				this.send(entry, {kind: 'instances-listed', instances: this.listed});
				this.send(entry, {kind: 'tick'});
			}

			check();
		}
	}

	getRecord(pool: string): PoolRecord {
		return JSON.parse(this.pairs.get(`${storeKeys.poolsPrefix}${pool}`)!.value) as PoolRecord;
	}

	getRecordedPool(id: string): string {
		return (JSON.parse(this.pairs.get(`${storeKeys.instancesPrefix}${id}`)!.value) as {pool: string}).pool;
	}

	applyWrite(effect: EffectOf<'write-store'>): boolean {
		const current = this.pairs.get(effect.key);
		const {condition} = effect;
		const isMet = condition.kind === 'always' || (condition.kind === 'absent' ? current === undefined : current?.revision === condition.revision);
		if (isMet) {
			this.#revision += 1;
			this.pairs.set(effect.key, {value: effect.value, revision: this.#revision});
			for (const entry of this.entries) {
				this.send(entry, {
					kind: 'store-changed', key: effect.key, value: effect.value, revision: this.#revision,
				});
			}
		}

		return isMet;
	}

	#handleEffect(entry: TestEntry, effect: Effect): void {
		const effectHandlers: Partial<Record<Effect['kind'], () => void>> = {
			'probe-endpoint': () => {
				const {instanceId} = effect as EffectOf<'probe-endpoint'>;
				this.send(entry, {kind: 'probe-ended', instanceId, isHealthy: !this.unhealthyInstances.has(instanceId)});
			},
			'reboot-instance': () => {
				const {instanceId} = effect as EffectOf<'reboot-instance'>;
				this.reboots.push(instanceId);
				this.send(entry, {kind: 'reboot-ended', instanceId, isAccepted: true});
			},
			'read-store': () => {
				this.#read(entry, effect as EffectOf<'read-store'>);
			},
			'write-store': () => {
				this.#write(entry, effect as EffectOf<'write-store'>);
			},
		};
		effectHandlers[effect.kind]?.();
	}

	#read(entry: TestEntry, {operationId, key, isPrefix}: EffectOf<'read-store'>): void {
		const entries = [...this.pairs].filter(([name]) => isPrefix ? name.startsWith(key) : name === key).map(([name, pair]) => ({key: name, ...pair}));
		this.send(entry, {
			kind: 'store-answered', operationId, result: this.storeFault === 'outage' ? 'failed' : 'applied', entries: this.storeFault === 'outage' ? [] : entries,
		});
	}

	#write(entry: TestEntry, effect: EffectOf<'write-store'>): void {
		if (this.isHoldingWrites) {
			this.heldWrites.push(effect);
			return;
		}

		const isApplied = this.storeFault !== 'outage' && this.storeFault !== 'write-lost' && this.applyWrite(effect);
		const isAnswered = this.storeFault === 'none';
		this.send(entry, {
			kind: 'store-answered',
			operationId: effect.operationId,
			result: isAnswered ? (isApplied ? 'applied' : 'conflict') : 'failed',
			entries: isAnswered && isApplied ? [{key: effect.key, ...this.pairs.get(effect.key)!}] : [],
		});
	}
}

/** Creates a harness with 3 instances in pool p, 2 in pool q, and one entry that owns the given pools. */
export function createHarness(owned: readonly string[] = ['p', 'q']): {harness: FleetHarness; entry: TestEntry} {
	const harness = new FleetHarness();
	harness.addInstances('p', 3);
	harness.addInstances('q', 2);
	const entry = harness.addEntry('a', 1, owned);
	harness.run(2000);
	return {harness, entry};
}

const work = {pool: 'p'} as unknown as PoolWork;

/** Adds a running attempt of pool p at an instance. */
export function addAttempt({state}: TestEntry, instanceId: string): void {
	state.dispatch.attempts.set('attempt', {work, instanceId, startedAt: 0});
}

/** Lists the ids of the instances that may get new work. */
export function listServing(entry: TestEntry, pool = 'p'): string[] {
	// Sorted because `getServingInstances` guarantees no order.
	return getServingInstances(entry.state, pool).map(instance => instance.id).sort((left, right) => left < right ? -1 : 1);
}
