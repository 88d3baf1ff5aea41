export {auditFilter} from './audit-filter.js';
export {
	auditLimits, createAuditState, type AuditRecord, type AuditState,
} from './audit-state.js';
export {findHashChainFaults} from './hash-chain.js';
