export {invariants, invariantsFilter} from './invariants-filter.js';
export {type Invariant, type InvariantHandler, type InvariantName} from './invariant.js';
export {createInvariantsState, type InvariantsState} from './invariants-state.js';
