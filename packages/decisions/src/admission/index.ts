export {admissionFilter} from './admission-filter.js';
export {createAdmissionState, type AdmissionState} from './admission-state.js';
export {getServiceTimes, recordServiceTime, type ServiceTimes} from './service-times.js';
