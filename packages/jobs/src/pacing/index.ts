export {createPacingState, pacingFilter, type PacingState} from './pacing-filter.js';
