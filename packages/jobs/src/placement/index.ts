export {
	addCount, chooseEndpoint, countRunsByEndpoint, reserveCandidate, type Candidate,
} from './choose-endpoint.js';
export {placementFilter, rankByMeasuredDurations} from './placement-filter.js';
export {orderWaitingJobs, type OrderInput} from './displacement-policies.js';
export {type DisplacementPolicy} from './displacement-state.js';
export {type ObjectiveStatus, type RankedJob} from './order-jobs.js';
export {
	createPlacementState, isPending, type PlacementOptions, type PlacementState, type PreemptionCosts,
} from './placement-state.js';
