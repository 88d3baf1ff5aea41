export {
	addCount, chooseEndpoint, countRunsByEndpoint, reserveCandidate, type Candidate,
} from './choose-endpoint.js';
export {placementFilter, rankByMeasuredDurations} from './placement-filter.js';
export {type ObjectiveStatus, type RankedJob} from './order-jobs.js';
export {createPlacementState, isPending, type PlacementState} from './placement-state.js';
