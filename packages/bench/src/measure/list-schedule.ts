import {createRandomSource} from '@pistachiogauge/chain';
import {
	completeTask, computeJobValue, createJobsState, createPoolLedger, hasPendingTask, isStepDone, keepTask, lateFactor, listPendingTasks, orderWaitingJobs, restoreJob, type ClientAccount, type DisplacementPolicy, type Job, type JobsState, type Step, type Task,
} from '@pistachiogauge/jobs';

/** A job of a load; its tasks are independent and take one core each. */
export type LoadJob = {
	/** When it is accepted, in ms. */
	readonly at: number;
	readonly queue: string;
	readonly account?: string;
	readonly priority: number;
	readonly taskCount: number;
	readonly taskMs: number;
};

/** What became of a job. */
export type ScheduledJob = {
	readonly load: LoadJob;
	/** Time from its acceptance to its end, in ms; infinite if it had not ended. */
	readonly latencyMs: number;
	readonly isOnTime: boolean;
	/** As in `computeJobValue`. */
	readonly value: number;
};

type Options = {
	readonly policy: DisplacementPolicy;
	readonly cores: number;
	readonly accounts?: readonly ClientAccount[];
};

const pool = 'pool';
const stepMs = 25;
const stretch = 2;
const latencyTargetMs = 1000;
/** Time after the last job was accepted in which jobs can still end; it is longer than three times any objective. */
const drainMs = 10_000;

/** Plays a load on one machine that starts tasks in the order of a displacement policy and runs each to its end. Durations are known, and the jobs are ordered every 25 ms. A job that is worth nothing any more starts no further task. */
export function scheduleLoad(loads: readonly LoadJob[], {policy, cores, accounts}: Options): ScheduledJob[] {
	const state = createJobsState({
		node: 'entry', incarnation: 'first', orderLeaseMs: 0, placement: {displacement: policy},
	});
	state.configuration.current = {
		version: 1, queues: [], pools: [], accounts, limits: {
			headerBytes: 0, bodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0,
		},
	};
	const ledger = createPoolLedger({pool, token: 1, now: 0});
	const arrivals = [...loads].sort((left, right) => left.at - right.at);
	const latencies = new Map<LoadJob, number>();
	const loadsByJob = new Map<Job, LoadJob>();
	const running: Array<{readonly task: Task; readonly endsAt: number}> = [];
	const endAt = (arrivals.at(-1)?.at ?? 0) + drainMs;
	let nextArrival = 0;
	for (let now = 0; now <= endAt; now += stepMs) {
		for (const {task} of running.filter(({endsAt}) => endsAt <= now)) {
			const {job} = task.step;
			if (endTask(task, now) && ledger.activeJobs.has(job)) {
				ledger.activeJobs.delete(job);
				latencies.set(loadsByJob.get(job)!, now - job.acceptedAt);
			}
		}

		running.splice(0, running.length, ...running.filter(({endsAt}) => endsAt > now));
		for (; nextArrival < arrivals.length && arrivals[nextArrival]!.at <= now; nextArrival++) {
			const job = createJob(arrivals[nextArrival]!, nextArrival, now);
			loadsByJob.set(job, arrivals[nextArrival]!);
			ledger.activeJobs.add(job);
		}

		for (const job of ledger.activeJobs) {
			if (now - job.acceptedAt > lateFactor * getObjectiveMs(loadsByJob.get(job)!)) {
				ledger.activeJobs.delete(job);
			}
		}

		for (const task of orderPendingTasks(state, {ledger, cores, now}, cores - running.length)) {
			keepTask(task);
			task.runs.set(1, 'machine');
			task.step.job.version += 1;
			running.push({task, endsAt: now + task.step.spec.estimateMs});
		}
	}

	return measureJobs(arrivals, latencies);
}

function getObjectiveMs({taskMs}: LoadJob): number {
	return (stretch * taskMs) + latencyTargetMs;
}

/** Counts the jobs that were done on time. */
export function countOnTime(jobs: readonly ScheduledJob[]): number {
	return jobs.filter(({isOnTime}) => isOnTime).length;
}

/** Sums the values of jobs. */
export function sumValue(jobs: readonly ScheduledJob[]): number {
	return jobs.reduce((sum, {value}) => sum + value, 0);
}

function orderPendingTasks(state: JobsState, {ledger, cores, now}: {readonly ledger: ReturnType<typeof createPoolLedger>; readonly cores: number; readonly now: number}, count: number): Task[] {
	const waiting = [...ledger.activeJobs].filter(job => hasPendingTask(getStep(job)));
	if (waiting.length === 0 || count <= 0) {
		return [];
	}

	const {ordered} = orderWaitingJobs(state, {pool: ledger, waiting, capacityMillis: cores * 1000}, {now, wallTime: now, random: createRandomSource(1)});
	return listFirstTasks(ordered, count);
}

function listFirstTasks(ordered: ReadonlyArray<{readonly job: Job}>, count: number): Task[] {
	const tasks: Task[] = [];
	for (const {job} of ordered) {
		if (tasks.length >= count) {
			break;
		}

		for (const task of listPendingTasks(getStep(job))) {
			tasks.push(task);
		}
	}

	return tasks.slice(0, count);
}

function getStep(job: Job): Step {
	return job.steps.get('0.0')!;
}

/** Ends a task. @returns Whether its job has ended with it. */
function endTask(task: Task, now: number): boolean {
	const {step} = task;
	task.runs.clear();
	completeTask(task);
	step.job.version += 1;
	if (!isStepDone(step)) {
		return false;
	}

	step.job.status = 'done';
	step.job.endedAt = now;
	return true;
}

function createJob({queue, account, priority, taskCount, taskMs, at}: LoadJob, number: number, now: number): Job {
	return restoreJob({
		job: {
			id: `job${number}`,
			queue,
			pool,
			spec: {
				payload: '', repeatCount: 0, startAtMs: 0, intervalMs: 0, steps: [{
					count: taskCount, room: {cpuMillis: 1000, memoryMb: 1, gpus: 0}, estimateMs: taskMs, after: [], isCheckpointing: false, isGang: false, isSameRack: false, requiredLabel: undefined, dataRack: undefined, endpointLimit: undefined, mayDuplicate: false, isLongRunning: false, image: '', tailTargetMs: undefined, isFiller: false, missLimit: undefined,
				}],
			},
			priority,
			attempts: 2,
			stretch,
			latencyTargetMs,
			advice: undefined,
			account,
			acceptedAt: at,
		}, progress: {
			queue, status: 'queued', steps: {}, lastRun: 0,
		}, revision: 1, isCancelled: false,
	}, {now, wallTime: now});
}

function measureJobs(loads: readonly LoadJob[], latencies: ReadonlyMap<LoadJob, number>): ScheduledJob[] {
	const works = new Map<string, number[]>();
	for (const {queue, taskCount, taskMs} of loads) {
		works.set(queue, [...works.get(queue) ?? [], taskCount * taskMs]);
	}

	const means = new Map([...works].map(([queue, amounts]) => [queue, amounts.reduce((sum, work) => sum + work, 0) / amounts.length]));
	return loads.map(load => {
		const {queue, priority, taskCount, taskMs} = load;
		const objectiveMs = getObjectiveMs(load);
		const latencyMs = latencies.get(load) ?? Number.POSITIVE_INFINITY;
		return {
			load, latencyMs, isOnTime: latencyMs <= objectiveMs, value: computeJobValue({
				priority, workRatio: taskCount * taskMs / means.get(queue)!, latencyMs, objectiveMs,
			}),
		};
	});
}
