export {admissionFilter} from './admission-filter.js';
export {
	createAdmissionState, createLiftedRecord, type AdmissionState, type AdmissionView, type KnownAdmission,
} from './admission-state.js';
export {
	chooseRetryMs, decideAdmission, isReportStale, type AdmissionDecision, type AdmissionReason,
} from './decide-admission.js';
