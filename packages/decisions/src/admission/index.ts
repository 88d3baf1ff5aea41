export {admissionFilter} from './admission-filter.js';
export {createAdmissionState, type AdmissionState} from './admission-state.js';
export {
	getServiceTimes, getTeamServiceTimes, recordServiceTime, type ServiceTimes, type ServiceTimeKey,
} from './service-times.js';
