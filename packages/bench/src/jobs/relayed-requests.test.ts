import {expect, it} from 'vitest';
import {type JobSpec} from '@pistachiogauge/jobs';
import {createJobsSimulation, type JobsSimulation} from './jobs-simulation.js';

const entryCount = 4;
const settleMs = 2000;
const faultMs = 9000;
const intervalMs = 100;

const spec: JobSpec = {
	payload: '',
	steps: [{
		count: 1,
		room: {cpuMillis: 500, memoryMb: 500, gpus: 0},
		estimateMs: 100,
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

type Case = {
	readonly name: string;
	readonly disturb: (simulation: JobsSimulation) => void;
	/** Number of jobs that are not accepted. */
	readonly expectedLosses: number;
};

// Guards against submissions that are not accepted during an outage although some entry reaches the store.
const cases: readonly Case[] = [
	{
		name: 'half of the entries have lost the store', expectedLosses: 0, disturb({entries}) {
			entries[0]!.isStoreReachable = false;
			entries[1]!.isStoreReachable = false;
		},
	},
	{
		name: 'an entry reaches neither the store nor its peers', expectedLosses: faultMs / intervalMs, disturb({network, entries}) {
			network.startCut({nodes: new Set([entries[0]!.node]), direction: 'both'});
		},
	},
];

it.each(cases)('if $name, $expectedLosses jobs are not accepted', ({disturb, expectedLosses}) => {
	const simulation = createJobsSimulation({
		seed: 3, entryCount, pools: {desk: 4}, endpointCapacity: {cpuMillis: 16_000, memoryMb: 64_000, gpus: 0},
	});
	simulation.runFor(settleMs);
	disturb(simulation);
	const jobIds: string[] = [];
	for (let elapsedMs = 0; elapsedMs < faultMs; elapsedMs += intervalMs) {
		jobIds.push(simulation.submitJob(simulation.entries[0]!, 'jobs-desk', spec, {durationMs: 100}));
		simulation.runFor(intervalMs);
	}

	simulation.runFor(3000);
	const answers = jobIds.map(jobId => simulation.answers.get(`submit-${jobId}`)?.kind);
	expect(answers).not.toContain(undefined);
	expect(answers.filter(kind => kind !== 'accepted')).toHaveLength(expectedLosses);
	expect(simulation.checker.violations).toEqual([]);
});
