import {
	type InstanceId, type ListedInstance, type PermitStage, type PoolDeclaration, type PoolName, type PoolRecord,
} from '@pistachiogauge/model';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {isInstanceTrusted} from '../health/index.js';
import {listPoolInstances} from './fleet-state.js';

/** Why an instance counts as out of service. @public */
export type OutOfServiceReason = 'failed' | 'leaving' | 'draining' | 'rebooting' | 'unknown';

/** One instance of a pool, as its owner sees it. @public */
export type PoolMember = {
	readonly id: InstanceId;
	readonly listed: ListedInstance | undefined;
	/** Undefined for an instance in service. */
	readonly outOfServiceReason: OutOfServiceReason | undefined;
	/** Unix time in milliseconds of the last maintenance; 0 when unknown. */
	readonly maintainedAt: number;
};

/**
Snapshot of an owned pool, on which planned stops are decided.

@public
*/
export type PoolView = {
	readonly pool: PoolName;
	/** Undefined when the applied bundle does not declare the pool; then no instance may be stopped. */
	readonly declaration: PoolDeclaration | undefined;
	readonly record: PoolRecord;
	/** Sorted by id. */
	readonly members: readonly PoolMember[];
	readonly isStoreReached: boolean;
};

/** The platform's list is read every second. After three missed reads, instances may have disappeared unnoticed, so no planned stop relies on an older list. */
const maxListAgeMs = 3000;

const outOfServiceReasonByStage: Readonly<Record<PermitStage, OutOfServiceReason>> = {
	draining: 'draining',
	stopped: 'draining',
	rebooting: 'rebooting',
	returning: 'rebooting',
};

/** Creates the view of an owned pool. `record` is the pool record to decide on, which may contain changes that are not written yet. @internal */
export function createPoolView(state: EntryState, pool: PoolName, record: PoolRecord, context: DecisionContext): PoolView {
	const members: PoolMember[] = [];
	for (const [id, instance] of listPoolInstances(state, pool)) {
		members.push({
			id, listed: instance.listed, outOfServiceReason: findOutOfServiceReason(state, pool, record, id, context), maintainedAt: record.maintained[id] ?? 0,
		});
	}

	members.sort((left, right) => left.id < right.id ? -1 : 1);
	return {
		pool, declaration: state.bundle.current?.pools[pool], record, members, isStoreReached: state.membership.isStoreReached,
	};
}

function findOutOfServiceReason(state: EntryState, pool: PoolName, record: PoolRecord, id: InstanceId, context: DecisionContext): OutOfServiceReason | undefined {
	const permit = record.permits[id];
	if (permit !== undefined) {
		return outOfServiceReasonByStage[permit.stage];
	}

	const {instances, listedAt, owned} = state.fleet;
	const listed = instances.get(id)?.listed;
	if (listed === undefined || listedAt === undefined || context.now - listedAt > maxListAgeMs) {
		return 'unknown';
	}

	if (listed.state === 'leaving') {
		return 'leaving';
	}

	const isHealthy = owned.get(pool)?.observations.get(id)?.isHealthy;
	if (isHealthy === undefined) {
		return 'unknown';
	}

	return isHealthy && isInstanceTrusted(state, id) ? undefined : 'failed';
}

/**
Counts the instances out of service, including permits of instances that are not members of the pool.

@public
*/
export function countOutOfService(view: PoolView): number {
	const memberIds = new Set(view.members.map(member => member.id));
	const strayPermits = Object.keys(view.record.permits).filter(id => !memberIds.has(id)).length;
	return view.members.filter(member => member.outOfServiceReason !== undefined).length + strayPermits;
}

/** Lists the members that are out of service without a permit. @public */
export function listUnplannedOutages(view: PoolView): PoolMember[] {
	return view.members.filter(member => member.outOfServiceReason !== undefined && view.record.permits[member.id] === undefined);
}
