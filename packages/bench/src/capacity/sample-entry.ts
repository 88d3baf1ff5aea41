import {
	applyEvent, createEntryState, createOwnedPool, createRandomSource, getPoolKeys, setInstanceRecord, type EntryState,
} from '@pistachiogauge/decisions';
import {
	defaultTimings, type Bundle, type Effect, type EffectKind, type EffectOf, type EntryEvent, type PoolAssignment, type ServiceDeclaration, type ServiceRequest,
} from '@pistachiogauge/model';

/** Size and role of an entry to measure. */
export type SampleOptions = {
	readonly ownedPools?: number;
	/** Pools that the next member owns. */
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

/** An entry with the time of its own; store calls and probes are answered at once. */
export type SampleEntry = {
	readonly state: EntryState;
	now: number;
	send(event: EntryEvent): Effect[];
};

const startTime = 1_800_000_000_000;
const random = createRandomSource(1);
const entryId = 'e0';

type AnswerTable = {readonly [Kind in EffectKind]?: (effect: EffectOf<Kind>) => EntryEvent | undefined};

/** Only the task pages are stored; answers about the epoch would show an empty store and start repairs. */
const isTaskOperation = (operationId: string) => operationId.startsWith('tasks:');
const answers: AnswerTable = {
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

/** Name of a sample pool. */
export const getPoolName = (index: number): string => `pool-${index}`;

/** Instance list with the given number of instances, spread over the pools. */
export function createListing(count: number, poolCount: number) {
	return Array.from({length: count}, (_, index) => ({
		id: `worker-${index}`,
		address: `10.${index % 11}.${Math.floor(index / 250)}.${index % 250}:8080`,
		zone: `region-1-zone-${index % 11}`,
		rack: `rack-${Math.floor(index / 4)}`,
		pool: getPoolName(index % poolCount),
		state: 'live' as const,
	}));
}

/** Declares pools, services and teams; service `i` belongs to pool `i` modulo the pools. */
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

/** Creates an active entry. Pools that it owns are fenced, and their instances serve. */
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
		send(event) {
			const effects = applyEvent(state, event, {now: sample.now, wallTime: startTime + sample.now, random});
			for (const effect of effects) {
				const answer = (answers[effect.kind] as ((value: Effect) => EntryEvent | undefined) | undefined)?.(effect);
				if (answer !== undefined) {
					effects.push(...sample.send(answer));
				}

				if (effect.kind === 'handler-failed') {
					throw effect.error;
				}
			}

			return effects;
		},
	};
	setEpoch(state, options, ownedPools, otherPools, peers);
	state.bundle.current = createSampleBundle(Math.max(poolCount, 1), services);
	for (let index = 0; index < ownedPools; index++) {
		const pool = getPoolName(index);
		state.membership.acquiredPools.add(pool);
		getPoolKeys(state, pool).coverageSince = Number.NEGATIVE_INFINITY;
		const owned = createOwnedPool();
		owned.record = {
			ownerEpoch: 1, owner: entryId, permits: {}, maintained: {},
		};
		owned.isFenced = true;
		owned.revision = 1;
		state.fleet.owned.set(pool, owned);
	}

	vouchForAll(sample, peers);
	if (instances > 0) {
		addInstances(sample, instances, poolCount);
	}

	return sample;
}

function setEpoch(state: EntryState, options: SampleOptions, ownedPools: number, otherPools: number, peers: number): void {
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

/** Gives the entry unexpired vouchers of all peers. */
export function vouchForAll(sample: SampleEntry, peers: number): void {
	for (let index = 1; index <= peers; index++) {
		sample.state.membership.vouchers.set(`e${index}`, sample.now);
		sample.state.membership.lastHeardAt.set(`e${index}`, sample.now);
	}
}

function addInstances(sample: SampleEntry, count: number, poolCount: number): void {
	const listing = createListing(count, poolCount);
	sample.send({kind: 'instances-listed', instances: listing});
	for (const {id, pool} of listing) {
		const instance = sample.state.fleet.instances.get(id)!;
		setInstanceRecord(sample.state, id, {pool, moves: 0});
		instance.recordRevision = 1;
	}

	sample.send({kind: 'tick'});
}

/** Builds a request with its own id; its key, when it has one, is a UUIDv7 of the present. */
export function createRequest(sample: SampleEntry, index: number, change: Partial<ServiceRequest> = {}): ServiceRequest {
	const time = (startTime + sample.now).toString(16).padStart(12, '0');
	const serial = String(index).padStart(12, '0');
	return {
		requestId: `request-${index}`,
		key: `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${serial}`,
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
