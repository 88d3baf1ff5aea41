import {type DurationModel} from './duration-model.js';
import {type Resources} from './resources.js';
/** Readings of an entry's clocks at one time: monotonic and Unix ms. A suspended process finds only its wall clock advanced. @public */
export type Clocks = {readonly now: number; readonly wallTime: number};

/** A running entry, as registered under its lease. @public */
export type Member = {
	readonly node: string;
	/** Unique to each start of the process. */
	readonly incarnation: string;
	/** CPU time available to the entry, in cores; entries with more of it own more pools. */
	readonly weight: number;
	/** Where other entries send relayed requests; undefined if the entry takes none, as one of an earlier version. */
	readonly peerServer?: PeerServer | undefined;
};

/** @public */
export type PeerServer = {
	/** IP address and port. */
	readonly address: string;
	/** Random text of this process that authorizes relayed requests. It must not be logged. */
	readonly secret: string;
};

/** Name of the claim whose holder alone gives orders to machines. @public */
export const fleetClaim = 'fleet';

/** Prefix of the names of claims on pools; the pool's name follows it. @public */
export const poolClaimPrefix = 'pool/';

/** Exclusive authority of one entry over a pool or over the fleet. @public */
export type Claim = {
	readonly name: string;
	readonly node: string;
	readonly incarnation: string;
	/** Revision of the record. It increases with each claim and serves as the fencing token. */
	readonly token: number;
};

/** Load and demand of a pool, published by its owner several times a second. @public */
export type PoolReport = {
	readonly pool: string;
	/** Unix ms of the last call by which the store has confirmed the owner's claim before it published the report; 0 while the owner may not have learned of all jobs since it reached the store again. */
	readonly confirmedAt: number;
	// Where the pool runs short of memory first, the amounts below are the CPU of the endpoints that have the memory.
	/** Number of accepted jobs without a started task, by queue. */
	readonly waiting: Readonly<Record<string, number>>;
	/** Thousandths of a core requested by tasks that are ready but not running. */
	readonly backlogMillis: number;
	/** Whether there is work other than long-running tasks. */
	readonly hasWork: boolean;
	/** Thousandths of a core in use. */
	readonly usedMillis: number;
	/** Thousandths of a core that suffice to run all long-running tasks and to finish every job in time that still can. */
	readonly neededMillis: number;
	/** Thousandths of a core that work would keep busy at its present rate of arrival. */
	readonly arrivingMillis: number;
	/** Minimum number of endpoints for the pool's long-running tasks, given how many tasks of a step may share one. */
	readonly endpointMinimum: number;
	/** Endpoints that accept new tasks. */
	readonly usableEndpoints: readonly string[];
	/** Usable endpoints without tasks. */
	readonly idleEndpoints: readonly string[];
	/** Usable endpoints that run long-running tasks only. */
	readonly servingEndpoints: readonly string[];
	/** Usable endpoints without long-running tasks, least loaded first; the pool releases them in this order. */
	readonly releasableEndpoints: readonly string[];
	/** Endpoints that are being evacuated although tasks wait which they could run and no other endpoint of the pool can. */
	readonly neededEndpoints: readonly string[];
	/** Durations of tasks against their estimates by queue, for the pool's next owner. */
	readonly durationModels: Readonly<Record<string, DurationModel>>;
};

/** What is known about the demand of a pool. @public */
export type PoolDemandHistory = {
	readonly pool: string;
	/** Machines in the pool at the first work in any pool: as many as the operators have given it. */
	readonly assignedMachines: number;
	/** Unix ms of the first work in any pool. */
	readonly since: number;
	/** Whether the pool has had a burst of work. */
	readonly hasPeaked: boolean;
};

/** Asks a pool's owner to evacuate an endpoint, so that its machine can be moved or maintained. @public */
export type EvacuationRequest = {
	/** Unique to each request, so that an answer to an earlier one is not mistaken for an answer to this one. */
	readonly requestId: string;
	readonly pool: string;
	readonly endpointId: string;
	readonly machine: string;
	readonly purpose: 'maintenance' | 'move';
	/** Unix ms from which running tasks are stopped instead of awaited. */
	readonly dueAt: number;
};

/** The owner's answer to an evacuation request: the endpoint runs no tasks and is given no new ones. @public */
export type EvacuatedEndpoint = {
	readonly requestId: string;
	readonly pool: string;
	readonly endpointId: string;
};

/** Endpoints on which an owner may have started tasks. An endpoint is added to it in the store before the first start there. @public */
export type Roster = {
	readonly endpointIds: readonly string[];
	/**
	Runs that may still be running on unresponsive endpoints, or whose ends there are not saved, by endpoint. No task is started there, so the next owner need not wait for these endpoints before it starts other tasks.
	*/
	readonly silentRuns?: Readonly<Record<string, readonly RunId[]>>;
	/** The process of each of these endpoints that last answered the owner, by the Unix ms at which it started. Orders that were sent to an earlier one may be carried out by a later one. */
	readonly processes?: Readonly<Record<string, number>>;
};

/** Identifies one run of a task. @public */
export type RunId = {readonly taskId: string; readonly run: number};

/** Part of an account's cap that the owner of a pool may use. @public */
export type PoolShare = {
	readonly share: Resources;
	/** What the pool's tasks of the account occupy, and what those would take that wait only because of the cap. */
	readonly wanted: Resources;
	/** What a task or gang takes that can only start whole, if that is more than the pool's part of the cap. */
	readonly unit?: Resources | undefined;
	/** Unix ms since when it waits; pools get as much as such a unit takes in turn. */
	readonly unitSince?: number | undefined;
};

/** How an account's cap is divided among the pools. @public */
export type ShareRecord = {
	/** The cap when the record was written; it applies to running jobs of an account that has left the configuration. */
	readonly cap: Resources;
	/** By pool; a pool without an entry has no share and wants none. */
	readonly pools: Readonly<Record<string, PoolShare>>;
};

/** The record of an account's shares as read from the store; `record` is undefined if it has been deleted or cannot be decoded. @public */
export type StoredShares = {
	readonly account: string;
	/** 0 if there is no record. */
	readonly revision: number;
	readonly record: ShareRecord | undefined;
};

/** A pool that an entry owns, and the token of its claim. @public */
export type OwnedPool = {readonly pool: string; readonly token: number};
