import {admissionWorkRatios, type QueueWait} from '../model/index.js';
import {type BacklogJob, type PoolBacklog} from '../placement/index.js';
import {computePriorityFactor, computeSizeValue, lateShare} from '../value/index.js';

/** Returns the weight of an account. @internal */
export type WeightFinder = (account: string) => number;

/** A queue whose waits are estimated. @internal */
export type QueueDescription = {
	readonly priority: number;
	/** Mean work of its jobs, in thousandths of a core times ms. */
	readonly meanWork: number;
};

/** What an account has before a new job: at least `base`, and at most that and `shared`, in thousandths of a core times ms. */
type AccountWork = {base: number; shared: number; denser: number};

/**
Estimates how long new jobs of a queue would wait, for each account with jobs in the backlog.

A new job is served after the running ones, those of lower tiers, those of its account that yield at least as much for their work, and those of other accounts up to their shares by weight. New jobs count as entitled to capacity, so jobs without entitlement are not before them.

@internal
*/
export function estimateWaits(backlog: PoolBacklog, queue: QueueDescription, getWeight: WeightFinder): Record<string, QueueWait> {
	const waits: Record<string, QueueWait> = {};
	if (queue.meanWork <= 0 || backlog.capacityMillis <= 0) {
		return waits;
	}

	// Late jobs compete with a new one only once that is late as well, and then at the same reduced value.
	const late = backlog.late.map(job => ({...job, density: job.density / lateShare}));
	const accounts = new Set([...backlog.timely, ...late].map(({account}) => account));
	const estimate = (jobs: readonly BacklogJob[], account: string) => admissionWorkRatios.map(ratio => {
		const density = computePriorityFactor(queue.priority) * computeSizeValue(ratio) / (ratio * queue.meanWork);
		return Math.round(sumWorkBefore(jobs, backlog.runningWork, {account, density, tier: queue.priority === 0 ? 0 : 1}, getWeight) / backlog.capacityMillis);
	});
	for (const account of accounts) {
		waits[account] = {timely: estimate(backlog.timely, account), total: estimate([...backlog.timely, ...late], account)};
	}

	return waits;
}

/** Sums the work that is served before a new job. */
function sumWorkBefore(jobs: readonly BacklogJob[], runningWork: ReadonlyMap<string, number>, added: Omit<BacklogJob, 'work'>, getWeight: WeightFinder): number {
	const works = new Map<string, AccountWork>();
	const findWork = (account: string) => {
		const work = works.get(account) ?? {base: 0, shared: 0, denser: 0};
		works.set(account, work);
		return work;
	};

	for (const [account, work] of runningWork) {
		findWork(account).base += work;
	}

	for (const {account, tier, work, density} of jobs) {
		const sum = findWork(account);
		if (tier < added.tier) {
			sum.base += work;
		} else if (tier === added.tier) {
			sum.shared += work;
			sum.denser += density >= added.density ? work : 0;
		}
	}

	const own = findWork(added.account);
	const ownWork = own.base + own.denser;
	let before = ownWork;
	for (const [account, {base, shared}] of works) {
		if (account !== added.account) {
			before += Math.min(base + shared, Math.max(base, ownWork * getWeight(account) / getWeight(added.account)));
		}
	}

	return before;
}
