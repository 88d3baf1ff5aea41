import {type RandomSource} from '@pistachiogauge/decisions';
import {type DarkOrders, type Lateness} from '@pistachiogauge/platform/standins';

/** The entry that a fault concerns: the owner of a pool at that time, or the entry of an index. */
export type EntryTarget = {readonly kind: 'owner'; readonly pool: number} | {readonly kind: 'entry'; readonly index: number};

type FaultParameters = {
	/** Cuts an entry and some endpoints off from the rest, but not from each other. */
	readonly 'group-cut': {
		readonly target: EntryTarget;
		readonly endpointCount: number;
		readonly firstEndpoint: number;
		/** What the store does with the entry's keys as the cut begins. */
		readonly keys: 'kept' | 'taken' | 'taken-and-lease-ended';
		/** Whether the endpoints' status reports reach the store. */
		readonly hasReports: boolean;
		/** Share of the orders across the cut that are carried out late. */
		readonly lateShare: number;
	};
	/** Requests arrive, answers are lost. */
	readonly 'one-way-cut': {readonly target: EntryTarget; readonly side: 'store' | 'endpoints' | 'both'};
	readonly 'keys-taken': {readonly target: EntryTarget; readonly endsLease: boolean};
	readonly 'store-down': {
		readonly entries: 'all' | readonly number[];
		readonly state: 'cut' | 'refused' | 'reset';
		readonly pausesLeases: boolean;
	};
	readonly 'store-writes': {readonly state: 'answers-lost' | 'late'; readonly share: number};
	readonly 'store-history-lost': Record<never, never>;
	readonly 'entry-paused': {readonly target: EntryTarget};
	readonly 'entry-killed': {readonly target: EntryTarget};
	readonly 'entry-terminated': {readonly target: EntryTarget};
	readonly 'entry-reloaded': {readonly target: EntryTarget};
	/** The endpoint comes back under its id when the fault ends; `cutForMs` more it is out of the entries' reach. */
	readonly 'endpoint-crashed': {readonly endpoint: number; readonly isSilent: boolean; readonly cutForMs: number};
	readonly 'endpoint-cut': {readonly endpoint: number; readonly hasReports: boolean};
	readonly 'orders-late': {readonly share: number};
	readonly 'connections-reset': {readonly target: EntryTarget; readonly endpoint: number};
	/** Endpoints of a pool lose answers, crash, are back under their ids a little later and are then cut off until the fault ends. */
	readonly 'endpoints-recut': {
		readonly pool: number;
		readonly endpointCount: number;
		readonly firstEndpoint: number;
		/** Share of the orders before the crash that get no answer and are carried out later, by whichever process is there then. */
		readonly lateShare: number;
		readonly lateness: Lateness;
		/** What becomes of orders between the crash and the return. */
		readonly darkOrders: DarkOrders;
		/** Time from the return until the cut. */
		readonly cutAfterMs: number;
		/** Whether the endpoints' status reports get through the cut. */
		readonly hasReports: boolean;
		/** When the pool's owner is killed, from the return on; undefined if it is not. */
		readonly killAfterMs: number | undefined;
		readonly ownerDownMs: number;
	};
};

/** @public */
export type FaultKind = keyof FaultParameters;

/** A fault of a kind, with its parameters, start and duration. */
export type FaultPlanOf<Kind extends FaultKind> = {readonly kind: Kind; readonly atMs: number; readonly durationMs: number} & FaultParameters[Kind];

export type FaultPlan = {[Kind in FaultKind]: FaultPlanOf<Kind>}[FaultKind];

export type FaultBounds = {readonly entryCount: number; readonly poolCount: number; readonly endpointCount: number};

type FaultDraw<Kind extends FaultKind> = {
	/** Relative frequency. */
	readonly weight: number;
	readonly minMs: number;
	readonly maxMs: number;
	draw(random: RandomSource, bounds: FaultBounds): FaultParameters[Kind];
};

/** Faults that are drawn at random; the others are added to a plan if they are asked for. */
type DrawnFaultKind = Exclude<FaultKind, 'endpoints-recut'>;

const draws: {readonly [Kind in DrawnFaultKind]: FaultDraw<Kind>} = {
	'group-cut': {
		weight: 6,
		minMs: 3000,
		maxMs: 15_000,
		draw: (random, bounds) => ({
			target: drawTarget(random, bounds, 0.9),
			endpointCount: 1 + random.getInteger(3),
			firstEndpoint: random.getInteger(bounds.endpointCount),
			keys: drawItem(random, ['kept', 'kept', 'taken', 'taken-and-lease-ended']),
			hasReports: random.getInteger(2) === 0,
			lateShare: drawItem(random, [0, 0, 0.2]),
		}),
	},
	'one-way-cut': {
		weight: 2, minMs: 2000, maxMs: 10_000, draw: (random, bounds) => ({target: drawTarget(random, bounds, 0.7), side: drawItem(random, ['store', 'endpoints', 'both'])}),
	},
	'keys-taken': {
		weight: 1, minMs: 0, maxMs: 0, draw: (random, bounds) => ({target: drawTarget(random, bounds, 0.8), endsLease: random.getInteger(2) === 0}),
	},
	'store-down': {
		weight: 2,
		minMs: 1500,
		maxMs: 9000,
		draw: (random, {entryCount}) => ({
			entries: random.getInteger(2) === 0 ? 'all' : Array.from({length: 1 + random.getInteger(entryCount - 1)}, () => random.getInteger(entryCount)),
			state: drawItem(random, ['cut', 'refused', 'reset']),
			pausesLeases: random.getInteger(2) === 0,
		}),
	},
	'store-writes': {
		weight: 2, minMs: 1000, maxMs: 6000, draw: random => ({state: drawItem(random, ['answers-lost', 'late']), share: 0.1 + (0.5 * random.getFraction())}),
	},
	'store-history-lost': {
		weight: 0.5, minMs: 0, maxMs: 0, draw: () => ({}),
	},
	'entry-paused': {
		weight: 3, minMs: 800, maxMs: 8000, draw: (random, bounds) => ({target: drawTarget(random, bounds, 0.9)}),
	},
	'entry-killed': {
		weight: 1.5, minMs: 300, maxMs: 5000, draw: (random, bounds) => ({target: drawTarget(random, bounds, 0.7)}),
	},
	'entry-terminated': {
		weight: 1, minMs: 6500, maxMs: 8000, draw: (random, bounds) => ({target: drawTarget(random, bounds, 0.6)}),
	},
	'entry-reloaded': {
		weight: 0.5, minMs: 0, maxMs: 0, draw: (random, bounds) => ({target: drawTarget(random, bounds, 0.5)}),
	},
	'endpoint-crashed': {
		weight: 1.5,
		minMs: 200,
		maxMs: 6000,
		draw: (random, {endpointCount}) => ({
			endpoint: random.getInteger(endpointCount), isSilent: random.getInteger(2) === 0, cutForMs: drawItem(random, [0, 0, 3000]),
		}),
	},
	'endpoint-cut': {
		weight: 1.5, minMs: 1000, maxMs: 12_000, draw: (random, {endpointCount}) => ({endpoint: random.getInteger(endpointCount), hasReports: random.getInteger(2) === 0}),
	},
	'orders-late': {
		weight: 1.5, minMs: 1000, maxMs: 5000, draw: random => ({share: 0.05 + (0.2 * random.getFraction())}),
	},
	'connections-reset': {
		weight: 0.5, minMs: 0, maxMs: 0, draw: (random, bounds) => ({target: drawTarget(random, bounds, 0.5), endpoint: random.getInteger(bounds.endpointCount)}),
	},
};

/** Names of the faults that are drawn at random. @public */
export const faultKinds = Object.keys(draws) as DrawnFaultKind[];

/** Names of the faults that are played only if they are asked for. @public */
export const addedFaultKinds = ['endpoints-recut'] as const satisfies readonly FaultKind[];

/** The load runs for this long before the first fault. */
const firstFaultMs = 3000;
const meanFaultIntervalMs = 4500;

export function drawItem<const Items extends readonly unknown[]>(random: RandomSource, items: Items): Items[number] {
	return items[random.getInteger(items.length)];
}

function drawTarget(random: RandomSource, {entryCount, poolCount}: FaultBounds, ownerShare: number): EntryTarget {
	return random.getFraction() < ownerShare ? {kind: 'owner', pool: random.getInteger(poolCount)} : {kind: 'entry', index: random.getInteger(entryCount)};
}

function drawKind(random: RandomSource): DrawnFaultKind {
	const total = faultKinds.reduce((sum, kind) => sum + draws[kind].weight, 0);
	let rest = random.getFraction() * total;
	for (const kind of faultKinds) {
		rest -= draws[kind].weight;
		if (rest < 0) {
			return kind;
		}
	}

	return 'group-cut';
}

/** Draws faults that follow and overlap each other; all of them end within the duration. */
export function drawFaults(random: RandomSource, durationMs: number, bounds: FaultBounds): FaultPlan[] {
	const faults: FaultPlan[] = [];
	for (let atMs = firstFaultMs; atMs < durationMs; atMs += Math.round(2 * meanFaultIntervalMs * random.getFraction())) {
		const kind = drawKind(random);
		const {minMs, maxMs, draw} = draws[kind];
		const drawnMs = Math.round(minMs + ((maxMs - minMs) * random.getFraction()));
		const parameters = draw(random, bounds);
		if (atMs + minMs <= durationMs) {
			faults.push({
				kind, atMs, durationMs: Math.min(drawnMs, durationMs - atMs), ...parameters,
			} as FaultPlan);
		}
	}

	return faults;
}
