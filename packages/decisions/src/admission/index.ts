export {admissionFilter} from './admission-filter.js';
export {createAdmissionState, type AdmissionState} from './admission-state.js';
