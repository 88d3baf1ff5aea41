import {createRandomSource} from '@pistachiogauge/chain';
import {hotFactor, type AccountPlan} from '../accounts/index.js';
import {startWallTime} from '../virtual/virtual-clock.js';
import {createPlainSpec} from './job-loads.js';
import {createJobsSimulation} from './jobs-simulation.js';

/** Jobs of an account, or of several. */
export type JobCounts = {readonly sent: number; readonly onTime: number};

/** What the other accounts get with and without a hot one. */
export type ShareComparison = {
	readonly seed: number;
	readonly without: JobCounts;
	readonly beside: JobCounts;
	readonly hot: JobCounts;
};

type SentJob = {readonly jobId: string; readonly account: string; readonly dueAt: number};

/** Largest part of their jobs on time that the other accounts may lose to a hot one. */
const maxFall = 0.05;
const accountCount = 6;
const hotAccount = 'account-6';
/** Usual rate of each account, in jobs a second; also its weight. All together use three quarters of the pool. */
const usualRate = 4;
const endpointCount = 4;
const endpointCapacity = {cpuMillis: 16_000, memoryMb: 64_000, gpus: 0};
const startupMs = 2500;
/** Time after the load in which jobs can still end on time. */
const settleMs = 8000;
/** As in the simulation's configuration. */
const stretch = 1.6;
const latencyTargetMs = 600;

function createAccount(index: number): AccountPlan {
	const name = `account-${index + 1}`;
	return {
		name, apiKeys: [`key-of-${name}`], priority: 0, weight: usualRate, cap: {cpuMillis: 0, memoryMb: 0, gpus: 0},
	};
}

/** Plays the load of a seed, with or without the hot account; the other accounts send the same jobs at the same times. */
function playLoad(seed: number, seconds: number, hasHotAccount: boolean): ReadonlyMap<string, JobCounts> {
	const accounts = Array.from({length: accountCount}, (_unused, index) => createAccount(index));
	const simulation = createJobsSimulation({
		seed, entryCount: 3, pools: {desk: endpointCount}, endpointCapacity, accounts,
	});
	simulation.runFor(startupMs);
	const jobs: SentJob[] = [];
	for (const [index, {name, apiKeys}] of accounts.entries()) {
		const isHot = name === hotAccount;
		if (isHot && !hasHotAccount) {
			continue;
		}

		const random = createRandomSource((seed * accountCount) + index);
		const meanGapMs = 1000 / (usualRate * (isHot ? hotFactor : 1));
		for (let atMs = 0; atMs < seconds * 1000; atMs += -Math.log(1 - random.getFraction()) * meanGapMs) {
			const durationMs = 600 + random.getInteger(800);
			const count = 1 + random.getInteger(3);
			const entry = simulation.entries[random.getInteger(simulation.entries.length)]!;
			simulation.queue.add(atMs, () => {
				const spec = createPlainSpec({count, room: {cpuMillis: 1000, memoryMb: 400, gpus: 0}, estimateMs: durationMs});
				const jobId = simulation.submitJob(entry, 'jobs-desk', spec, {durationMs}, apiKeys[0]);
				jobs.push({jobId, account: name, dueAt: simulation.queue.now + (stretch * durationMs) + latencyTargetMs});
			});
		}
	}

	simulation.runFor((seconds * 1000) + settleMs);
	const isOnTime = ({jobId, dueAt}: SentJob) => {
		const progress = simulation.store.getProgress(jobId);
		return progress?.status === 'done' && progress.endedAt !== undefined && progress.endedAt - startWallTime <= dueAt;
	};

	return new Map(accounts.map(({name}) => {
		const own = jobs.filter(({account}) => account === name);
		return [name, {sent: own.length, onTime: own.filter(job => isOnTime(job)).length}];
	}));
}

function sumOthers(counts: ReadonlyMap<string, JobCounts>): JobCounts {
	const others = [...counts].flatMap(([name, count]) => name === hotAccount ? [] : [count]);
	return {sent: others.reduce((sum, {sent}) => sum + sent, 0), onTime: others.reduce((sum, {onTime}) => sum + onTime, 0)};
}

/** Measures what a hot account takes from the others in an overload of some seconds; the same seed gives the same result. */
export function compareShares(seed: number, seconds: number): ShareComparison {
	const without = playLoad(seed, seconds, false);
	const beside = playLoad(seed, seconds, true);
	return {
		seed, without: sumOthers(without), beside: sumOthers(beside), hot: beside.get(hotAccount)!,
	};
}

/** Part of their jobs on time that the other accounts lose to the hot one. */
export function computeFall({without, beside}: Pick<ShareComparison, 'without' | 'beside'>): number {
	return without.onTime === 0 ? 0 : 1 - (beside.onTime / without.onTime);
}

/** Whether the other accounts lose no more than they may. */
export function isShareKept({without, beside}: Pick<ShareComparison, 'without' | 'beside'>): boolean {
	return beside.onTime >= without.onTime * (1 - maxFall);
}
