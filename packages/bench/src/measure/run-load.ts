import {createRandomSource, type RandomSource} from '@pistachiogauge/decisions';
import {createEventQueue, type EventQueue} from '../virtual/event-queue.js';
import {createJobs, type Job, type Source} from './job.js';
import {createWorkers, type Worker} from './workers.js';

/** Takes the requests of a load and places them on workers. */
export type PolicyRun = {
	ask(job: Job): void;
};

/** A way to place requests: the decisions of an entry, or a simple policy to compare with. */
export type Policy = {
	readonly name: string;
	/** Starts the policy; it reports each job once, with outcome and end set. */
	start(queue: EventQueue, workers: readonly Worker[], random: RandomSource, report: (job: Job) => void): PolicyRun;
};

/** A load on one pool. */
export type LoadPlan = {
	readonly workerCount: number;
	readonly sources: readonly Source[];
	readonly durationMs: number;
	/** Changes to workers in the course of the run. */
	readonly changes?: ReadonlyArray<{readonly at: number; readonly change: (workers: readonly Worker[]) => void}>;
};

/** What a run of a load has left. */
export type LoadResult = {
	readonly jobs: readonly Job[];
	readonly workers: readonly Worker[];
};

/** Pool and instances are known by then. */
const warmUpMs = 2000;
const maxDeadlineMs = 20_000;

/** Runs a load under a policy. The same seed gives the same requests under every policy. */
export function runLoad(plan: LoadPlan, policy: Policy, seed: number): LoadResult {
	const queue = createEventQueue();
	const workers = createWorkers(plan.workerCount);
	const jobs = plan.sources.flatMap((source, index) => createJobs(source, warmUpMs, plan.durationMs, createRandomSource((seed * 1000) + index)));
	const run = policy.start(queue, workers, createRandomSource(seed), () => undefined);
	for (const job of jobs) {
		queue.add(job.at, () => {
			run.ask(job);
		});
	}

	for (const {at, change} of plan.changes ?? []) {
		queue.add(warmUpMs + at, () => {
			change(workers);
		});
	}

	queue.runUntil(warmUpMs + plan.durationMs + maxDeadlineMs);
	return {jobs, workers};
}
