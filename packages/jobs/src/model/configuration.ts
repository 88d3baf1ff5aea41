import {type AdvicePolicy} from './job.js';

/** A queue that clients hand jobs to, selected by host and longest prefix. @public */
export type Queue = {
	readonly name: string;
	readonly host: string;
	readonly prefix: string;
	/** Pool whose endpoints run the queue's tasks. */
	readonly pool: string;
	readonly priority: number;
	readonly attempts: number;
	readonly stretch: number;
	readonly latencyTargetMs: number;
	readonly advice: AdvicePolicy | undefined;
};

/** @public */
export type PoolDeclaration = {
	readonly name: string;
	/** Instances in this pool are off and cost nothing. */
	readonly isSpare: boolean;
};

/** Limits on callers' requests. @public */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** What the operator has in force. @public */
export type Configuration = {
	readonly version: number;
	readonly queues: readonly Queue[];
	readonly pools: readonly PoolDeclaration[];
	readonly limits: CallerLimits;
};
