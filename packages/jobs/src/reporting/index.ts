export {createReportingState, reportingFilter, type ReportingState} from './reporting-filter.js';
