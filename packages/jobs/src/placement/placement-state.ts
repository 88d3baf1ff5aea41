import {type Step} from '../ledger/index.js';

/** Advice on which endpoints may run a step. @public */
export type StepAdvice = {
	readonly tickets: ReadonlyMap<string, string>;
	readonly validUntil: number;
};

/** @public */
export type PlacementState = {
	/** Steps of tasks placed on an endpoint whose runs are not set up yet, by endpoint and task. */
	readonly reserved: Map<string, Map<string, Step>>;
	/** When each pool was last searched for tasks to start, in monotonic ms. */
	readonly placedAt: Map<string, number>;
	/** Pools in which something has changed since. */
	readonly due: Set<string>;
	readonly advice: Map<string, StepAdvice>;
	/** When advice was asked for, by step, while the answer is out. */
	readonly adviceAsked: Map<string, number>;
};

/** @public */
export function createPlacementState(): PlacementState {
	return {
		reserved: new Map(), placedAt: new Map(), due: new Set(), advice: new Map(), adviceAsked: new Map(),
	};
}
