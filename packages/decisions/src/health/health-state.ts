import {type InstanceId} from '@pistachiogauge/model';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';

/** Recent record of one instance. */
export type InstanceHealth = {
	failuresInRow: number;
	/** Monotonic milliseconds until which no work is sent. */
	avoidUntil: number;
};

/** State of the health filter. @public */
export type HealthState = {
	readonly instances: Map<InstanceId, InstanceHealth>;
};

/** @internal */
export function createHealthState(): HealthState {
	return {instances: new Map()};
}

/** Whether an instance may get work as far as its recent answers tell. @public */
export function isInstanceTrusted(state: EntryState, instanceId: InstanceId, context: DecisionContext): boolean {
	return (state.health.instances.get(instanceId)?.avoidUntil ?? 0) <= context.now;
}
