import {type PoolName, type ServiceRequest} from '@pistachiogauge/model';
import {type DecisionContext} from '../context.js';
import {getFlowBacklog} from '../dispatch/index.js';
import {type EntryState} from '../entry-state.js';
import {getServiceTimes} from './service-times.js';

/** Fewer runs tell too little to refuse anyone. */
const minRuns = 20;

/**
Time until a new request of the flow can be expected to start, in milliseconds; 0 while too few runs are known.

It counts on the slots that the flow holds or that its share promises among the flows that wait now, whichever are more, so it errs towards admitting.

@internal
*/
export function computeExpectedWait(state: EntryState, pool: PoolName, request: ServiceRequest, context: DecisionContext): number {
	const times = getServiceTimes(state, request, context);
	const backlog = getFlowBacklog(state, pool, request, context);
	if (times === undefined || times.count < minRuns || backlog === undefined || backlog.slots < 1) {
		return 0;
	}

	return backlog.length * times.p50Ms / backlog.slots;
}
