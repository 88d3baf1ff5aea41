export {
	createIntakeState, intakeFilter, type IntakeState, type PendingRequest, type RelayableRequest,
} from './intake-filter.js';
