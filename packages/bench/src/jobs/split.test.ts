import {describe, expect, it} from 'vitest';
import {type JobSpec} from '@pistachiogauge/jobs';
import {createJobsSimulation, type JobsSimulation} from './jobs-simulation.js';
import {type CutDirection} from './virtual-network.js';

const seed = 7;
const queue = 'jobs-desk';
/** Time in which entries register and claim the pool. */
const settleMs = 1500;
const endpointCapacity = {cpuMillis: 8000, memoryMb: 32_000, gpus: 0};

function createSpec(estimateMs: number): JobSpec {
	return {
		payload: '',
		steps: [{
			count: 1,
			room: {cpuMillis: 1000, memoryMb: 500, gpus: 0},
			estimateMs,
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
		}],
		repeatCount: 0,
		startAtMs: 0,
		intervalMs: 0,
	};
}

type Case = {
	readonly name: string;
	readonly direction: CutDirection;
	readonly cutMs: number;
	/** Which endpoint is cut off together with the owner: the one with the most runs or one without runs. */
	readonly endpointLoad: 'most' | 'none';
	readonly jobCount: number;
	/** Duration of each task. */
	readonly durationMs: number;
};

const cases: readonly Case[] = [
	{
		name: 'the cut-off owner renews the lease of a run that its successor starts elsewhere',
		direction: 'both',
		cutMs: 9800,
		endpointLoad: 'most',
		jobCount: 8,
		durationMs: 14_000,
	},
	{
		name: 'the cut-off owner starts tasks again that still run on the other endpoints, whose leases its successor renews',
		direction: 'both',
		cutMs: 7000,
		endpointLoad: 'none',
		jobCount: 8,
		durationMs: 14_000,
	},
	{
		name: 'the cut-off owner starts queued tasks that its successor starts as well, or starts again after their ends',
		direction: 'both',
		cutMs: 12_000,
		endpointLoad: 'most',
		jobCount: 80,
		durationMs: 1800,
	},
];

function findOwner(simulation: JobsSimulation): string {
	return simulation.store.claims.get('pool/desk')!.node;
}

function chooseEndpoint({endpoints}: JobsSimulation, load: Case['endpointLoad']): string {
	const byLoad = [...endpoints.values()].sort((left, right) => left.runs.size - right.runs.size);
	return byLoad.at(load === 'none' ? 0 : -1)!.registration.id;
}

describe('jobs while a network cut separates the owner and an endpoint from the rest', () => {
	it.each(cases)('$name', ({direction, cutMs, endpointLoad, jobCount, durationMs}) => {
		const simulation = createJobsSimulation({
			seed, entryCount: 4, pools: {desk: 5}, endpointCapacity,
		});
		simulation.runFor(settleMs);
		const owner = findOwner(simulation);
		const jobs = Array.from({length: jobCount}, () => simulation.submitJob(simulation.entries.find(entry => entry.node === owner)!, queue, createSpec(durationMs), {durationMs}));
		simulation.runFor(900);
		const cut = {nodes: new Set([owner, chooseEndpoint(simulation, endpointLoad)]), direction};
		simulation.network.startCut(cut);
		simulation.runFor(cutMs);
		simulation.network.endCut(cut);
		simulation.runFor(30_000 + (jobCount * durationMs / 10));
		expect(simulation.checker.violations).toEqual([]);
		expect(jobs.filter(id => simulation.store.getProgress(id)?.status !== 'done')).toEqual([]);
	});

	// Guards against endpoints that stay out of use because the roster in memory equals the one that was last confirmed, and so is not saved again.
	it('an owner uses endpoints again that return while a save of the roster without them is unanswered', () => {
		const simulation = createJobsSimulation({
			seed, entryCount: 3, pools: {desk: 3}, endpointCapacity,
		});
		simulation.runFor(settleMs);
		const [entry] = simulation.entries;
		simulation.submitJob(entry!, queue, createSpec(500), {durationMs: 500});
		simulation.runFor(3000);
		const cut = {nodes: new Set(simulation.endpoints.keys()), direction: 'both'} as const;
		simulation.network.startCut(cut);
		simulation.unansweredWriteShare = 1;
		simulation.runFor(3000);
		simulation.network.endCut(cut);
		simulation.runFor(4000);
		simulation.unansweredWriteShare = 0;
		simulation.runFor(6000);
		const job = simulation.submitJob(entry!, queue, createSpec(500), {durationMs: 500});
		simulation.runFor(20_000);
		expect(simulation.checker.violations).toEqual([]);
		expect(simulation.store.getProgress(job)?.status).toBe('done');
	});

	// Guards against an acknowledgement that reaches the next life of its endpoint, whose ends are numbered anew.
	it('does not acknowledge unseen ends of an endpoint that has restarted and whose answers are lost', () => {
		const simulation = createJobsSimulation({
			seed, entryCount: 3, pools: {desk: 1}, endpointCapacity,
		});
		simulation.runFor(settleMs);
		const [entry] = simulation.entries;
		const [endpoint] = simulation.endpoints.values();
		for (let count = 0; count < 4; count++) {
			simulation.submitJob(entry!, queue, createSpec(300), {durationMs: 300});
		}

		simulation.runFor(2000);
		const cut = {nodes: new Set([endpoint!.registration.id]), direction: 'outbound'} as const;
		simulation.network.startCut(cut);
		simulation.restartEndpoint(endpoint!, 200);
		simulation.runFor(300);
		const job = simulation.submitJob(entry!, queue, createSpec(300), {durationMs: 300});
		simulation.runFor(8000);
		simulation.network.endCut(cut);
		simulation.runFor(10_000);
		expect(simulation.checker.violations).toEqual([]);
		expect(simulation.store.getProgress(job)?.status).toBe('done');
	});
});
