import {type InstanceId, type Permit, type PermitStage} from '@pistachiogauge/model';
import {type EntryState} from '../entry-state.js';
import {type Invariant} from './invariant.js';

/** Bound of section 1.2 of the design page. */
const drainBoundMs = 3000;
const idleStages: ReadonlySet<PermitStage> = new Set(['stopped', 'rebooting']);

/** No permit is added beyond the budget of the bundle in force. A bundle that lowers the budget breaks nothing. */
const budget: Invariant = {
	name: 'budget',
	handlers: {
		tick(state) {
			const {permitCounts} = state.invariants;
			for (const [pool, {record, isFenced}] of state.fleet.owned) {
				if (record === undefined || !isFenced) {
					permitCounts.delete(pool);
					continue;
				}

				const count = Object.keys(record.permits).length;
				// What a former owner has left is compared from the first look on.
				const former = permitCounts.get(pool) ?? count;
				permitCounts.set(pool, count);
				const limit = state.bundle.current?.pools[pool]?.budget ?? 0;
				if (count > former && count > limit) {
					return `${pool} has ${count} permits with a budget of ${limit}`;
				}
			}

			return undefined;
		},
	},
};

/** Attempts start only at instances that are recorded in the attempt's pool. */
const onePool: Invariant = {
	name: 'one-pool',
	handlers: {
		tick(state) {
			for (const [attemptId, {work, instanceId, startedAt}] of state.dispatch.attempts) {
				const pool = state.fleet.instances.get(instanceId)?.record?.pool;
				if (startedAt >= state.invariants.checkedAt && pool !== work.pool) {
					return `${attemptId} for ${work.pool} runs at ${instanceId}, which is recorded in ${pool ?? 'no pool'}`;
				}
			}

			return undefined;
		},
	},
};

/** Permits of the owned pools. After the swap of a move the instance serves its new pool, while the former pool still holds the permit; such a permit says nothing about work at the instance. */
function listPermits(state: EntryState): Array<[InstanceId, Permit]> {
	const permits: Array<[InstanceId, Permit]> = [];
	for (const [pool, {record}] of state.fleet.owned) {
		for (const [instanceId, permit] of Object.entries(record?.permits ?? {})) {
			if (state.fleet.instances.get(instanceId)?.record?.pool === pool) {
				permits.push([instanceId, permit]);
			}
		}
	}

	return permits;
}

/** No attempt starts at an instance later than the bound after its permit was recorded. */
const drainedGetsNothing: Invariant = {
	name: 'drained-gets-nothing',
	handlers: {
		tick(state, _event, context) {
			const {permitSeenAt} = state.invariants;
			const permitted = new Set<string>();
			for (const [instanceId] of listPermits(state)) {
				permitted.add(instanceId);
				permitSeenAt.set(instanceId, permitSeenAt.get(instanceId) ?? context.now);
			}

			for (const instanceId of permitSeenAt.keys()) {
				if (!permitted.has(instanceId)) {
					permitSeenAt.delete(instanceId);
				}
			}

			if (permitSeenAt.size === 0) {
				return undefined;
			}

			for (const [attemptId, {instanceId, startedAt}] of state.dispatch.attempts) {
				if (startedAt > (permitSeenAt.get(instanceId) ?? Number.POSITIVE_INFINITY) + drainBoundMs) {
					return `${attemptId} started at ${instanceId} after its drain was recorded`;
				}
			}

			return undefined;
		},
	},
};

/** Nothing runs at an instance that a planned stop has reached. */
const gracefulStop: Invariant = {
	name: 'graceful-stop',
	handlers: {
		tick(state) {
			for (const [instanceId, {stage}] of listPermits(state)) {
				const busy = state.dispatch.busySlots.get(instanceId) ?? 0;
				if (busy > 0 && idleStages.has(stage)) {
					return `${instanceId} is ${stage} while ${busy} requests run`;
				}
			}

			return undefined;
		},
	},
};

/** The version in force never falls. */
const bundleForward: Invariant = {
	name: 'bundle-forward',
	handlers: {
		tick(state) {
			const version = state.bundle.current?.version ?? 0;
			const {highestVersion} = state.invariants;
			state.invariants.highestVersion = Math.max(version, highestVersion);
			return version < highestVersion ? `version ${version} is in force after ${highestVersion}` : undefined;
		},
	},
};

/** This entry acts only for pools that the adopted epoch assigns to it. */
const oneOwner: Invariant = {
	name: 'one-owner',
	handlers: {
		tick(state) {
			const {record, acquiredPools: acquired} = state.membership;
			for (const pool of acquired) {
				const owner = record?.pools[pool]?.owner;
				if (owner !== state.config.id) {
					return `this entry acts for ${pool}, which epoch ${record?.epoch ?? 0} gives to ${owner ?? 'nobody'}`;
				}
			}

			return undefined;
		},
	},
};

/** Invariants of pools, instances and bundles. */
export const poolInvariants: readonly Invariant[] = [budget, onePool, drainedGetsNothing, gracefulStop, bundleForward, oneOwner];
