import {describe, expect, it} from 'vitest';
import {type JobEffect, type StepSpec} from '../model/index.js';
import {createStoredTestJob, createTestJob, createTestOwner} from '../testing.test-support.js';

type Load = {readonly jobCount: number; readonly steps: ReadonlyArray<Partial<StepSpec>>; readonly payload?: string};

/** Lets an owner take on jobs, and ends all but some of them. @returns The time after which callers should come back, by each published report. */
function listFullMs({jobCount, steps, payload = ''}: Load, keptCount: number): number[] {
	const owner = createTestOwner({roster: {endpointIds: []}, endpoints: [], jobs: []});
	const effects: JobEffect[] = [];
	let revision = 0;
	const tickUntil = (from: number, until: number) => {
		for (let now = from; now <= until; now += 25) {
			for (const effect of owner.apply({kind: 'tick'}, now)) {
				effects.push(effect);
				if (effect.kind === 'write-admission') {
					revision += 1;
					owner.apply({
						kind: 'admission-written', pool: 'desk', requestId: undefined, result: 'applied', admission: {pool: 'desk', revision, record: effect.record},
					}, now);
				}
			}
		}
	};

	for (let number = 0; number < jobCount; number++) {
		const {job, ...stored} = createStoredTestJob(createTestJob(`job${number}`, steps));
		owner.apply({kind: 'job-recorded', stored: {...stored, job: {...job, spec: {...job.spec, payload}}}}, 0);
	}

	tickUntil(25, 3000);
	for (let number = keptCount; number < jobCount; number++) {
		owner.apply({kind: 'job-cancelled', pool: 'desk', jobId: `job${number}`}, 3000);
	}

	tickUntil(3025, 6000);
	return effects.flatMap(effect => effect.kind === 'write-admission' ? [effect.record.fullMs ?? 0] : []);
}

// Guards against owners that end for lack of memory as nothing bounds the sum of what they accept, and against refusals of what could be served.
const cases: ReadonlyArray<{readonly name: string; readonly load: Load; readonly isFull: boolean}> = [
	{name: 'many jobs of many steps', load: {jobCount: 40, steps: Array.from({length: 2000}, () => ({count: 10}))}, isFull: true},
	{name: 'a great many small jobs with long specifications', load: {jobCount: 8000, steps: [{}], payload: 'x'.repeat(4000)}, isFull: true},
	{name: 'some large jobs', load: {jobCount: 14, steps: [{count: 20_000}]}, isFull: false},
	{name: 'many jobs of many tasks', load: {jobCount: 300, steps: [{count: 1000}]}, isFull: false},
	{name: 'a usual backlog', load: {jobCount: 3000, steps: [{}, {after: [0]}, {after: [1]}], payload: 'x'.repeat(200)}, isFull: false},
];

describe('an owner', () => {
	it.each(cases)('reports that it has no memory for more jobs beside $name: $isFull', ({load, isFull}) => {
		const reports = listFullMs(load, Math.floor(load.jobCount / 10));
		expect(reports.some(fullMs => fullMs > 0)).toBe(isFull);
		if (isFull) {
			expect(reports[0]).toBeGreaterThanOrEqual(2000);
			expect(reports.at(-1)).toBe(0);
		}
	});
});
