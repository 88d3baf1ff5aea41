import {type ClientAccount} from './client-account.js';
import {type AdvicePolicy} from './job.js';

/** A queue that clients submit jobs to. A request selects it by host and longest matching path prefix. @public */
export type Queue = {
	readonly name: string;
	/** In lower case, without port and final dot. */
	readonly host: string;
	readonly prefix: string;
	/** Pool whose endpoints run the queue's tasks. */
	readonly pool: string;
	/** 0 is the highest. */
	readonly priority: number;
	/** A task that has failed this many times fails its job. */
	readonly attempts: number;
	/** Factor of the critical path in the latency objective; see {@link JobRecord.stretch}. */
	readonly stretch: number;
	/** Constant part of the latency objective. */
	readonly latencyTargetMs: number;
	readonly advice: AdvicePolicy | undefined;
	/** Callers need no API key. */
	readonly isPublic: boolean;
};

/** @public */
export type PoolDeclaration = {
	readonly name: string;
	/** Instances in this pool are switched off and cost nothing. */
	readonly isSpare: boolean;
};

/** Limits on requests from callers. @public */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** The operator's configuration. The one with the highest version applies. @public */
export type Configuration = {
	readonly version: number;
	readonly queues: readonly Queue[];
	readonly pools: readonly PoolDeclaration[];
	/** Undefined in a deployment without client accounts. */
	readonly accounts?: readonly ClientAccount[] | undefined;
	readonly limits: CallerLimits;
};
