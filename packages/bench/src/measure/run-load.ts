import {createRandomSource, type RandomSource} from '@pistachiogauge/decisions';
import {createEventQueue, type EventQueue} from '../virtual/event-queue.js';
import {createRequests, type LoadRequest, type LoadSource} from './load-request.js';
import {createWorkers, type Worker} from './workers.js';

/** A running policy: accepts the requests of a load and sends them to workers. */
export type PolicyRun = {
	submitRequest(request: LoadRequest): void;
};

/** A dispatch policy: the decisions of an entry, or a simple baseline. */
export type Policy = {
	readonly name: string;
	/** Starts the policy. It reports each request once, after it has set `outcome` and `endedAt`. */
	start(eventQueue: EventQueue, workers: readonly Worker[], random: RandomSource, report: (request: LoadRequest) => void): PolicyRun;
};

/** A load on one pool. */
export type LoadPlan = {
	readonly workerCount: number;
	readonly sources: readonly LoadSource[];
	readonly durationMs: number;
	/** Changes to workers during the run. */
	readonly changes?: ReadonlyArray<{readonly at: number; readonly change: (workers: readonly Worker[]) => void}>;
};

/** State of the requests and workers after a run. */
export type LoadResult = {
	readonly requests: readonly LoadRequest[];
	readonly workers: readonly Worker[];
};

/** The policies know the pool and its instances by the end of this time. */
const warmUpMs = 2000;
const maxDeadlineMs = 20_000;

/** Runs a load under a policy. A seed gives the same requests under every policy. */
export function runLoad(plan: LoadPlan, policy: Policy, seed: number): LoadResult {
	const eventQueue = createEventQueue();
	const workers = createWorkers(plan.workerCount);
	const requests = plan.sources.flatMap((source, index) => createRequests(source, warmUpMs, plan.durationMs, createRandomSource((seed * 1000) + index)));
	const run = policy.start(eventQueue, workers, createRandomSource(seed), () => undefined);
	for (const request of requests) {
		eventQueue.add(request.sentAt, () => {
			run.submitRequest(request);
		});
	}

	for (const {at, change} of plan.changes ?? []) {
		eventQueue.add(warmUpMs + at, () => {
			change(workers);
		});
	}

	eventQueue.runUntil(warmUpMs + plan.durationMs + maxDeadlineMs);
	return {requests, workers};
}
