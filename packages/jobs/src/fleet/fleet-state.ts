import {
	type Machine, type MachineOrder, type PoolReport, type EvacuationRequest, type Wave,
} from '../model/index.js';

/** A wave and how far it has come. @public */
export type WaveProgress = {
	readonly wave: Wave;
	/** Unix ms at which it was first seen. */
	readonly seenAt: number;
	readonly maintained: Set<string>;
	status: 'new' | 'running' | 'done';
	/** The status on record is behind. */
	isBehind: boolean;
	isWriting: boolean;
};

/** An order that is out, or whose machine is not back yet. @public */
export type OpenOrder = {
	readonly order: MachineOrder;
	readonly machine: string;
	readonly pool: string;
	readonly wave: number;
	sentAt: number;
	/** Endpoint that ran on the machine before. */
	readonly endpointId: string | undefined;
	phase: 'sent' | 'accepted' | 'again';
	/** The list has shown the machine as away since. */
	wasSeenAway: boolean;
};

/** A wish that an endpoint be empty. @public */
export type EvacuationState = {
	readonly request: EvacuationRequest;
	readonly askedAt: number;
};

/** @public */
export type FleetState = {
	/** Time in ms for which orders of two holders for one machine are kept apart. */
	readonly orderLeaseMs: number;
	/** Fencing token while this entry holds the fleet's claim. */
	token: number | undefined;
	/** No order before this time in monotonic ms, as a former holder may still give some. */
	mayOrderFrom: number;
	readonly machines: Map<string, Machine>;
	listedAt: number | undefined;
	listAskedAt: number | undefined;
	readonly waves: Map<number, WaveProgress>;
	readonly evacuations: Map<string, EvacuationState>;
	/** Wishes made by this entry so far. */
	requestCount: number;
	/** Endpoints that their owner has reported as empty. */
	readonly evacuatedIds: Set<string>;
	readonly orders: Map<string, OpenOrder>;
	readonly reports: Map<string, {readonly report: PoolReport; readonly seenAt: number}>;
	/** When a machine last came to its pool, in monotonic ms. */
	readonly settledAt: Map<string, number>;
	/** When a pool last had less than a machine to spare, in monotonic ms. */
	readonly fullAt: Map<string, number>;
	/** When any pool last had work other than long-running tasks. */
	workedAt: number | undefined;
	/** Whether a pool asks for more machines than it has and gets. */
	isShort: boolean;
	/** Pools whose work waits for machines, also for those that are on their way. */
	readonly busyPools: Set<string>;
	/** When the pools' balance was last logged, in monotonic ms. */
	balancesLoggedAt: number;
	/** Machines that the service will not move. */
	readonly immovable: Set<string>;
};

/** @public */
export function createFleetState(orderLeaseMs: number): FleetState {
	return {
		orderLeaseMs,
		token: undefined,
		mayOrderFrom: 0,
		machines: new Map(),
		listedAt: undefined,
		listAskedAt: undefined,
		waves: new Map(),
		evacuations: new Map(),
		requestCount: 0,
		evacuatedIds: new Set(),
		orders: new Map(),
		reports: new Map(),
		settledAt: new Map(),
		fullAt: new Map(),
		workedAt: undefined,
		isShort: false,
		busyPools: new Set(),
		balancesLoggedAt: 0,
		immovable: new Set(),
	};
}
