import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {expect, it} from 'vitest';
import {type StepSpec, type StoredJob} from '../model/index.js';
import {createStoredTestJob, createTestJob, createTestOwner} from '../testing.test-support.js';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** A quarter of the heap of an entry of the deploy file, in bytes. */
const maxHeapBytes = 40_000_000;

const cases: ReadonlyArray<{readonly name: string; readonly jobCount: number; readonly steps: ReadonlyArray<Partial<StepSpec>>; readonly repeatCount?: number}> = [
	{name: 'few jobs of many tasks', jobCount: 14, steps: [{count: 20_000}]},
	{name: 'many jobs of some tasks', jobCount: 300, steps: [{count: 1000}]},
	{name: 'jobs of many steps', jobCount: 14, steps: Array.from({length: 2000}, () => ({count: 10}))},
	{
		name: 'recurring jobs whose occurrences are all due', jobCount: 14, steps: [{}], repeatCount: 1_000_000,
	},
];

function measureHeap(): number {
	collectGarbage();
	return process.memoryUsage().heapUsed;
}

function createJobs(jobCount: number, steps: ReadonlyArray<Partial<StepSpec>>, repeatCount: number): StoredJob[] {
	return Array.from({length: jobCount}, (_, number) => {
		const {job, ...stored} = createStoredTestJob(createTestJob(`job${number}`, steps));
		return {...stored, job: {...job, spec: {...job.spec, repeatCount}}};
	});
}

// Guards against an owner that ends for lack of memory because of tasks that wait, as then does each next owner of the pool.
it.each(cases)('an owner that loads $name keeps less than a quarter of its heap for them', ({jobCount, steps, repeatCount = 0}) => {
	const jobs = createJobs(jobCount, steps, repeatCount);
	const before = measureHeap();
	const owner = createTestOwner({roster: {endpointIds: []}, endpoints: [], jobs});
	expect(owner.state.ledger.pools.get('desk')?.activeJobs.size).toBe(jobCount);
	expect(measureHeap() - before).toBeLessThan(maxHeapBytes);
});
