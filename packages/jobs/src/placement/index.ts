export {getStanding, placementFilter} from './placement-filter.js';
export {type JobStanding} from './order-jobs.js';
export {createPlacementState, type PlacementState, type PlacementView} from './placement-state.js';
