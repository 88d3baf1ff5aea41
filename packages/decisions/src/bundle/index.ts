export {bundleFilter} from './bundle-filter.js';
export {createBundleState, type BundleState} from './bundle-state.js';
export {findReplacementConflict} from './check-replacement.js';
