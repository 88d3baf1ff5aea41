import {isActive, type Job} from '../ledger/index.js';
import {
	classifySize, createQueueService, createQueueWork, recordOutcome, recordQueueWork,
} from '../value/index.js';
import {acquireEntitlement, noAccount, type AccountWeights} from './account-shares.js';
import {type JobProfile, type PoolDisplacement} from './displacement-state.js';
import {type RankedJob} from './order-jobs.js';

/** Both clocks, in ms. */
type Times = {readonly now: number; readonly wallTime: number};

/** Returns the account of a job under which it shares capacity. @internal */
export function getAccount({record}: Job): string {
	return record.account ?? noAccount;
}

/** Returns what is remembered of a queue. @internal */
export function getQueueRecord({queues}: PoolDisplacement, queue: string) {
	const record = queues.get(queue) ?? {work: createQueueWork(), service: createQueueService()};
	queues.set(queue, record);
	return record;
}

/** Profiles the jobs that are ranked for the first time: their size within their queue, and whether their account is entitled to capacity for them. @internal */
export function classifyJobs(pool: PoolDisplacement, ranked: readonly RankedJob[], weights: AccountWeights): void {
	const newJobs = ranked.filter(({job, objectiveStatus}) => objectiveStatus !== 'serving' && !pool.profiles.has(job));
	for (const {job, totalWork} of newJobs) {
		recordQueueWork(getQueueRecord(pool, job.record.queue).work, totalWork);
	}

	for (const {job, totalWork} of newJobs.sort((left, right) => left.job.acceptedAt - right.job.acceptedAt)) {
		const account = getAccount(job);
		pool.profiles.set(job, {
			size: classifySize(getQueueRecord(pool, job.record.queue).work, totalWork),
			isEntitled: !weights.isLimited(account) || acquireEntitlement(pool.allowances, account, weights.getWeight(account), job.acceptedAt),
			dueAt: Number.POSITIVE_INFINITY,
			isKeptByGuard: false,
			displacedFor: undefined,
		});
		if (job.record.spec.repeatCount === 0) {
			pool.openJobs.add(job);
		}
	}
}

/** Records the outcomes of jobs that have ended, or have missed their objective while they waited. A cancelled job says nothing about how its queue is served. @internal */
export function recordOutcomes(pool: PoolDisplacement, ranked: readonly RankedJob[], times: Times): void {
	for (const {job, objectiveStatus, dueInMs} of ranked) {
		const profile = pool.profiles.get(job);
		if (profile === undefined || !pool.openJobs.has(job)) {
			continue;
		}

		profile.dueAt = times.now + dueInMs;
		if (objectiveStatus === 'late' || objectiveStatus === 'hopeless') {
			closeJob(pool, job, profile, false);
		}
	}

	for (const job of pool.openJobs) {
		const profile = pool.profiles.get(job)!;
		if (isActive(job)) {
			continue;
		}

		if (job.status === 'cancelled') {
			pool.openJobs.delete(job);
			continue;
		}

		const endedAt = times.now - (times.wallTime - (job.endedAt ?? times.wallTime));
		closeJob(pool, job, profile, job.status === 'done' && endedAt <= profile.dueAt);
	}
}

function closeJob(pool: PoolDisplacement, job: Job, {size}: JobProfile, isServed: boolean): void {
	pool.openJobs.delete(job);
	recordOutcome(getQueueRecord(pool, job.record.queue).service, size, isServed);
}
