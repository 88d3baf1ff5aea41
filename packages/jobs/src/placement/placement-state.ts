import {type Step} from '../ledger/index.js';

/** What is known of an endpoint's work, apart from its leases. @public */
export type EndpointRecord = {
	/** Failures in a row with no success between. */
	failuresInRow: number;
	/** No starts before this time in monotonic ms. */
	avoidUntil: number;
	/** Mean of measured against expected durations, 1 for as expected. */
	slowness: number;
};

/** Advice on which endpoints may run a step. @public */
export type StepAdvice = {
	readonly tickets: ReadonlyMap<string, string>;
	readonly validUntil: number;
};

/** @public */
export type PlacementState = {
	/** Steps of tasks placed on an endpoint whose runs are not set up yet, by endpoint and task. */
	readonly reserved: Map<string, Map<string, Step>>;
	readonly endpoints: Map<string, EndpointRecord>;
	/** Measured against estimated durations of tasks, by queue. */
	readonly estimateFactors: Map<string, number>;
	/** Endpoint on which a task failed last, by task. */
	readonly failedOn: Map<string, string>;
	readonly advice: Map<string, StepAdvice>;
	/** When advice was asked for, by step, while the answer is out. */
	readonly adviceAsked: Map<string, number>;
};

/** What other filters may ask about durations. @public */
export type PlacementView = {readonly placement: {readonly estimateFactors: ReadonlyMap<string, number>}};

/** @public */
export function createPlacementState(): PlacementState {
	return {
		reserved: new Map(), endpoints: new Map(), estimateFactors: new Map(), failedOn: new Map(), advice: new Map(), adviceAsked: new Map(),
	};
}
