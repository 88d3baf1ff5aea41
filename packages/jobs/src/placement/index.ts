export {placementFilter} from './placement-filter.js';
export {createPlacementState, type PlacementState} from './placement-state.js';
