export {fleetFilter} from './fleet-filter.js';
export {
	createFleetState, createOwnedPool, getServingInstances, listPoolInstances, setInstanceRecord, type FleetState, type OwnedPool,
} from './fleet-state.js';
export {
	decideMoveWish, loadSampleCount, loadSampleMs, moveIntervalMs, type MoveWish,
} from './move-policy.js';
export {checkMove, checkPermit, type PermitDecision} from './permit.js';
export {
	countOut, listFailures, type OutReason, type PoolMember, type PoolView,
} from './pool-view.js';
export {
	describePlan, findWaveHold, planWave, type WaveStep,
} from './wave.js';
