import {type PoolName, type ServiceRequest} from '@pistachiogauge/model';
import {type DecisionContext} from '../context.js';
import {getFlowBacklog} from '../dispatch/index.js';
import {type EntryState} from '../entry-state.js';
import {getServiceTimes} from './service-times.js';

/** With fewer samples the estimate is too uncertain to reject requests. */
const minSampleCount = 20;

/**
Computes the time until a new request of the flow can be expected to start, in milliseconds; 0 while there are too few samples.

Assumes that the flow is served by the slots that it holds or by its share among the flows that have a backlog now, whichever is more. The estimate therefore errs towards admitting.

@internal
*/
export function computeExpectedWait(state: EntryState, pool: PoolName, request: ServiceRequest, context: DecisionContext): number {
	const times = getServiceTimes(state, request, context);
	const backlog = getFlowBacklog(state, pool, request, context);
	if (times === undefined || times.count < minSampleCount || backlog === undefined || backlog.slots < 1) {
		return 0;
	}

	return backlog.length * times.p50Ms / backlog.slots;
}
