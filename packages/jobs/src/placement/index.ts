export {placementFilter, rankByMeasuredDurations} from './placement-filter.js';
export {type ObjectiveStatus, type RankedJob} from './order-jobs.js';
export {createPlacementState, type PlacementState} from './placement-state.js';
