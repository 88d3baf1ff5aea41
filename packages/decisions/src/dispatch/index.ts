export {dispatchFilter} from './dispatch-filter.js';
export {
	createDispatchState, getFlowLength, type DispatchState, type PoolQueue, type RunningAttempt,
} from './dispatch-state.js';
export {getFlowBacklog, type FlowBacklog} from './flows.js';
