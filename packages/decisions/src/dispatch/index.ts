export {dispatchFilter} from './dispatch-filter.js';
export {
	createDispatchState, countWaitingInFlow, type DispatchState, type PoolQueue, type RunningAttempt,
} from './dispatch-state.js';
export {getFlowBacklog, type FlowBacklog} from './flows.js';
