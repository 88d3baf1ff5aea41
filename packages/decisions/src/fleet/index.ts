export {fleetFilter} from './fleet-filter.js';
export {
	createFleetState, createOwnedPool, getServingInstances, listPoolInstances, setInstanceRecord, type FleetState, type OwnedPool,
} from './fleet-state.js';
export {
	chooseRebalanceAction, loadSampleCount, loadSampleIntervalMs, minMoveIntervalMs, type RebalanceAction,
} from './move-policy.js';
export {checkMove, checkPermit, type PermitDecision} from './permit.js';
export {
	countOutOfService, listUnplannedOutages, type OutOfServiceReason, type PoolMember, type PoolView,
} from './pool-view.js';
export {
	describePlan, findWaveHoldReason, planWave, type WaveStep,
} from './wave.js';
