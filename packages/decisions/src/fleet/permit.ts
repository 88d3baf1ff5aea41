import {type InstanceId, type Permit, type PoolRecord} from '@pistachiogauge/model';
import {countOutOfService, type PoolView} from './pool-view.js';

/** Whether a planned stop of an instance may begin. @public */
export type PermitDecision =
	| {readonly kind: 'granted'}
	| {readonly kind: 'refused'; readonly reason: string};

/** A move takes its instance out of service in both pools for minutes, so only a few may be in flight per pool. */
const maxMovesInFlight = 2;

const granted: PermitDecision = {kind: 'granted'};

/**
Checks whether one more instance may be taken out of service within the pool's availability budget.

An instance that is already out of service adds nothing to the count, but the count must still be within the budget.

@public
*/
export function checkPermit(view: PoolView, id: InstanceId): PermitDecision {
	const member = view.members.find(item => item.id === id);
	if (member === undefined) {
		return createRefusal(`${id} is not in pool ${view.pool}`);
	}

	if (view.declaration === undefined) {
		return createRefusal(`the bundle in force does not declare pool ${view.pool}`);
	}

	const permit = view.record.permits[id];
	if (permit !== undefined) {
		return createRefusal(`${id} is out of service already: ${permit.reason} by ${permit.by}, ${permit.stage}`);
	}

	if (!view.isStoreReached) {
		return createRefusal('the store is not reached; no planned stop begins until it answers');
	}

	const outOfService = countOutOfService(view);
	const outOfServiceAfter = member.outOfServiceReason === undefined ? outOfService + 1 : outOfService;
	return outOfServiceAfter <= view.declaration.budget
		? granted
		: createRefusal(`${outOfService} of pool ${view.pool} are out of service and its budget is ${view.declaration.budget}: ${describeOutages(view)}`);
}

/** Checks whether an instance may be moved to another pool. @public */
export function checkMove(view: PoolView, id: InstanceId): PermitDecision {
	const movesInFlight = Object.values(view.record.permits).filter(permit => permit.reason === 'move').length;
	if (movesInFlight >= maxMovesInFlight) {
		return createRefusal(`${movesInFlight} moves from pool ${view.pool} are in flight and the limit is ${maxMovesInFlight}`);
	}

	const minimum = view.declaration?.minInstances ?? 0;
	if (view.members.length - movesInFlight - 1 < minimum) {
		return createRefusal(`pool ${view.pool} has ${view.members.length - movesInFlight} instances and keeps at least ${minimum}`);
	}

	return checkPermit(view, id);
}

/** Returns the record with a permit set, changed or removed. @internal */
export function setPermit(record: PoolRecord, id: InstanceId, permit: Permit | undefined): PoolRecord {
	const {[id]: former, ...others} = record.permits;
	return {...record, permits: permit === undefined ? others : {...others, [id]: permit}};
}

/** Lists the instances out of service, each with its reason. @public */
export function describeOutages(view: PoolView): string {
	const names = view.members.filter(member => member.outOfServiceReason !== undefined).map(member => `${member.id} ${member.outOfServiceReason}`);
	return names.length === 0 ? 'none' : names.join(', ');
}

function createRefusal(reason: string): PermitDecision {
	return {kind: 'refused', reason};
}
