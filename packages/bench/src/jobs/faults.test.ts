import {describe, expect, it} from 'vitest';
import {type JobSpec, type StepSpec} from '@pistachiogauge/jobs';
import {createJobsWorld, type JobsWorld} from './jobs-world.js';

const step: StepSpec = {
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
		payload: 'text', steps: steps.map(each => ({...step, ...each})), repeatCount: 0, startAtMs: 0, intervalMs: 0,
	};
}

/** Time for entries to register and to claim the pools. */
const settleMs = 1500;

type Case = {
	readonly name: string;
	readonly run: (world: JobsWorld) => string[];
	/** Time in ms in which the jobs are to be done after the fault. */
	readonly withinMs: number;
};

const queue = 'jobs-desk';

function submitMany(world: JobsWorld, count: number): string[] {
	return Array.from({length: count}, (_unused, index) => world.submitJob(world.entries[index % world.entries.length]!, queue, createSpec({}, {after: [0], count: 2})));
}

function getOwner(world: JobsWorld) {
	const claim = world.records.claims.get('pool/desk');
	return world.entries.find(entry => entry.node === claim?.node)!;
}

// Each case is a failure that once lost a job or ran it twice, or that the design names.
const cases: readonly Case[] = [
	{name: 'a calm day', withinMs: 6000, run: world => submitMany(world, 10)},
	{
		name: 'the owner is killed', withinMs: 12_000, run(world) {
			const jobs = submitMany(world, 10);
			world.runFor(900);
			world.killEntry(getOwner(world), 30_000);
			return jobs;
		},
	},
	{
		name: 'all entries are killed', withinMs: 14_000, run(world) {
			const jobs = submitMany(world, 10);
			world.runFor(900);
			for (const entry of world.entries) {
				world.killEntry(entry, 1300);
			}

			return jobs;
		},
	},
	{
		name: 'the owner is paused and wakes', withinMs: 14_000, run(world) {
			const jobs = submitMany(world, 10);
			world.runFor(900);
			getOwner(world).frozenUntil = world.queue.now + 4000;
			return jobs;
		},
	},
	{
		name: 'an endpoint of the former owner is gone when the next one surveys the pool', withinMs: 16_000, run(world) {
			const jobs = submitMany(world, 10);
			world.runFor(900);
			world.killEntry(getOwner(world), 30_000);
			world.crashEndpoint([...world.endpoints.values()][0]!, 3000);
			return jobs;
		},
	},
	{
		name: 'the store is down while tasks end', withinMs: 12_000, run(world) {
			const jobs = submitMany(world, 6);
			world.runFor(300);
			world.isStoreUp = false;
			world.queue.add(4500, () => {
				world.isStoreUp = true;
				world.loseHistory();
			});
			return jobs;
		},
	},
	{
		name: 'orders are carried out seconds late', withinMs: 25_000, run(world) {
			world.lateShare = 0.1;
			const jobs = submitMany(world, 10);
			world.queue.add(5000, () => {
				world.lateShare = 0;
			});
			return jobs;
		},
	},
	{
		name: 'an endpoint is cut off and works on', withinMs: 18_000, run(world) {
			const jobs = submitMany(world, 10);
			world.runFor(500);
			const cut = [...world.endpoints.values()][0]!;
			cut.isReachable = false;
			world.queue.add(9000, () => {
				cut.isReachable = true;
			});
			return jobs;
		},
	},
	{
		// Guards against a lease that each unanswered renewal puts off.
		name: 'an endpoint is cut off for good', withinMs: 14_000, run(world) {
			const jobs = submitMany(world, 10);
			world.runFor(500);
			[...world.endpoints.values()][0]!.isReachable = false;
			return jobs;
		},
	},
];

describe('jobs under failure', () => {
	it.each(cases)('$name', ({run, withinMs}) => {
		const world = createJobsWorld({
			seed: 7, entryCount: 4, pools: {desk: 4}, room: {cpuMillis: 8000, memoryMb: 32_000, gpus: 0},
		});
		world.runFor(settleMs);
		const jobs = run(world);
		world.runFor(withinMs);
		expect(world.promises.breaches).toEqual([]);
		const accepted = jobs.filter(id => world.answers.get(`submit-${id}`)?.kind === 'accepted');
		expect(accepted.length).toBeGreaterThan(0);
		expect(accepted.filter(id => world.records.getProgress(id)?.status !== 'done')).toEqual([]);
	});

	// Guards against a cancellation that is lost, as a list after lost history holds it before its job.
	it('forgets no cancellation when the store forgets its history', () => {
		const world = createJobsWorld({
			seed: 3, entryCount: 3, pools: {desk: 1}, room: {cpuMillis: 1000, memoryMb: 1000, gpus: 0},
		});
		world.runFor(settleMs);
		// Fills the only endpoint, so that the next job waits.
		world.submitJob(world.entries[0]!, queue, createSpec({count: 1}), {durationMs: 6000});
		world.runFor(200);
		const owner = getOwner(world);
		const other = world.entries.find(entry => entry !== owner)!;
		owner.isStoreReachable = false;
		const waiting = world.submitJob(other, queue, createSpec({count: 1}));
		world.runFor(100);
		world.cancelJob(other, queue, waiting);
		world.runFor(100);
		owner.isStoreReachable = true;
		world.loseHistory();
		world.runFor(12_000);
		expect(world.promises.breaches).toEqual([]);
		expect(world.records.getProgress(waiting)?.status).toBe('cancelled');
	});

	// Guards against long-running tasks that never start again, as some endpoint is always new or silent while a wave goes on.
	it('surveys a pool although endpoints come and go all the time', () => {
		const world = createJobsWorld({
			seed: 5, entryCount: 3, pools: {desk: 4}, room: {cpuMillis: 4000, memoryMb: 4000, gpus: 0},
		});
		world.runFor(settleMs);
		const serving = world.submitJob(world.entries[0]!, queue, createSpec({count: 2, isLongRunning: true, endpointLimit: 1}), {durationMs: Number.POSITIVE_INFINITY});
		world.runFor(800);
		const victim = [...world.endpoints.values()].find(endpoint => endpoint.runs.size > 0)!;
		world.killEntry(getOwner(world), 30_000);
		world.crashEndpoint(victim, 2000);
		for (let at = 500; at < 14_000; at += 900) {
			world.queue.add(at, () => {
				const idle = [...world.endpoints.values()].find(endpoint => endpoint.isUp && endpoint.runs.size === 0);
				if (idle !== undefined) {
					world.crashEndpoint(idle, 1500);
				}
			});
		}

		world.runFor(14_000);
		const running = new Set([...world.endpoints.values()].filter(endpoint => endpoint.isUp).flatMap(endpoint => [...endpoint.runs.keys()]).filter(id => id.startsWith(serving)));
		expect(world.promises.breaches).toEqual([]);
		expect(running.size).toBe(2);
	});
});
