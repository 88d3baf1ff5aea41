import {appendItems} from '@pistachiogauge/chain';
import {storeKeys, type EventOf} from '@pistachiogauge/model';
import {emitEffect, restartEvent, type Output} from '../chain.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {segmentSchema} from './audit-segment.js';
import {type AuditCall, type AuditRecord} from './audit-state.js';
import {findHashChainFaults} from './hash-chain.js';

/** Maximum number of records in one answer; older ones are omitted. */
const maxRecordsPerAnswer = 2000;

/** Reads the audit trails of all entries for an operator. @internal */
export function requestTrails(state: EntryState, event: EventOf<'operator-called'>): Output[] {
	if (event.command.command !== 'audit') {
		return [];
	}

	const {audit} = state;
	audit.operationCount += 1;
	const operationId = `audit:call:${audit.operationCount}`;
	audit.calls.set(operationId, {callId: event.callId, since: event.command.since ?? 0, pool: event.command.pool});
	return [emitEffect({
		kind: 'read-store', operationId, key: storeKeys.auditPrefix, isPrefix: true,
	})];
}

/** Verifies the hash chains over all records and answers with the records that were requested. @internal */
export function answerTrails(state: EntryState, answer: EventOf<'store-answered'>): Output[] {
	const call = state.audit.calls.get(answer.operationId);
	if (call === undefined) {
		return [];
	}

	state.audit.calls.delete(answer.operationId);
	if (answer.result !== 'applied') {
		return [restartEvent({
			kind: 'operator-answered', callId: call.callId, status: 503, body: {outcome: 'refused', message: 'the store does not answer; the audit trail is kept there'},
		})];
	}

	const {records, faults} = parseTrails(answer);
	const selected = filterRecords(records, call);
	return [restartEvent({
		kind: 'operator-answered',
		callId: call.callId,
		status: 200,
		body: {records: selected.slice(-maxRecordsPerAnswer), isTruncated: selected.length > maxRecordsPerAnswer, faults},
	})];
}

function parseTrails({entries}: EventOf<'store-answered'>): {records: AuditRecord[]; faults: string[]} {
	const records: AuditRecord[] = [];
	const unreadable: string[] = [];
	for (const {key, value} of [...entries].sort((left, right) => left.key < right.key ? -1 : 1)) {
		const segment = segmentSchema.safeParse(parseJson(value));
		if (segment.success) {
			appendItems(records, segment.data);
		} else {
			unreadable.push(`segment ${key.slice(storeKeys.auditPrefix.length)} cannot be read`);
		}
	}

	return {records, faults: [...unreadable, ...findHashChainFaults(records)]};
}

function filterRecords(records: readonly AuditRecord[], {since, pool}: AuditCall): AuditRecord[] {
	return records
		.filter(record => record.at >= since && (pool === undefined || ` ${record.subject} `.includes(` pool ${pool} `)))
		.sort((left, right) => left.at - right.at);
}
