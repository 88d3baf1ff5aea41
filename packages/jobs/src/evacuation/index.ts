export {
	countUnavailable, createEvacuationState, evacuationFilter, type EvacuationState, type EvacuationView,
} from './evacuation-filter.js';
