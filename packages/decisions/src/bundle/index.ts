export {bundleFilter} from './bundle-filter.js';
export {createBundleState, type BundleState} from './bundle-state.js';
export {findReplacementFault} from './check-replacement.js';
