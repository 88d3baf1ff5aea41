import {type InstanceId, type Permit, type PoolRecord} from '@pistachiogauge/model';
import {countOutOfService, type PoolView} from './pool-view.js';

/** Whether a planned stop may begin. @public */
export type PermitDecision =
	| {readonly kind: 'granted'}
	| {readonly kind: 'refused'; readonly reason: string};

/** Moves of one pool that may be in flight. Each takes an instance out of two pools' service for minutes. */
const movesInFlightLimit = 2;

const granted: PermitDecision = {kind: 'granted'};

/**
Decides whether one more instance may be taken out of service.

An instance that is out already adds nothing to the count, but the count must still be within the budget.

@public
*/
export function checkPermit(view: PoolView, id: InstanceId): PermitDecision {
	const member = view.members.find(item => item.id === id);
	if (member === undefined) {
		return refuse(`${id} is not in pool ${view.pool}`);
	}

	if (view.declaration === undefined) {
		return refuse(`the bundle in force does not declare pool ${view.pool}`);
	}

	const permit = view.record.permits[id];
	if (permit !== undefined) {
		return refuse(`${id} is out of service already: ${permit.reason} by ${permit.by}, ${permit.stage}`);
	}

	if (!view.isStoreReached) {
		return refuse('the store is not reached; no planned stop begins until it answers');
	}

	const out = countOutOfService(view);
	const outAfter = member.outOfServiceReason === undefined ? out + 1 : out;
	return outAfter <= view.declaration.budget ? granted : refuse(`${out} of pool ${view.pool} are out of service and its budget is ${view.declaration.budget}: ${describeOut(view)}`);
}

/** Decides whether an instance may be moved to another pool. @public */
export function checkMove(view: PoolView, id: InstanceId): PermitDecision {
	const moving = Object.values(view.record.permits).filter(permit => permit.reason === 'move').length;
	if (moving >= movesInFlightLimit) {
		return refuse(`${moving} moves from pool ${view.pool} are in flight and the limit is ${movesInFlightLimit}`);
	}

	const minimum = view.declaration?.minInstances ?? 0;
	if (view.members.length - moving - 1 < minimum) {
		return refuse(`pool ${view.pool} has ${view.members.length - moving} instances and keeps at least ${minimum}`);
	}

	return checkPermit(view, id);
}

/** Returns the record with a permit set, changed or removed. @internal */
export function setPermit(record: PoolRecord, id: InstanceId, permit: Permit | undefined): PoolRecord {
	const {[id]: former, ...others} = record.permits;
	return {...record, permits: permit === undefined ? others : {...others, [id]: permit}};
}

/** Names the instances out of service with the reason for each. @public */
export function describeOut(view: PoolView): string {
	const names = view.members.filter(member => member.outOfServiceReason !== undefined).map(member => `${member.id} ${member.outOfServiceReason}`);
	return names.length === 0 ? 'none' : names.join(', ');
}

function refuse(reason: string): PermitDecision {
	return {kind: 'refused', reason};
}
