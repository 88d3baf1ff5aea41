import {
	defaultTimings, type Bundle, type Effect, type EffectOf, type EntryEvent, type ServiceDeclaration, type ServiceRequest,
} from '@pistachiogauge/model';
import {applyEvent} from './apply-event.js';
import {createRandomSource} from './context.js';
import {createEntryState, type EntryState} from './entry-state.js';
import {
	createOwnedPool, getObservation, getInstance, setInstanceRecord,
} from './fleet/fleet-state.js';
import {getPoolKeys} from './idempotency/index.js';

/** An entry that owns one pool, with control over time and access to its effects. For tests only. */
export type OwnerFixture = {
	readonly state: EntryState;
	readonly effects: Effect[];
	now: number;
	requestCount: number;
	/** Applies an event and records its effects. */
	send(event: EntryEvent): Effect[];
	/** Advances the time in ticks of 50 ms. */
	advance(durationMs: number): void;
	/** Submits a caller's request; returns its id. */
	submitRequest(request?: Partial<ServiceRequest>): string;
	/** Attempts that were sent and have not been ended by `answer` or `fail`. */
	listAttempts(): Array<EffectOf<'send-endpoint'>>;
	answer(attempt: EffectOf<'send-endpoint'>, status?: number): void;
	fail(attempt: EffectOf<'send-endpoint'>, failure: 'not-sent' | 'connection-lost' | 'answer-truncated' | 'answer-timeout'): void;
	/** Returns the result of a request; undefined while it has none. */
	getResult(requestId: string): EffectOf<'answer-caller'>['result'] | undefined;
};

/** Differences from the default of one instance with two slots. */
export type OwnerFixtureOptions = {
	readonly instances?: number;
	readonly slots?: number;
	readonly budget?: number;
	readonly service?: Partial<ServiceDeclaration>;
	readonly teams?: Bundle['teams'];
};

const pool = 'desk';
const service: ServiceDeclaration = {
	pool, defaultClass: 'normal', shares: {urgent: 0.5, normal: 0.35, deferrable: 0.15}, queueLimit: 100, notExecutedStatuses: [503], defaultDeadlineMs: 10_000,
};

/** Creates an entry that owns the pool `desk`. */
export function createOwnerFixture(options: OwnerFixtureOptions = {}): OwnerFixture {
	const state = createPoolState(options);
	const random = createRandomSource(1);
	const ended = new Set<string>();
	const fixture: OwnerFixture = {
		state,
		effects: [],
		now: 10_000,
		requestCount: 0,
		send(event) {
			const effects = applyEvent(state, event, {now: fixture.now, wallTime: fixture.now, random});
			fixture.effects.push(...effects);
			return effects;
		},
		advance(durationMs) {
			for (const end = fixture.now + durationMs; fixture.now < end;) {
				fixture.now = Math.min(end, fixture.now + 50);
				fixture.send({kind: 'tick'});
			}
		},
		submitRequest(request = {}) {
			fixture.requestCount += 1;
			const requestId = request.requestId ?? `r${fixture.requestCount}`;
			const timeHex = fixture.now.toString(16).padStart(12, '0');
			const key = `${timeHex.slice(0, 8)}-${timeHex.slice(8)}-7000-8000-${String(fixture.requestCount).padStart(12, '0')}`;
			fixture.send({
				kind: 'request-received', request: {
					requestId,
					key,
					service: 'badge',
					mode: 'direct',
					method: 'GET',
					path: `/${requestId}`,
					headers: [],
					body: new Uint8Array(),
					requestClass: 'normal',
					team: 'lobby',
					isIdempotent: true,
					timeLeftMs: 10_000,
					...request,
				},
			});
			return requestId;
		},
		listAttempts: () => fixture.effects.filter((effect): effect is EffectOf<'send-endpoint'> => effect.kind === 'send-endpoint' && !ended.has(effect.attemptId)),
		answer({attemptId}, status = 200) {
			ended.add(attemptId);
			fixture.send({
				kind: 'endpoint-answered', attemptId, status, headers: [], body: new Uint8Array(),
			});
		},
		fail({attemptId}, failure) {
			ended.add(attemptId);
			fixture.send({kind: 'endpoint-failed', attemptId, failure});
		},
		getResult: requestId => fixture.effects.find((effect): effect is EffectOf<'answer-caller'> => effect.kind === 'answer-caller' && effect.requestId === requestId)?.result,
	};
	return fixture;
}

function createPoolState(options: OwnerFixtureOptions): EntryState {
	const {instances = 1, slots = 2, budget = 1, teams = {}} = options;
	const state = createEntryState({
		id: 'e1', zone: 'a', peerAddress: '127.0.0.1:1', timings: defaultTimings, verifyBundle: () => ({kind: 'invalid', reason: 'not used'}),
	});
	state.bundle.current = {
		schemaVersion: 1,
		version: 1,
		pools: {
			[pool]: {
				budget, maintenancePeriodDays: 35, isSpare: false, minInstances: 1, slotsPerInstance: slots,
			},
		},
		services: {badge: {...service, ...options.service}},
		teams,
	};
	state.membership.record = {
		epoch: 1, members: [{id: 'e1', address: '127.0.0.1:1', zone: 'a'}], pools: {[pool]: {owner: 'e1'}}, previousMembers: [], previousPools: {}, forced: false, proposer: 'e1',
	};
	state.membership.isActive = true;
	getPoolKeys(state, pool).coverageSince = Number.NEGATIVE_INFINITY;
	state.membership.acquiredPools.add(pool);
	const ownedPool = createOwnedPool();
	ownedPool.record = {
		ownerEpoch: 1, owner: 'e1', permits: {}, maintained: {},
	};
	ownedPool.isFenced = true;
	state.fleet.owned.set(pool, ownedPool);
	state.fleet.listedAt = 0;
	for (let index = 1; index <= instances; index += 1) {
		const id = `i${index}`;
		const instance = getInstance(state, id);
		instance.listed = {
			id, address: `10.0.0.${index}:80`, zone: 'a', rack: 'r', pool, state: 'live',
		};
		setInstanceRecord(state, id, {pool, moves: 0});
		instance.recordRevision = 1;
		getObservation(ownedPool, id).isHealthy = true;
	}

	return state;
}
