export {
	createIntakeState, intakeFilter, type IntakeState, type PendingRequest,
} from './intake-filter.js';
