export {auditFilter} from './audit-filter.js';
export {createAuditState, type AuditState} from './audit-state.js';
