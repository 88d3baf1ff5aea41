import {type Filter} from '../chain.js';
import {answerTrails, requestTrails} from './audit-call.js';
import {recordAuditEvent, recordGap} from './audit-records.js';
import {handleSegmentAnswer, updateSegment} from './audit-segment.js';

/**
Appends every change and refusal to this entry's audit trail in the store, and reads the trails of all entries for operators.

Each record contains the hash of the previous one, so that removed or altered records can be detected. During a store outage, records are buffered in memory.

@public
*/
export const auditFilter: Filter = {
	name: 'audit',
	handlers: {
		'audit-event'(state, event, context) {
			recordAuditEvent(state, event, context);
			return [];
		},
		'operator-called': requestTrails,
		'store-answered': (state, event, context) => [...handleSegmentAnswer(state, event, context), ...answerTrails(state, event)],
		tick(state, _event, context) {
			recordGap(state, context);
			return updateSegment(state, context);
		},
	},
};
