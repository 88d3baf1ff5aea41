import {type InstanceId, type Permit, type PermitStage} from '@pistachiogauge/model';
import {type EntryState} from '../entry-state.js';
import {type Invariant} from './invariant.js';

/** Limit from section 1.2 of the design page. */
const drainLimitMs = 3000;
const stagesWithoutWork: ReadonlySet<PermitStage> = new Set(['stopped', 'rebooting']);

/** No permit is added beyond the budget that the applied bundle declares. A bundle that lowers the budget is no violation. */
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
				// The permits of a previous owner are the baseline of the first check.
				const previousCount = permitCounts.get(pool) ?? count;
				permitCounts.set(pool, count);
				const limit = state.bundle.current?.pools[pool]?.budget ?? 0;
				if (count > previousCount && count > limit) {
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
				if (startedAt >= state.invariants.lastCheckedAt && pool !== work.pool) {
					return `${attemptId} for ${work.pool} runs at ${instanceId}, which is recorded in ${pool ?? 'no pool'}`;
				}
			}

			return undefined;
		},
	},
};

/** Lists the permits of the owned pools. During a move an instance may already serve its new pool while the previous pool still holds the permit; such permits are skipped, as they do not restrict requests at the instance. */
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

/** No attempt starts at an instance later than `drainLimitMs` after its permit was recorded. */
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
				if (startedAt > (permitSeenAt.get(instanceId) ?? Number.POSITIVE_INFINITY) + drainLimitMs) {
					return `${attemptId} started at ${instanceId} after its drain was recorded`;
				}
			}

			return undefined;
		},
	},
};

/** No request runs at an instance that a planned stop has taken out of service. */
const gracefulStop: Invariant = {
	name: 'graceful-stop',
	handlers: {
		tick(state) {
			for (const [instanceId, {stage}] of listPermits(state)) {
				const busy = state.dispatch.busySlots.get(instanceId) ?? 0;
				if (busy > 0 && stagesWithoutWork.has(stage)) {
					return `${instanceId} is ${stage} while ${busy} requests run`;
				}
			}

			return undefined;
		},
	},
};

/** The version of the applied bundle never decreases. */
const bundleForward: Invariant = {
	name: 'bundle-forward',
	handlers: {
		tick(state) {
			const version = state.bundle.current?.version ?? 0;
			const {highestBundleVersion} = state.invariants;
			state.invariants.highestBundleVersion = Math.max(version, highestBundleVersion);
			return version < highestBundleVersion ? `version ${version} is in force after ${highestBundleVersion}` : undefined;
		},
	},
};

/** An entry acts only for pools that its adopted epoch assigns to it. */
const oneOwner: Invariant = {
	name: 'one-owner',
	handlers: {
		tick(state) {
			const {record, acquiredPools} = state.membership;
			for (const pool of acquiredPools) {
				const owner = record?.pools[pool]?.owner;
				if (owner !== state.config.id) {
					return `this entry acts for ${pool}, which epoch ${record?.epoch ?? 0} assigns to ${owner ?? 'no entry'}`;
				}
			}

			return undefined;
		},
	},
};

/** Invariants of pools, instances and bundles, all checked on every tick. */
export const poolInvariants: readonly Invariant[] = [budget, onePool, drainedGetsNothing, gracefulStop, bundleForward, oneOwner];
