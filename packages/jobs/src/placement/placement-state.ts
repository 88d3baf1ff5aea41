import {type Step} from '../ledger/index.js';

/** Ticket for starting the tasks of a step on an endpoint. @public */
export type Ticket = {
	readonly ticket: string;
	/** Start time of the endpoint's process, beyond which the ticket is void. */
	readonly startedAt: number;
	/** Monotonic ms. */
	validUntil: number;
};

/** What the advice service has said about a step. @public */
export type StepAdvice = {
	readonly step: Step;
	/** Last ticket of each endpoint that may run the step. */
	readonly tickets: Map<string, Ticket>;
	/** Endpoints that may not run the step, with the start time of the process that this was said of. */
	readonly barred: Map<string, number>;
	/** Endpoints in the request that is not answered yet, with the start times of their processes. */
	requested: ReadonlyMap<string, number> | undefined;
	/** Monotonic ms before which no request is sent, as the last one failed. */
	retryAt: number;
};

/** @public */
export type PlacementState = {
	/** Steps of tasks that have been placed but whose runs are not supervised yet, by endpoint and task. */
	readonly reservedSteps: Map<string, Map<string, Step>>;
	/** When each pool was last searched for tasks to start, in monotonic ms. */
	readonly searchedAt: Map<string, number>;
	/** Pools that have changed since their last search. */
	readonly duePools: Set<string>;
	/** By step id, for steps that are not done. */
	readonly advice: Map<string, StepAdvice>;
};

/** @public */
export function createPlacementState(): PlacementState {
	return {
		reservedSteps: new Map(), searchedAt: new Map(), duePools: new Set(), advice: new Map(),
	};
}
