export {getRank, placementFilter} from './placement-filter.js';
export {type JobStanding, type RankedJob} from './order-jobs.js';
export {createPlacementState, type PlacementState} from './placement-state.js';
