import {
	applyEvent, createEntryState, createOwnedPool, createRandomSource, getPoolKeys, setInstanceRecord, type EntryState,
} from '@pistachiogauge/decisions';
import {
	defaultTimings, type Bundle, type Effect, type EffectKind, type EffectOf, type EntryEvent, type PoolAssignment, type ServiceDeclaration, type ServiceRequest,
} from '@pistachiogauge/model';

/** Size and role of a measured entry. */
export type SampleOptions = {
	readonly ownedPools?: number;
	/** Pools that the first peer owns. */
	readonly otherPools?: number;
	readonly instances?: number;
	readonly services?: number;
	/** Members besides this entry. */
	readonly peers?: number;
	/** Whether the first peer is the standby of the owned pools. */
	readonly hasStandby?: boolean;
	/** Whether this entry is the standby of the other pools. */
	readonly isStandby?: boolean;
};

/** An entry with its own clock; calls for task pages and health checks are answered immediately. */
export type SampleEntry = {
	readonly state: EntryState;
	now: number;
	applyEvent(event: EntryEvent): Effect[];
};

const startWallTime = 1_800_000_000_000;
const random = createRandomSource(1);
const entryId = 'e0';

type AnswerHandlers = {readonly [Kind in EffectKind]?: (effect: EffectOf<Kind>) => EntryEvent | undefined};

/** Only store calls for task pages are answered: answers about the epoch would show an empty store and make the entry restore its records. */
const isTaskOperation = (operationId: string) => operationId.startsWith('tasks:');
const answerHandlers: AnswerHandlers = {
	'read-store': ({operationId}) => isTaskOperation(operationId)
		? {
			kind: 'store-answered', operationId, result: 'applied', entries: [],
		}
		: undefined,
	'write-store': ({operationId, key, value}) => isTaskOperation(operationId)
		? {
			kind: 'store-answered', operationId, result: 'applied', entries: [{key, value, revision: 1}],
		}
		: undefined,
	'probe-endpoint': ({instanceId}) => ({kind: 'probe-ended', instanceId, isHealthy: true}),
};

export const getPoolName = (index: number): string => `pool-${index}`;

/** Creates an instance list whose instances are spread over the pools. */
export function createInstanceList(count: number, poolCount: number) {
	return Array.from({length: count}, (_, index) => ({
		id: `worker-${index}`,
		address: `10.${index % 11}.${Math.floor(index / 250)}.${index % 250}:8080`,
		zone: `region-1-zone-${index % 11}`,
		rack: `rack-${Math.floor(index / 4)}`,
		pool: getPoolName(index % poolCount),
		state: 'live' as const,
	}));
}

/** Creates a bundle with pools, services and teams; service `i` belongs to pool `i` modulo the number of pools. */
export function createSampleBundle(poolCount: number, serviceCount: number, teamCount = 0): Bundle {
	const pools = Array.from({length: poolCount}, (_, index) => [getPoolName(index), {
		budget: 2, maintenancePeriodDays: 35, isSpare: false, minInstances: 1, slotsPerInstance: 8,
	}] as const);
	const services = Array.from({length: serviceCount}, (_, index) => [`service-${index}`, {
		pool: getPoolName(index % poolCount),
		defaultClass: 'normal' as const, shares: {urgent: 0.5, normal: 0.35, deferrable: 0.15}, queueLimit: 1_000_000,
		notExecutedStatuses: [503], defaultDeadlineMs: 10_000,
	}] as [string, ServiceDeclaration]);
	const teams = Array.from({length: teamCount}, (_, index) => [`team-${index}`, {maxInFlight: 100, weight: 1}] as const);
	return {
		schemaVersion: 1, version: 1, pools: Object.fromEntries(pools), services: Object.fromEntries(services), teams: Object.fromEntries(teams),
	};
}

/** Creates an active entry. The pools that it owns are fenced and their instances are serving. */
export function createSampleEntry(options: SampleOptions = {}): SampleEntry {
	const {
		ownedPools = 1, otherPools = 0, instances = 0, services = 1, peers = 0,
	} = options;
	const poolCount = ownedPools + otherPools;
	const state = createEntryState({
		id: entryId, zone: 'a', peerAddress: '127.0.0.1:1', timings: defaultTimings, verifyBundle: () => ({kind: 'invalid', reason: 'not used'}),
	});
	const sample: SampleEntry = {
		state,
		now: 10_000,
		applyEvent(event) {
			const effects = applyEvent(state, event, {now: sample.now, wallTime: startWallTime + sample.now, random});
			for (const effect of effects) {
				const answer = (answerHandlers[effect.kind] as ((value: Effect) => EntryEvent | undefined) | undefined)?.(effect);
				if (answer !== undefined) {
					effects.push(...sample.applyEvent(answer));
				}

				if (effect.kind === 'handler-failed') {
					throw effect.error;
				}
			}

			return effects;
		},
	};
	setMembership(state, options, ownedPools, otherPools, peers);
	state.bundle.current = createSampleBundle(Math.max(poolCount, 1), services);
	for (let index = 0; index < ownedPools; index++) {
		const pool = getPoolName(index);
		state.membership.acquiredPools.add(pool);
		getPoolKeys(state, pool).coverageSince = Number.NEGATIVE_INFINITY;
		const ownedPool = createOwnedPool();
		ownedPool.record = {
			ownerEpoch: 1, owner: entryId, permits: {}, maintained: {},
		};
		ownedPool.isFenced = true;
		ownedPool.revision = 1;
		state.fleet.owned.set(pool, ownedPool);
	}

	renewVouchers(sample, peers);
	if (instances > 0) {
		addInstances(sample, instances, poolCount);
	}

	return sample;
}

function setMembership(state: EntryState, options: SampleOptions, ownedPools: number, otherPools: number, peers: number): void {
	const members = Array.from({length: peers + 1}, (_, index) => ({id: `e${index}`, address: `127.0.0.1:${index + 1}`, zone: 'a'}));
	const pools: Record<string, PoolAssignment> = {};
	for (let index = 0; index < ownedPools; index++) {
		pools[getPoolName(index)] = {owner: entryId, standby: options.hasStandby === true ? 'e1' : undefined};
	}

	for (let index = ownedPools; index < ownedPools + otherPools; index++) {
		pools[getPoolName(index)] = {owner: 'e1', standby: options.isStandby === true ? entryId : undefined};
	}

	state.membership.record = {
		epoch: 1, members, pools, previousMembers: [], previousPools: {}, forced: false, proposer: entryId,
	};
	state.membership.isActive = true;
	for (const {id} of members.slice(1)) {
		state.membership.links.add(id);
	}
}

/** Renews the vouchers of all peers for the entry. */
export function renewVouchers(sample: SampleEntry, peers: number): void {
	for (let index = 1; index <= peers; index++) {
		sample.state.membership.vouchers.set(`e${index}`, sample.now);
		sample.state.membership.lastHeardAt.set(`e${index}`, sample.now);
	}
}

function addInstances(sample: SampleEntry, count: number, poolCount: number): void {
	const instanceList = createInstanceList(count, poolCount);
	sample.applyEvent({kind: 'instances-listed', instances: instanceList});
	for (const {id, pool} of instanceList) {
		const instance = sample.state.fleet.instances.get(id)!;
		setInstanceRecord(sample.state, id, {pool, moves: 0});
		instance.recordRevision = 1;
	}

	sample.applyEvent({kind: 'tick'});
}

/** Creates a request with its own id; its key is a UUIDv7 of the entry's present time. */
export function createRequest(sample: SampleEntry, index: number, change: Partial<ServiceRequest> = {}): ServiceRequest {
	const time = (startWallTime + sample.now).toString(16).padStart(12, '0');
	const digits = String(index).padStart(12, '0');
	return {
		requestId: `request-${index}`,
		key: `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${digits}`,
		service: 'service-0',
		mode: 'direct',
		method: 'POST',
		path: `/print/${index}`,
		headers: [['content-type', 'application/json']],
		body: new Uint8Array(200),
		requestClass: 'normal',
		team: 'team-0',
		isIdempotent: true,
		timeLeftMs: 100_000,
		...change,
	};
}
