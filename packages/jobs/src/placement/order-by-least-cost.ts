import {
	computePriorityFactor, computeSizeValue, estimateWorkRatio, isSizeShort, lateShare, type GuardedSize, type JobSize,
} from '../value/index.js';
import {type AccountWeights} from './account-shares.js';
import {
	type BacklogJob, type DisplacementReason, type JobProfile, type PoolDisplacement,
} from './displacement-state.js';
import {objectiveStatusOrder, type ObjectiveStatus, type RankedJob} from './order-jobs.js';
import {
	getAccount, getQueueRecord, classifyJobs, recordOutcomes,
} from './classify-jobs.js';
import {
	chooseKeptJobs, type AccountUse, type Guard, type SelectableJob,
} from './choose-kept-jobs.js';

/** What a pool has for the jobs that wait, besides what is running. @internal */
export type PoolSupply = {
	/** Thousandths of a core that long-running tasks do not take. */
	readonly capacityMillis: number;
	/** Remaining work of the jobs all of whose ready tasks run, by account, in thousandths of a core times ms. */
	readonly runningWork: ReadonlyMap<string, number>;
	/** Thousandths of a core that they take. */
	readonly runningMillis: number;
	/** Those jobs. */
	readonly runningJobs: ReadonlySet<RankedJob['job']>;
};

/** @internal */
export type OrderContext = {readonly supply: PoolSupply; readonly weights: AccountWeights};

/** A job that waits, with what the order depends on. */
type OrderedJob = SelectableJob & {
	readonly ranked: RankedJob;
	readonly profile: JobProfile;
};

/** A job that is displaced, and why. @internal */
export type DisplacedJob = {readonly ranked: RankedJob; readonly account: string; readonly reason: DisplacementReason};

/** @internal */
export type LeastCostOrder = {
	readonly ordered: RankedJob[];
	readonly displaced: readonly DisplacedJob[];
	/** Jobs that can be in time, displaced or not, and late ones. */
	readonly timely: readonly BacklogJob[];
	readonly late: readonly BacklogJob[];
};

type GuardFinder = (ranked: RankedJob, profile: JobProfile) => Guard | undefined;

type DescriptionInput = {
	readonly supply: PoolSupply;
	readonly runningWork: number;
	readonly findGuard: GuardFinder;
	/** Whether jobs of several accounts wait. */
	readonly isShared: boolean;
	readonly overdrawn: ReadonlySet<string>;
};

/** Added to the tier and serving class of jobs that stand behind others: those without entitlement, and those of overdrawn accounts. In each group priority 0 comes first. */
const behind = 2;
/** Time before the last moment by which a kept job is started: the orders take some ms, and a job that misses its objective by little has wasted its capacity. */
const startMarginMs = 100;
/** Multiple of the mean demand for each unit of weight beyond which an account is overdrawn. Demands of accounts with equal rates differ by less. */
const overdrawnFactor = 3;

/**
Orders jobs for placement so that those are displaced that lose least value for the capacity that they set free.

The status of displaced jobs is set to `displaced`. They follow the kept jobs in the order in which they would be kept next, and then the late ones by what they are still worth.

@internal
*/
export function orderByLeastCost(jobs: readonly RankedJob[], pool: PoolDisplacement, {supply, weights}: OrderContext, times: {readonly now: number; readonly wallTime: number}): LeastCostOrder {
	classifyJobs(pool, jobs, weights);
	recordOutcomes(pool, jobs, times);
	const runningWork = sumValues(supply.runningWork);
	const findGuard = createGuards(pool, supply, jobs);
	const byStatus = groupByStatus(jobs);
	const uses = new Map<string, AccountUse>();
	const getUse = (account: string) => {
		const use = uses.get(account) ?? {weight: weights.getWeight(account), work: supply.runningWork.get(account) ?? 0};
		uses.set(account, use);
		return use;
	};

	const isShared = new Set(jobs.filter(({objectiveStatus}) => objectiveStatus !== 'serving').map(({job}) => getAccount(job))).size > 1;
	const overdrawn = isShared ? findOverdrawnAccounts(jobs, supply, weights) : new Set<string>();
	const describe = (ranked: RankedJob) => describeJob(pool, ranked, {
		supply, runningWork, findGuard, isShared, overdrawn,
	});
	const timely = byStatus.timely.map(ranked => describe(ranked));
	const {kept, displaced} = supply.capacityMillis > 0 ? chooseKeptJobs(timely, getUse) : {kept: timely, displaced: []};
	const late = byStatus.late.map(ranked => describe(ranked)).sort((left, right) => left.tier - right.tier || right.density - left.density);
	const explained = displaced.map((item): DisplacedJob => {
		item.ranked.objectiveStatus = 'displaced';
		return {ranked: item.ranked, account: item.account, reason: explainDisplacement(item, {supply, uses, isShared})};
	});
	return {
		ordered: [
			...byStatus.serving.sort(compareByPriority),
			...kept.map(({ranked}) => ranked),
			...displaced.map(({ranked}) => ranked),
			...late.map(({ranked}) => ranked),
			...byStatus.hopeless.sort(compareByPriority),
		],
		displaced: explained,
		timely,
		late,
	};
}

function describeJob(pool: PoolDisplacement, ranked: RankedJob, input: DescriptionInput): OrderedJob {
	const {supply: {capacityMillis, runningMillis}, runningWork, findGuard, isShared, overdrawn} = input;
	const {job, remainingWork, slackMs, dueInMs} = ranked;
	const profile = pool.profiles.get(job)!;
	const account = getAccount(job);
	const urgency = job.record.priority === 0 ? 0 : 1;
	const isEntitled = profile.isEntitled || !isShared;
	// Runs that outlast the job take their part of the capacity and no more.
	const workAhead = Math.min(runningWork, runningMillis * Math.max(0, dueInMs));
	return {
		ranked,
		profile,
		// Its last task has to start within its slack, and all that is running then, the work before it and its own have to be done by the time it is due.
		limit: Math.min((slackMs - startMarginMs) * capacityMillis, (dueInMs * capacityMillis) - workAhead) - remainingWork,
		work: remainingWork,
		density: computeValue(pool, ranked) / Math.max(1, remainingWork),
		account,
		tier: urgency + (isEntitled ? 0 : behind),
		servingClass: urgency + (isEntitled && !overdrawn.has(account) ? 0 : behind),
		guard: findGuard(ranked, profile),
	};
}

/**
Finds the accounts that demand far more of the pool than others, relative to their weights.

Their jobs are served behind those of the others. Otherwise jobs of the others would be started at the last moment, beside older ones of these accounts, and some of them miss their objective.
*/
function findOverdrawnAccounts(jobs: readonly RankedJob[], supply: PoolSupply, weights: AccountWeights): Set<string> {
	const demands = new Map(supply.runningWork);
	for (const {job, remainingWork, objectiveStatus} of jobs) {
		if (objectiveStatus === 'timely') {
			const account = getAccount(job);
			demands.set(account, (demands.get(account) ?? 0) + remainingWork);
		}
	}

	const total = sumValues(demands);
	const totalWeight = sumBy([...demands.keys()], account => weights.getWeight(account));
	const isOverdrawn = (account: string, demand: number) => demand * totalWeight > overdrawnFactor * total * weights.getWeight(account);
	return new Set([...demands].filter(([account, demand]) => isOverdrawn(account, demand)).map(([account]) => account));
}

/** Computes the value of a job if it is served as its status allows: in time unless it is late already. @internal */
export function computeValue(pool: PoolDisplacement, {job, totalWork, objectiveStatus}: RankedJob): number {
	const {work} = getQueueRecord(pool, job.record.queue);
	return computePriorityFactor(job.record.priority) * computeSizeValue(estimateWorkRatio(work, totalWork)) * statusShares[objectiveStatus];
}

/** Share of its value that a job of each status can still have. */
const statusShares: Readonly<Record<ObjectiveStatus, number>> = {
	serving: 1, timely: 1, displaced: 1, late: lateShare, hopeless: 0,
};

/** Creates a function that finds the guard of a job. Guards count the open jobs of each queue and size. */
function createGuards(pool: PoolDisplacement, {runningJobs}: PoolSupply, jobs: readonly RankedJob[]): GuardFinder {
	const groups = new Map<string, {total: number; kept: number}>();
	const findGroup = (queue: string, size: GuardedSize) => {
		const key = `${size} ${queue}`;
		const group = groups.get(key) ?? {total: 0, kept: 0};
		groups.set(key, group);
		return group;
	};

	const countJob = (job: RankedJob['job'], isKept: boolean) => {
		const size = pool.profiles.get(job)?.size ?? 'small';
		if (isGuarded(size) && pool.openJobs.has(job)) {
			const group = findGroup(job.record.queue, size);
			group.total += 1;
			group.kept += isKept ? 1 : 0;
		}
	};

	for (const {job} of jobs) {
		countJob(job, false);
	}

	for (const job of runningJobs) {
		countJob(job, true);
	}

	return ({job}, profile) => {
		const {size} = profile;
		if (!isGuarded(size) || !pool.openJobs.has(job)) {
			return undefined;
		}

		const {queue} = job.record;
		const {service} = getQueueRecord(pool, queue);
		const group = findGroup(queue, size);
		return {
			wasKept: profile.isKeptByGuard,
			isShort: () => isSizeShort(service, size, group),
			addKept(isKeptByGuard) {
				group.kept += 1;
				profile.isKeptByGuard ||= isKeptByGuard;
			},
		};
	};
}

function isGuarded(size: JobSize): size is GuardedSize {
	return size !== 'small';
}

function explainDisplacement({ranked, profile, account}: OrderedJob, {supply, uses, isShared}: {
	readonly supply: PoolSupply;
	readonly uses: ReadonlyMap<string, AccountUse>;
	readonly isShared: boolean;
}): DisplacementReason {
	if (ranked.remainingWork > ranked.dueInMs * supply.capacityMillis) {
		return 'too-large';
	}

	if (isShared && !profile.isEntitled) {
		return 'over-rate';
	}

	const {weight, work} = uses.get(account) ?? {weight: 1, work: 0};
	const allUses = [...uses.values()];
	const sharedWork = sumBy(allUses, use => use.work);
	return isShared && work * sumBy(allUses, use => use.weight) >= sharedWork * weight ? 'over-share' : 'least-value';
}

function groupByStatus(jobs: readonly RankedJob[]): Record<ObjectiveStatus, RankedJob[]> {
	const groups: Record<ObjectiveStatus, RankedJob[]> = {
		serving: [], timely: [], displaced: [], late: [], hopeless: [],
	};
	for (const ranked of jobs) {
		groups[ranked.objectiveStatus].push(ranked);
	}

	return groups;
}

function compareByPriority(left: RankedJob, right: RankedJob): number {
	return objectiveStatusOrder[left.objectiveStatus] - objectiveStatusOrder[right.objectiveStatus]
		|| left.job.record.priority - right.job.record.priority
		|| left.slackMs - right.slackMs;
}

function sumValues(values: ReadonlyMap<string, number>): number {
	return sumBy([...values.values()], value => value);
}

function sumBy<Item>(items: readonly Item[], getAmount: (item: Item) => number): number {
	return items.reduce((sum, item) => sum + getAmount(item), 0);
}
