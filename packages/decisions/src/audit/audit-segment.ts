import {storeKeys, type EventOf} from '@pistachiogauge/model';
import {z} from 'zod';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {auditLimits, auditRecordSchema, type SegmentOperation} from './audit-state.js';

const operationPrefix = 'audit:segment:';
const retryDelayMs = 1000;
const segmentDigits = 6;

/** @internal */
export const segmentSchema = z.array(auditRecordSchema);

/** Writes the unwritten records to the current segment in the store, or first reads the segment if its content is unknown. @internal */
export function updateSegment(state: EntryState, context: DecisionContext): Output[] {
	const {audit, membership} = state;
	if (audit.unwritten.length === 0 || audit.pendingOperation !== undefined || context.now < audit.nextStoreRetryAt || !membership.isStoreReached) {
		return [];
	}

	return audit.mustReadSegment ? readSegment(state) : writeSegment(state);
}

function writeSegment(state: EntryState): Output[] {
	const {audit} = state;
	const room = auditLimits.maxRecordsPerSegment - audit.segment.length;
	const operation = startOperation(state, 'write', [...audit.segment, ...audit.unwritten.slice(0, room)]);
	return [emitEffect({
		kind: 'write-store',
		operationId: operation.operationId,
		key: getSegmentKey(state),
		value: JSON.stringify(operation.records),
		condition: audit.segmentRevision === 0 ? {kind: 'absent'} : {kind: 'unchanged', revision: audit.segmentRevision},
		isLeased: false,
	})];
}

function readSegment(state: EntryState): Output[] {
	return [emitEffect({
		kind: 'read-store', operationId: startOperation(state, 'read', []).operationId, key: getSegmentKey(state), isPrefix: false,
	})];
}

function startOperation(state: EntryState, kind: SegmentOperation['kind'], records: SegmentOperation['records']): SegmentOperation {
	const {audit} = state;
	audit.operationCount += 1;
	audit.pendingOperation = {operationId: `${operationPrefix}${audit.operationCount}`, kind, records};
	return audit.pendingOperation;
}

/** Handles the store's answer. After an unconfirmed write, the content of the segment is unknown until it is read. @internal */
export function handleSegmentAnswer(state: EntryState, answer: EventOf<'store-answered'>, context: DecisionContext): Output[] {
	const {audit} = state;
	const {pendingOperation} = audit;
	if (pendingOperation?.operationId !== answer.operationId) {
		return [];
	}

	audit.pendingOperation = undefined;
	const [entry] = answer.entries;
	if (answer.result === 'applied' && pendingOperation.kind === 'read') {
		markStored(state, entry === undefined ? 0 : countStoredRecords(entry.value), entry?.revision ?? 0);
		return [];
	}

	if (answer.result === 'applied' && entry !== undefined) {
		markStored(state, pendingOperation.records.length, entry.revision);
		return [];
	}

	audit.mustReadSegment = true;
	audit.nextStoreRetryAt = context.now + retryDelayMs;
	return [];
}

function countStoredRecords(text: string): number {
	return segmentSchema.safeParse(parseJson(text)).data?.length ?? 0;
}

/** Marks the first records of the segment as stored. Only this entry writes its segments, so the stored records are always the first ones. */
function markStored(state: EntryState, count: number, revision: number): void {
	const {audit} = state;
	const records = [...audit.segment, ...audit.unwritten];
	audit.mustReadSegment = false;
	audit.segment = records.slice(0, count);
	audit.unwritten = records.slice(count);
	audit.segmentRevision = revision;
	if (audit.segment.length >= auditLimits.maxRecordsPerSegment) {
		audit.segment = [];
		audit.segmentNumber += 1;
		audit.segmentRevision = 0;
	}
}

function getSegmentKey({audit, config}: EntryState): string {
	return `${storeKeys.auditPrefix}${config.id}/${String(audit.segmentNumber).padStart(segmentDigits, '0')}`;
}
