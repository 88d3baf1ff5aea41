import {describe, expect, it} from 'vitest';
import {type JobSpec} from '@pistachiogauge/jobs';
import {type AccountPlan} from '../accounts/account-plan.js';
import {createJobsSimulation, type JobsSimulation} from './jobs-simulation.js';

const taskMs = 600;
/** Time after which waits are published in a deployment that has had accounts all along. */
const settleMs = 12_000;
const overloadMs = 10_000;
/** Time after which the last job is worth nothing any more. */
const drainMs = 8000;
const stepMs = 100;
const pressKey = 'press-key';
const account: AccountPlan = {
	name: 'press', apiKeys: [pressKey], priority: 0, weight: 1000, cap: {cpuMillis: 0, memoryMb: 0, gpus: 0},
};
const spec: JobSpec = {
	payload: '',
	repeatCount: 0,
	startAtMs: 0,
	intervalMs: 0,
	steps: [{
		count: 1, room: {cpuMillis: 1000, memoryMb: 500, gpus: 0}, estimateMs: taskMs, after: [], isCheckpointing: false, isGang: false, isSameRack: false, requiredLabel: undefined, dataRack: undefined, endpointLimit: undefined, mayDuplicate: false, isLongRunning: false, image: '', tailTargetMs: undefined, isFiller: false, missLimit: undefined,
	}],
};

function startSimulation(accounts: readonly AccountPlan[] | undefined): JobsSimulation {
	const simulation = createJobsSimulation({
		seed: 3, entryCount: 4, pools: {desk: 2}, endpointCapacity: {cpuMillis: 8000, memoryMb: 32_000, gpus: 0},
	});
	simulation.runFor(1000);
	if (accounts !== undefined) {
		simulation.changeAccounts(accounts);
	}

	simulation.runFor(settleMs);
	return simulation;
}

/** Sends jobs at a multiple of what the pool can do, and brings one failure about in the middle. */
function sendJobs(simulation: JobsSimulation, load: number, cause?: (simulation: JobsSimulation) => void): string[] {
	const jobs: string[] = [];
	const jobsPerStep = load * 16 * stepMs / taskMs;
	for (let time = 0; time < overloadMs; time += stepMs) {
		if (time === overloadMs / 2) {
			cause?.(simulation);
		}

		const entries = simulation.entries.filter(({isUp}) => isUp);
		while (jobs.length < jobsPerStep * ((time / stepMs) + 1)) {
			jobs.push(simulation.submitJob(entries[jobs.length % entries.length]!, 'jobs-desk', spec, {durationMs: taskMs}, pressKey));
		}

		simulation.runFor(stepMs);
	}

	simulation.runFor(drainMs);
	return jobs;
}

function listRefused({answers}: JobsSimulation, jobs: readonly string[]): string[] {
	return jobs.filter(id => {
		const answer = answers.get(`submit-${id}`);
		return answer?.kind === 'refused' && answer.reason.includes('too late');
	});
}

/** Counts the jobs that ended within three times their objective of 1.6 times the task's duration and 600 ms. */
function countServed({store}: JobsSimulation, jobs: readonly string[]): number {
	return jobs.filter(id => {
		const stored = store.getStoredJob(id);
		return stored?.progress.status === 'done' && stored.progress.endedAt! - stored.job.acceptedAt <= 3 * ((1.6 * taskMs) + 600);
	}).length;
}

const killOwner = (simulation: JobsSimulation) => {
	const owner = simulation.store.claims.get('pool/desk')?.node;
	simulation.killEntry(simulation.entries.find(({node}) => node === owner)!, 3000);
};

const cases: ReadonlyArray<{readonly name: string; readonly load: number; readonly accounts: readonly AccountPlan[] | undefined; readonly cause?: (simulation: JobsSimulation) => void; readonly hasRefusals: boolean}> = [
	{
		name: 'a five-fold overload for ten seconds', load: 5, accounts: [account], hasRefusals: true,
	},
	{
		name: 'no overload', load: 0.7, accounts: [account], hasRefusals: false,
	},
	{
		name: 'a five-fold overload without accounts', load: 5, accounts: undefined, hasRefusals: false,
	},
	{
		name: 'a five-fold overload and the loss of the owner', load: 5, accounts: [account], cause: killOwner, hasRefusals: true,
	},
	{
		name: 'a five-fold overload and the loss of half of the entries', load: 5, accounts: [account], hasRefusals: true, cause(simulation) {
			for (const entry of simulation.entries.slice(0, 2)) {
				simulation.killEntry(entry, 3000);
			}
		},
	},
	{
		name: 'a five-fold overload and writes that are carried out seconds later', load: 5, accounts: [account], hasRefusals: true, cause(simulation) {
			simulation.unansweredWriteShare = 0.1;
		},
	},
];

describe('admission', () => {
	// Guards against refusals of jobs that are stored all the same or could be served, against an overload that refuses none, and against calls in deployments without accounts.
	it.each(cases)('with $name refuses some: $hasRefusals', ({load, accounts, cause, hasRefusals}) => {
		const simulation = startSimulation(accounts);
		const jobs = sendJobs(simulation, load, cause);
		const refused = listRefused(simulation, jobs);
		expect(refused.length > 0).toBe(hasRefusals);
		expect(refused.filter(id => simulation.store.getStoredJob(id) !== undefined)).toEqual([]);
		expect(simulation.checker.violations.filter(({invariant}) => invariant === 'refused')).toEqual([]);
		if (hasRefusals && cause === undefined) {
			// The pool was busy with useful jobs all the time, so no refused one could have been served besides.
			expect(countServed(simulation, jobs)).toBeGreaterThan(0.9 * 16 * overloadMs / taskMs);
		}

		const {callCounts} = simulation.admissionRecords;
		expect(callCounts.write).toBeLessThanOrEqual(hasRefusals ? 2 * (overloadMs + drainMs) / 1000 : 0);
		expect(callCounts.read === 0).toBe(!hasRefusals);
	});
});
