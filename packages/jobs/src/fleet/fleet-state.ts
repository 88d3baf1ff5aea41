import {
	type EvacuationRequest, type Machine, type MachineOrder, type PoolDemandHistory, type PoolReport, type Wave,
} from '../model/index.js';

/** Reports older than this are ignored. @internal */
export const maxReportAgeMs = 3000;

/** A wave and its progress. @public */
export type WaveProgress = {
	readonly wave: Wave;
	/** Unix ms at which it was first seen. */
	readonly seenAt: number;
	readonly maintained: Set<string>;
	status: 'new' | 'running' | 'done';
	/** Whether the stored status is out of date. */
	hasUnwrittenStatus: boolean;
	isWritingStatus: boolean;
};

/** An order that has not been answered, or whose machine is not available again yet. @public */
export type OpenOrder = {
	readonly order: MachineOrder;
	readonly machine: string;
	readonly pool: string;
	/** Number of the wave that asked for the maintenance; 0 for a move. */
	readonly wave: number;
	/** When the order was sent or, once it has been answered, when the answer arrived; in monotonic ms. */
	sentAt: number;
	/** When it was sent for the first and for the last time, in monotonic ms. */
	readonly firstAttemptAt: number;
	readonly lastAttemptAt: number;
	/** Whether it may have been carried out, as an attempt got no answer. */
	isUncertain: boolean;
	/** Endpoint that ran on the machine when the order was sent. */
	readonly endpointId: string | undefined;
	phase: 'sent' | 'accepted' | 'retry';
	/** Whether the machine list has shown the machine as unavailable since the order was accepted. */
	wasSeenUnavailable: boolean;
};

/** A request to evacuate an endpoint that has not been withdrawn. @public */
export type OpenEvacuation = {
	readonly request: EvacuationRequest;
	readonly requestedAt: number;
	/** When the pool's owner was seen to have confirmed it; undefined before that. */
	confirmedAt?: number;
};

/** @public */
export type FleetState = {
	/** Minimum time in ms between orders of two holders for the same machine. */
	readonly orderLeaseMs: number;
	/** Fencing token of the fleet's claim while this entry holds it. */
	token: number | undefined;
	/** Monotonic ms before which no order is sent, as the previous holder may still send some, but to machines that it is known not to have ordered. */
	ordersAllowedFrom: number;
	/** Token of the previous holder; undefined if there is none or it is not known. */
	previousToken: number | undefined;
	/** Machines that the previous holder may have ordered in its last seconds; undefined while that is not known. */
	inheritedOrders: ReadonlySet<string> | undefined;
	/** Monotonic ms from which none of these orders counts any more. */
	inheritedUntil: number;
	readonly machines: Map<string, Machine>;
	/** When the machine list was last read, in monotonic ms. */
	listedAt: number | undefined;
	/** When the machine list was last requested, in monotonic ms, while the answer is outstanding. */
	listRequestedAt: number | undefined;
	/** When the known list was requested, in monotonic ms: it shows all that was done before. */
	listValidAt: number | undefined;
	readonly waves: Map<number, WaveProgress>;
	readonly evacuations: Map<string, OpenEvacuation>;
	/** Number of evacuations requested by this entry so far; part of their ids. */
	evacuationCount: number;
	/** Endpoints whose evacuation the pool's owner has confirmed. */
	readonly evacuatedIds: Set<string>;
	/** Evacuated endpoints whose machine has left them, with their pool and when that was seen, in monotonic ms. */
	readonly departedEndpoints: Map<string, {readonly pool: string; readonly seenAt: number}>;
	readonly orders: Map<string, OpenOrder>;
	readonly reports: Map<string, {readonly report: PoolReport; readonly seenAt: number}>;
	/** When each machine last joined its pool or got a new endpoint, in monotonic ms. */
	readonly joinedPoolAt: Map<string, number>;
	/** When each pool last had less than one machine to spare, in monotonic ms. */
	readonly lastFullAt: Map<string, number>;
	/** When any pool last had work other than long-running tasks, in monotonic ms. */
	lastWorkAt: number | undefined;
	/** What is known about the demand of each pool, from this holder of the fleet's claim or an earlier one. */
	readonly demandHistory: Map<string, PoolDemandHistory>;
	/** Whether the stored history is out of date. */
	hasUnwrittenHistory: boolean;
	/** Whether any pool needs more machines than it has and is about to get. */
	hasShortage: boolean;
	/** Pools whose work waits for machines, including machines that are already on their way. */
	readonly poolsAwaitingMachines: Set<string>;
	/** When the pools' balances were last logged, in monotonic ms. */
	balancesLoggedAt: number;
	/** Machines that the machine service refuses to move. */
	readonly immovableMachines: Set<string>;
	/** Machines whose last order was given up, or whose evacuation was withdrawn for lack of an order: how often in a row, and until when in monotonic ms no other is prepared. */
	readonly pausedMachines: Map<string, {readonly count: number; readonly pausedUntil: number}>;
};

/** @public */
export function createFleetState(orderLeaseMs: number): FleetState {
	return {
		orderLeaseMs,
		token: undefined,
		ordersAllowedFrom: 0,
		previousToken: undefined,
		inheritedOrders: undefined,
		inheritedUntil: 0,
		machines: new Map(),
		listedAt: undefined,
		listRequestedAt: undefined,
		listValidAt: undefined,
		waves: new Map(),
		evacuations: new Map(),
		evacuationCount: 0,
		evacuatedIds: new Set(),
		departedEndpoints: new Map(),
		orders: new Map(),
		reports: new Map(),
		joinedPoolAt: new Map(),
		lastFullAt: new Map(),
		lastWorkAt: undefined,
		demandHistory: new Map(),
		hasUnwrittenHistory: false,
		hasShortage: false,
		poolsAwaitingMachines: new Set(),
		balancesLoggedAt: 0,
		immovableMachines: new Set(),
		pausedMachines: new Map(),
	};
}
