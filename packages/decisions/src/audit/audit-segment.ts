import {storeKeys, type EventOf} from '@pistachiogauge/model';
import {z} from 'zod';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {auditLimits, auditRecordSchema, type PendingSegment} from './audit-state.js';

const operationPrefix = 'audit:segment:';
const retryPauseMs = 1000;
const segmentDigits = 6;

/** @internal */
export const segmentSchema = z.array(auditRecordSchema);

/** Brings the current segment in the store up to date, or finds out what it holds. @internal */
export function updateSegment(state: EntryState, context: DecisionContext): Output[] {
	const {audit, membership} = state;
	if (audit.unwritten.length === 0 || audit.pending !== undefined || context.now < audit.nextTryAt || !membership.isStoreReached) {
		return [];
	}

	return audit.isInDoubt ? readSegment(state) : writeSegment(state);
}

function writeSegment(state: EntryState): Output[] {
	const {audit} = state;
	const room = auditLimits.recordsPerSegment - audit.segment.length;
	const pending = setPending(state, 'write', [...audit.segment, ...audit.unwritten.slice(0, room)]);
	return [emitEffect({
		kind: 'write-store',
		operationId: pending.operationId,
		key: getSegmentKey(state),
		value: JSON.stringify(pending.records),
		condition: audit.segmentRevision === 0 ? {kind: 'absent'} : {kind: 'unchanged', revision: audit.segmentRevision},
		isLeased: false,
	})];
}

function readSegment(state: EntryState): Output[] {
	return [emitEffect({
		kind: 'read-store', operationId: setPending(state, 'read', []).operationId, key: getSegmentKey(state), isPrefix: false,
	})];
}

function setPending(state: EntryState, kind: PendingSegment['kind'], records: PendingSegment['records']): PendingSegment {
	const {audit} = state;
	audit.operationCount += 1;
	audit.pending = {operationId: `${operationPrefix}${audit.operationCount}`, kind, records};
	return audit.pending;
}

/** Takes the store's answer. A write without a positive answer leaves the segment in doubt until it is read. @internal */
export function settleSegment(state: EntryState, answer: EventOf<'store-answered'>, context: DecisionContext): Output[] {
	const {audit} = state;
	const {pending} = audit;
	if (pending?.operationId !== answer.operationId) {
		return [];
	}

	audit.pending = undefined;
	const [entry] = answer.entries;
	if (answer.result === 'applied' && pending.kind === 'read') {
		setStored(state, entry === undefined ? 0 : countStored(entry.value), entry?.revision ?? 0);
		return [];
	}

	if (answer.result === 'applied' && entry !== undefined) {
		setStored(state, pending.records.length, entry.revision);
		return [];
	}

	audit.isInDoubt = true;
	audit.nextTryAt = context.now + retryPauseMs;
	return [];
}

function countStored(text: string): number {
	return segmentSchema.safeParse(parseJson(text)).data?.length ?? 0;
}

/** Notes how many records of the segment are in the store. Only this entry writes its segments, so they are always its own first ones. */
function setStored(state: EntryState, count: number, revision: number): void {
	const {audit} = state;
	const records = [...audit.segment, ...audit.unwritten];
	audit.isInDoubt = false;
	audit.segment = records.slice(0, count);
	audit.unwritten = records.slice(count);
	audit.segmentRevision = revision;
	if (audit.segment.length >= auditLimits.recordsPerSegment) {
		audit.segment = [];
		audit.segmentNumber += 1;
		audit.segmentRevision = 0;
	}
}

function getSegmentKey({audit, config}: EntryState): string {
	return `${storeKeys.auditPrefix}${config.id}/${String(audit.segmentNumber).padStart(segmentDigits, '0')}`;
}
