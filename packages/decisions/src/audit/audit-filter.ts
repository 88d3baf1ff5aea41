import {createHash} from 'node:crypto';
import {storeKeys, type EventOf} from '@pistachiogauge/model';
import {emitEffect, type Filter, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {type AuditRecord} from './audit-state.js';

const operationPrefix = 'audit:';
const recordsPerSegment = 500;
const retryPauseMs = 1000;

/**
Appends every change and refusal to this entry's audit trail in the store.

Each record carries the hash of the one before, so a removed or altered record shows. While the store is out, records wait in memory.

@public
*/
export const auditFilter: Filter = {
	name: 'audit',
	handlers: {
		'change-made'(state, event, context) {
			const record = createRecord(state, event, context);
			state.audit.sequence = record.sequence;
			state.audit.lastHash = record.hash;
			state.audit.unwritten.push(record);
			return [];
		},
		'store-answered'(state, event, context) {
			const {audit} = state;
			if (!event.operationId.startsWith(operationPrefix) || event.operationId !== audit.pendingOperation) {
				return [];
			}

			audit.pendingOperation = undefined;
			if (event.result !== 'applied') {
				audit.nextTryAt = context.now + retryPauseMs;
				return [];
			}

			audit.segment.push(...audit.unwritten.splice(0, audit.pendingCount));
			if (audit.segment.length >= recordsPerSegment) {
				audit.segment = [];
				audit.segmentNumber += 1;
			}

			return [];
		},
		tick: (state, _event, context) => writeSegment(state, context),
	},
};

function createRecord(state: EntryState, event: EventOf<'change-made'>, context: DecisionContext): AuditRecord {
	const {by, action, subject, result, detail} = event;
	const content = {
		sequence: state.audit.sequence + 1,
		at: context.wallTime,
		entry: state.config.id,
		by,
		action,
		subject,
		result,
		detail,
		previousHash: state.audit.lastHash,
	};
	return {...content, hash: createHash('sha256').update(JSON.stringify(content)).digest('hex')};
}

function writeSegment(state: EntryState, context: DecisionContext): Output[] {
	const {audit, config, membership} = state;
	if (audit.unwritten.length === 0 || audit.pendingOperation !== undefined || context.now < audit.nextTryAt || !membership.isStoreReached) {
		return [];
	}

	audit.pendingCount = Math.min(audit.unwritten.length, recordsPerSegment - audit.segment.length);
	audit.pendingOperation = `${operationPrefix}${audit.sequence}`;
	const records = [...audit.segment, ...audit.unwritten.slice(0, audit.pendingCount)];
	// The segment has a single writer, and writing it again gives the same value, so a lost answer does no harm.
	return [emitEffect({
		kind: 'write-store',
		operationId: audit.pendingOperation,
		key: `${storeKeys.auditPrefix}${config.id}/${String(audit.segmentNumber).padStart(6, '0')}`,
		value: JSON.stringify(records),
		condition: {kind: 'always'},
		isLeased: false,
	})];
}
