/** An entry that takes part, as registered under its lease. @public */
export type Member = {
	readonly node: string;
	/** Differs for each life of the process. */
	readonly incarnation: string;
	/** Share of a core that the entry has; a larger entry is given more pools. */
	readonly weight: number;
};

/** Name of the claim on all orders to machines. @public */
export const fleetClaim = 'fleet';

/** Claims are on pools, by their name with this prefix, and on the fleet. @public */
export const poolClaimPrefix = 'pool/';

/** Who may act for a pool or for the fleet. @public */
export type Claim = {
	readonly name: string;
	readonly node: string;
	readonly incarnation: string;
	/** Revision of the record. It rises with each claim and serves as the fencing token. */
	readonly token: number;
};

/** What a pool's owner tells the others about it, some times a second. @public */
export type PoolReport = {
	readonly pool: string;
	/** Accepted jobs by queue of which no task has started. */
	readonly waiting: Readonly<Record<string, number>>;
	/** Thousandths of a core that tasks ready to run ask for and have not got. */
	readonly backlogMillis: number;
	/** Whether there is work other than long-running tasks. */
	readonly hasWork: boolean;
	/** Thousandths of a core in use. */
	readonly usedMillis: number;
	/** Thousandths of a core with which all jobs that can be in time are, and all long-running tasks run. */
	readonly neededMillis: number;
	/** Thousandths of a core that work as it arrives at present would keep busy. */
	readonly arrivingMillis: number;
	/** Fewest endpoints on which its long-running tasks can run, with as many on one as their steps allow. */
	readonly endpointMinimum: number;
	/** Endpoints that take new tasks. */
	readonly usableEndpoints: readonly string[];
	/** Endpoints with no task. */
	readonly idleEndpoints: readonly string[];
	/** Endpoints with long-running tasks and no others. */
	readonly servingEndpoints: readonly string[];
	/** Usable endpoints without long-running tasks, those with the least work first: the first to be given away. */
	readonly releasableEndpoints: readonly string[];
};

/** A wish that an endpoint be empty, so that its machine can be ordered away. @public */
export type EvacuationRequest = {
	/** Differs for each request, so that an answer to a former one is not taken for an answer to this. */
	readonly requestId: string;
	readonly pool: string;
	readonly endpointId: string;
	readonly machine: string;
	readonly purpose: 'maintenance' | 'move';
	/** Unix ms after which running tasks are stopped rather than awaited. */
	readonly dueAt: number;
};

/** The owner's answer to a request: the endpoint runs nothing and gets nothing new. @public */
export type EvacuatedEndpoint = {
	readonly requestId: string;
	readonly pool: string;
	readonly endpointId: string;
};

/** Endpoints that an owner may have started tasks on; written before the first start there. @public */
export type Roster = {
	readonly endpointIds: readonly string[];
	/**
	Runs that may be at work on endpoints that do not answer, by endpoint. No task is started there; a next owner need not wait for these endpoints before it starts other tasks.
	*/
	readonly silentRuns?: Readonly<Record<string, readonly RunId[]>>;
};

/** A start of a task. @public */
export type RunId = {readonly taskId: string; readonly run: number};
