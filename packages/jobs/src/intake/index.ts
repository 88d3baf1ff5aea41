export {intakeFilter} from './intake-filter.js';
export {
	createIntakeState, type IntakeState, type PendingRequest, type RelayableRequest,
} from './intake-state.js';
export {checkCallerRequest, type CallerRequestSummary} from './reject-request.js';
