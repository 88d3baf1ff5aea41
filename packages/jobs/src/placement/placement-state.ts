import {type Step} from '../ledger/index.js';

/** Advice on which endpoints may run a step. @public */
export type StepAdvice = {
	readonly tickets: ReadonlyMap<string, string>;
	readonly validUntil: number;
};

/** @public */
export type PlacementState = {
	/** Steps of tasks that have been placed but whose runs are not supervised yet, by endpoint and task. */
	readonly reservedSteps: Map<string, Map<string, Step>>;
	/** When each pool was last searched for tasks to start, in monotonic ms. */
	readonly searchedAt: Map<string, number>;
	/** Pools that have changed since their last search. */
	readonly duePools: Set<string>;
	readonly advice: Map<string, StepAdvice>;
	/** When advice was requested, by step, while the answer is outstanding. */
	readonly adviceRequestedAt: Map<string, number>;
};

/** @public */
export function createPlacementState(): PlacementState {
	return {
		reservedSteps: new Map(), searchedAt: new Map(), duePools: new Set(), advice: new Map(), adviceRequestedAt: new Map(),
	};
}
