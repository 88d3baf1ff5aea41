import {createRandomSource, type RandomSource} from '@pistachiogauge/chain';
import {type ClientAccount} from '@pistachiogauge/jobs';
import {type LoadJob} from './list-schedule.js';

/** Jobs that one account, or none, sends to one queue at a constant mean rate. */
export type Stream = {
	readonly account?: string;
	readonly queue?: string;
	readonly priority?: number;
	/** Jobs a second. */
	readonly rate: number;
	/** Mean number of tasks of a job. */
	readonly meanTasks: number;
	readonly taskMs: number;
	/** Period in ms in which the stream sends jobs. */
	readonly from?: number;
	readonly until: number;
};

const warmUpCount = 20;

/** Creates the jobs of some streams, the times between them and their sizes exponentially distributed. */
export function createLoad(streams: readonly Stream[], seed: number): LoadJob[] {
	const random = createRandomSource(seed);
	// The first numbers of similar seeds are similar.
	for (let count = 0; count < warmUpCount; count++) {
		random.getFraction();
	}

	return streams.flatMap(stream => createStreamJobs(stream, random));
}

/** Creates accounts with the given weights and no keys or caps. */
export function createAccounts(weights: ReadonlyArray<readonly [name: string, weight: number]>): ClientAccount[] {
	return weights.map(([name, weight]) => ({
		name, keyHashes: [], priority: 0, weight, cap: {cpuMillis: 0, memoryMb: 0, gpus: 0},
	}));
}

function createStreamJobs({account, queue = 'prints', priority = 1, rate, meanTasks, taskMs, from = 0, until}: Stream, random: RandomSource): LoadJob[] {
	const jobs: LoadJob[] = [];
	for (let at = from + (drawExponential(random) * 1000 / rate); at < until; at += drawExponential(random) * 1000 / rate) {
		jobs.push({
			at,
			queue,
			priority,
			taskCount: Math.max(1, Math.round(meanTasks * drawExponential(random))),
			taskMs: Math.round(taskMs * (0.5 + random.getFraction())),
			...(account !== undefined && {account}),
		});
	}

	return jobs;
}

/** Draws from the exponential distribution with mean 1. */
function drawExponential(random: RandomSource): number {
	return -Math.log(1 - random.getFraction());
}
