export {
	addCount, chooseEndpoint, countRunsByEndpoint, reserveCandidate, type Candidate,
} from './choose-endpoint.js';
export {placementFilter, rankByMeasuredDurations} from './placement-filter.js';
export {getAccountWeights, noAccount, type AccountWeights} from './account-shares.js';
export {chooseDisplacementPolicy, orderWaitingJobs, type OrderInput} from './displacement-policies.js';
export {
	type BacklogJob, type DisplacementPolicy, type PoolBacklog, type PoolDisplacement,
} from './displacement-state.js';
export {type ObjectiveStatus, type RankedJob} from './order-jobs.js';
export {
	createPlacementState, type PlacementOptions, type PlacementState, type PreemptionCosts,
} from './placement-state.js';
export {
	explainPlacement, type AccountExplanation, type EndpointExplanation, type LimitedResources, type PlacementExplanation, type PlacementQuestion, type StepExplanation,
} from './explain-placement.js';
