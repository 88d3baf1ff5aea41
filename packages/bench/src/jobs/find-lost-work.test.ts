import {expect, it} from 'vitest';
import {createJobsSimulation, type JobsSimulation} from './jobs-simulation.js';
import {createLeakWatch, findIdleJobs, findIdleTasks} from './find-lost-work.js';
import {submitLoad, submitWideJob} from './job-loads.js';

type Case = {
	readonly name: string;
	/** What stops work without the entries' knowledge. */
	readonly hide: (simulation: JobsSimulation) => void;
	readonly expected: {readonly hasIdleJobs: boolean; readonly hasLeakedRuns: boolean};
};

const cases: readonly Case[] = [
	{name: 'nothing is hidden', hide: () => undefined, expected: {hasIdleJobs: false, hasLeakedRuns: false}},
	{
		// Guards against checks that cannot fail.
		name: 'endpoints lose their runs without a trace',
		hide({endpoints}) {
			for (const {runs} of endpoints.values()) {
				(runs as Map<string, unknown>).clear();
			}
		},
		expected: {hasIdleJobs: true, hasLeakedRuns: false},
	},
	{
		name: 'owners count runs that do not exist',
		hide({entries}) {
			for (const endpoint of entries.flatMap(({state}) => [...state.supervision.endpoints.values()])) {
				endpoint.runs.set('lost.0.0.0', {
					...[...endpoint.runs.values()][0]!, taskId: 'lost.0.0.0', phase: 'starting', confirmedClockMs: undefined,
				});
			}
		},
		expected: {hasIdleJobs: false, hasLeakedRuns: true},
	},
];

it.each(cases)('lost work is found if $name', ({hide, expected}) => {
	const simulation = createJobsSimulation({
		seed: 5, entryCount: 3, pools: {desk: 3}, endpointCapacity: {cpuMillis: 16_000, memoryMb: 64_000, gpus: 0},
	});
	simulation.runFor(1500);
	const jobIds = submitLoad(simulation, 'too-wide', 'desk').map(({jobId}) => jobId);
	simulation.runFor(3000);
	hide(simulation);
	const idleJobIds = findIdleJobs(simulation, jobIds);
	const leakWatch = createLeakWatch(simulation);
	let leakedRuns: string[] = [];
	for (let look = 0; look < 14; look++) {
		leakedRuns = leakWatch.look();
		simulation.runFor(500);
	}

	expect({hasIdleJobs: idleJobIds.length > 0, hasLeakedRuns: leakedRuns.length > 0}).toEqual(expected);
});

it.each([
	{name: 'endpoints run all that they are given', isHidden: false, expected: 0},
	{name: 'an endpoint has lost its run without a trace', isHidden: true, expected: 1},
])('a long-running task that does not run beside an endpoint with room is found if $name', ({isHidden, expected}) => {
	const simulation = createJobsSimulation({
		seed: 5, entryCount: 3, pools: {desk: 3}, endpointCapacity: {cpuMillis: 16_000, memoryMb: 64_000, gpus: 0},
	});
	simulation.runFor(1500);
	const jobIds = submitWideJob(simulation, 'desk').map(({jobId}) => jobId);
	simulation.runFor(3000);
	const busy = [...simulation.endpoints.values()].find(({runs}) => runs.size > 0);
	if (isHidden) {
		(busy!.runs as Map<string, unknown>).clear();
	}

	expect(findIdleTasks(simulation, jobIds)).toHaveLength(expected);
});
