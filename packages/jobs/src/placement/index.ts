export {
	addCount, chooseEndpoint, countRunsByEndpoint, reserveCandidate, type Candidate,
} from './choose-endpoint.js';
export {isPending} from './place-step.js';
export {placementFilter, rankByMeasuredDurations} from './placement-filter.js';
export {type ObjectiveStatus, type RankedJob} from './order-jobs.js';
export {createPlacementState, type PlacementState} from './placement-state.js';
