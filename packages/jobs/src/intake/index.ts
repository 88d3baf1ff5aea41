export {
	createIntakeState, intakeFilter, type IntakeState, type OpenRequest,
} from './intake-filter.js';
