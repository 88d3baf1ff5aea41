export {
	checkCallerRequest, createIntakeState, intakeFilter, type CallerRequestSummary, type IntakeState, type PendingRequest,
} from './intake-filter.js';
