import {type Filter} from '../chain.js';
import {answerTrail, requestTrail} from './audit-call.js';
import {recordChange, recordGap} from './audit-records.js';
import {settleSegment, updateSegment} from './audit-segment.js';

/**
Appends every change and refusal to this entry's audit trail in the store, and reads the trails of all entries for operators.

Each record carries the hash of the one before, so a removed or altered record shows. While the store is out, records wait in memory.

@public
*/
export const auditFilter: Filter = {
	name: 'audit',
	handlers: {
		'audit-event'(state, event, context) {
			recordChange(state, event, context);
			return [];
		},
		'operator-called': requestTrail,
		'store-answered': (state, event, context) => [...settleSegment(state, event, context), ...answerTrail(state, event)],
		tick(state, _event, context) {
			recordGap(state, context);
			return updateSegment(state, context);
		},
	},
};
