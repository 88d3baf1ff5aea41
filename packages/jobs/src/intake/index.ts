export {
	checkCallerRequest, createIntakeState, intakeFilter, type CallerRequestSummary, type IntakeState, type PendingRequest, type RelayableRequest,
} from './intake-filter.js';
