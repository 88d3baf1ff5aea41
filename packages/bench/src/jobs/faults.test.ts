import {describe, expect, it} from 'vitest';
import {type JobSpec, type StepSpec} from '@pistachiogauge/jobs';
import {createJobsSimulation, type JobsSimulation} from './jobs-simulation.js';

const defaultStep: StepSpec = {
	count: 3,
	room: {cpuMillis: 1000, memoryMb: 500, gpus: 0},
	estimateMs: 800,
	after: [],
	isCheckpointing: false,
	isGang: false,
	isSameRack: false,
	requiredLabel: undefined,
	dataRack: undefined,
	endpointLimit: undefined,
	mayDuplicate: false,
	isLongRunning: false,
	image: '',
	tailTargetMs: undefined,
	isFiller: false,
	missLimit: undefined,
};

function createSpec(...steps: ReadonlyArray<Partial<StepSpec>>): JobSpec {
	return {
		payload: 'text', steps: steps.map(each => ({...defaultStep, ...each})), repeatCount: 0, startAtMs: 0, intervalMs: 0,
	};
}

/** Time in which entries register and claim the pools. */
const settleMs = 1500;

type Case = {
	readonly name: string;
	readonly run: (simulation: JobsSimulation) => string[];
	/** Time in ms after the fault in which the jobs have to be done. */
	readonly withinMs: number;
};

const queue = 'jobs-desk';

function submitJobs(simulation: JobsSimulation, count: number): string[] {
	return Array.from({length: count}, (_unused, index) => simulation.submitJob(simulation.entries[index % simulation.entries.length]!, queue, createSpec({}, {after: [0], count: 2})));
}

function getOwner(simulation: JobsSimulation) {
	const claim = simulation.store.claims.get('pool/desk');
	return simulation.entries.find(entry => entry.node === claim?.node)!;
}

// Failures that once lost a job or ran it twice, and failures that the design page names.
const cases: readonly Case[] = [
	{name: 'no fault', withinMs: 6000, run: simulation => submitJobs(simulation, 10)},
	{
		name: 'the owner is killed', withinMs: 12_000, run(simulation) {
			const jobs = submitJobs(simulation, 10);
			simulation.runFor(900);
			simulation.killEntry(getOwner(simulation), 30_000);
			return jobs;
		},
	},
	{
		name: 'all entries are killed', withinMs: 14_000, run(simulation) {
			const jobs = submitJobs(simulation, 10);
			simulation.runFor(900);
			for (const entry of simulation.entries) {
				simulation.killEntry(entry, 1300);
			}

			return jobs;
		},
	},
	{
		name: 'the owner is paused and resumes', withinMs: 14_000, run(simulation) {
			const jobs = submitJobs(simulation, 10);
			simulation.runFor(900);
			getOwner(simulation).pausedUntil = simulation.queue.now + 4000;
			return jobs;
		},
	},
	{
		name: 'an endpoint of the previous owner is gone when the next owner surveys the pool', withinMs: 16_000, run(simulation) {
			const jobs = submitJobs(simulation, 10);
			simulation.runFor(900);
			simulation.killEntry(getOwner(simulation), 30_000);
			simulation.crashEndpoint([...simulation.endpoints.values()][0]!, 3000);
			return jobs;
		},
	},
	{
		name: 'the store is down while tasks end', withinMs: 12_000, run(simulation) {
			const jobs = submitJobs(simulation, 6);
			simulation.runFor(300);
			simulation.isStoreUp = false;
			simulation.queue.add(4500, () => {
				simulation.isStoreUp = true;
				simulation.loseWatchHistory();
			});
			return jobs;
		},
	},
	{
		name: 'orders take effect seconds late', withinMs: 25_000, run(simulation) {
			simulation.lateOrderShare = 0.1;
			const jobs = submitJobs(simulation, 10);
			simulation.queue.add(5000, () => {
				simulation.lateOrderShare = 0;
			});
			return jobs;
		},
	},
	{
		name: 'an endpoint is unreachable for a while and keeps running its tasks', withinMs: 18_000, run(simulation) {
			const jobs = submitJobs(simulation, 10);
			simulation.runFor(500);
			const endpoint = [...simulation.endpoints.values()][0]!;
			endpoint.isReachable = false;
			simulation.queue.add(9000, () => {
				endpoint.isReachable = true;
			});
			return jobs;
		},
	},
	{
		// Guards against a lease whose expiry each unanswered renewal postpones.
		name: 'an endpoint stays unreachable', withinMs: 14_000, run(simulation) {
			const jobs = submitJobs(simulation, 10);
			simulation.runFor(500);
			[...simulation.endpoints.values()][0]!.isReachable = false;
			return jobs;
		},
	},
];

describe('jobs under faults', () => {
	it.each(cases)('$name', ({run, withinMs}) => {
		const simulation = createJobsSimulation({
			seed: 7, entryCount: 4, pools: {desk: 4}, endpointCapacity: {cpuMillis: 8000, memoryMb: 32_000, gpus: 0},
		});
		simulation.runFor(settleMs);
		const jobs = run(simulation);
		simulation.runFor(withinMs);
		expect(simulation.checker.violations).toEqual([]);
		const accepted = jobs.filter(id => simulation.answers.get(`submit-${id}`)?.kind === 'accepted');
		expect(accepted.length).toBeGreaterThan(0);
		expect(accepted.filter(id => simulation.store.getProgress(id)?.status !== 'done')).toEqual([]);
	});

	// Guards against a lost cancellation: in the listing after a lost watch history it comes before its job.
	it('keeps a cancellation when the watches lose their history', () => {
		const simulation = createJobsSimulation({
			seed: 3, entryCount: 3, pools: {desk: 1}, endpointCapacity: {cpuMillis: 1000, memoryMb: 1000, gpus: 0},
		});
		simulation.runFor(settleMs);
		// Fills the only endpoint, so that the next job has to wait.
		simulation.submitJob(simulation.entries[0]!, queue, createSpec({count: 1}), {durationMs: 6000});
		simulation.runFor(200);
		const owner = getOwner(simulation);
		const other = simulation.entries.find(entry => entry !== owner)!;
		owner.isStoreReachable = false;
		const waiting = simulation.submitJob(other, queue, createSpec({count: 1}));
		simulation.runFor(100);
		simulation.cancelJob(other, queue, waiting);
		simulation.runFor(100);
		owner.isStoreReachable = true;
		simulation.loseWatchHistory();
		simulation.runFor(12_000);
		expect(simulation.checker.violations).toEqual([]);
		expect(simulation.store.getProgress(waiting)?.status).toBe('cancelled');
	});

	// Guards against long-running tasks that never restart because some endpoint is always new or unresponsive during a wave.
	it('surveys a pool while endpoints keep crashing and restarting', () => {
		const simulation = createJobsSimulation({
			seed: 5, entryCount: 3, pools: {desk: 4}, endpointCapacity: {cpuMillis: 4000, memoryMb: 4000, gpus: 0},
		});
		simulation.runFor(settleMs);
		const serving = simulation.submitJob(simulation.entries[0]!, queue, createSpec({count: 2, isLongRunning: true, endpointLimit: 1}), {durationMs: Number.POSITIVE_INFINITY});
		simulation.runFor(800);
		const victim = [...simulation.endpoints.values()].find(endpoint => endpoint.runs.size > 0)!;
		simulation.killEntry(getOwner(simulation), 30_000);
		simulation.crashEndpoint(victim, 2000);
		for (let at = 500; at < 14_000; at += 900) {
			simulation.queue.add(at, () => {
				const idle = [...simulation.endpoints.values()].find(endpoint => endpoint.isUp && endpoint.runs.size === 0);
				if (idle !== undefined) {
					simulation.crashEndpoint(idle, 1500);
				}
			});
		}

		simulation.runFor(14_000);
		const running = new Set([...simulation.endpoints.values()].filter(endpoint => endpoint.isUp).flatMap(endpoint => [...endpoint.runs.keys()]).filter(id => id.startsWith(serving)));
		expect(simulation.checker.violations).toEqual([]);
		expect(running.size).toBe(2);
	});
});

// Guards against submissions that are not accepted while some entry reaches the store.
describe('submissions to an entry that has lost the store', () => {
	it.each([
		{
			name: 'half of the entries have lost it', lostCount: 2, isCutOff: false, expectedCount: 90,
		},
		{
			name: 'the entry is cut off from all others as well', lostCount: 0, isCutOff: true, expectedCount: 0,
		},
	])('are accepted $expectedCount of 90 times if $name', ({lostCount, isCutOff, expectedCount}) => {
		const simulation = createJobsSimulation({
			seed: 3, entryCount: 4, pools: {desk: 4}, endpointCapacity: {cpuMillis: 16_000, memoryMb: 64_000, gpus: 0},
		});
		simulation.runFor(settleMs);
		const [entry] = simulation.entries as [JobsSimulation['entries'][number]];
		for (const lost of simulation.entries.slice(0, lostCount)) {
			lost.isStoreReachable = false;
		}

		if (isCutOff) {
			simulation.network.startCut({nodes: new Set([entry.node]), direction: 'both'});
		}

		const jobIds = Array.from({length: 90}, () => {
			simulation.runFor(100);
			return simulation.submitJob(entry, queue, createSpec({count: 1}), {durationMs: 100});
		});
		simulation.runFor(3500);
		const answers = jobIds.map(jobId => simulation.answers.get(`submit-${jobId}`)?.kind);
		expect(answers).not.toContain(undefined);
		expect(answers.filter(kind => kind === 'accepted')).toHaveLength(expectedCount);
		expect(simulation.checker.violations).toEqual([]);
	});
});
