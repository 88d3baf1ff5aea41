import {type EventOf} from '@pistachiogauge/model';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {auditLimits, type AuditRecord} from './audit-state.js';
import {computeHash} from './hash-chain.js';

type AuditContent = Pick<AuditRecord, 'by' | 'action' | 'subject' | 'result' | 'detail'>;

/** Adds a record to the trail, or counts it as dropped when too many records wait for the store. @internal */
export function recordAuditEvent(state: EntryState, event: EventOf<'audit-event'>, context: DecisionContext): void {
	const {audit} = state;
	recordGap(state, context);
	if (audit.unwritten.length < auditLimits.maxUnwrittenRecords) {
		addRecord(state, event, context);
		return;
	}

	audit.dropped = {count: audit.dropped.count + 1, firstAt: audit.dropped.count === 0 ? context.wallTime : audit.dropped.firstAt};
}

/** Adds a record of how many records were dropped, as soon as there is room. @internal */
export function recordGap(state: EntryState, context: DecisionContext): void {
	const {audit, config} = state;
	const {count, firstAt} = audit.dropped;
	if (count === 0 || audit.unwritten.length >= auditLimits.maxUnwrittenRecords) {
		return;
	}

	audit.dropped = {count: 0, firstAt: 0};
	addRecord(state, {
		by: 'system',
		action: 'audit-gap',
		subject: `entry ${config.id}`,
		result: 'refused',
		detail: `${count} records since ${new Date(firstAt).toISOString()} were dropped, because the store did not take them`,
	}, context);
}

function addRecord(state: EntryState, content: AuditContent, context: DecisionContext): void {
	const {audit, config} = state;
	const record = {
		sequence: audit.sequence + 1,
		at: context.wallTime,
		entry: config.id,
		by: truncateText(content.by),
		action: content.action,
		subject: truncateText(content.subject),
		result: content.result,
		detail: truncateText(content.detail),
		previousHash: audit.lastHash,
	};
	const hash = computeHash(record);
	audit.sequence = record.sequence;
	audit.lastHash = hash;
	audit.unwritten.push({...record, hash});
}

/** Truncates text from outside, such as names in calls, which could be of any length. */
function truncateText(text: string): string {
	return text.length <= auditLimits.maxTextLength ? text : `${text.slice(0, auditLimits.maxTextLength)}…`;
}
