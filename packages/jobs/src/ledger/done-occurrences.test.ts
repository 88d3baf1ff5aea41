import {describe, expect, it} from 'vitest';
import {type JobEvent, type ProgressRecord, type StepSpec} from '../model/index.js';
import {
	createStepSpec, createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer, type TestOwner,
} from '../testing.test-support.js';

type PollAnswer = Extract<JobEvent, {readonly kind: 'poll-answered'}>;
type Report = Pick<PollAnswer, 'running' | 'ended'>;

type JobTraits = {
	readonly repeatCount: number;
	readonly steps?: ReadonlyArray<Partial<StepSpec>>;
	/** What a previous owner has saved. */
	readonly progress?: Partial<ProgressRecord>;
};

const intervalMs = 100;

/** An owner of a recurring job whose first occurrence is due at 0 ms. */
function createOwner({repeatCount, steps = [{}], progress = {}}: JobTraits): TestOwner {
	const stored = createStoredTestJob(createTestJob('job', [], {
		spec: {
			payload: '', steps: steps.map(step => createStepSpec(step)), repeatCount, startAtMs: 0, intervalMs,
		},
	}));
	return createTestOwner({roster: {endpointIds: ['e1']}, endpoints: ['e1'], jobs: [{...stored, progress: {...stored.progress, ...progress}}]});
}

/** Lets time pass, in which the endpoint ends each run by its next answer. */
function run(owner: TestOwner, untilMs: number, first?: Report): {readonly starts: string[]; readonly stops: string[]; readonly saved: ProgressRecord[]} {
	const starts: string[] = [];
	const stops: string[] = [];
	const saved: ProgressRecord[] = [];
	let running: Array<PollAnswer['ended'][number]> = [];
	let ended: Array<PollAnswer['ended'][number]> = [];
	let number = first?.ended.length ?? 0;
	for (let now = 25; now <= untilMs; now += 25) {
		const report = now <= 100 ? first : undefined;
		ended = running;
		running = [];
		const effects = [
			...owner.apply({...createTestPollAnswer('e1', 1000 + now), ...(report ?? {running: [], ended})}, now),
			...owner.apply({kind: 'tick'}, now),
		];
		for (const effect of effects) {
			if (effect.kind === 'start-task') {
				starts.push(effect.taskId);
				number += 1;
				running.push({
					number, taskId: effect.taskId, run: effect.run, outcome: 'done', checkpoint: '',
				});
			}

			if (effect.kind === 'stop-task') {
				stops.push(effect.taskId);
			}

			if (effect.kind === 'save-progress') {
				saved.push(...effect.records.map(({progress}) => progress));
			}
		}
	}

	return {starts, stops, saved};
}

const longJob = {repeatCount: 1000, steps: [{}, {after: [0]}]};

describe('a recurring job', () => {
	// Guards against owners that run out of memory, and progress records that become too large to be saved, because of occurrences that are done.
	it('keeps and saves no occurrences that are done', () => {
		const owner = createOwner(longJob);
		const {starts, saved} = run(owner, 20_000);
		expect(starts.length).toBeGreaterThan(300);
		expect(new Set(starts).size).toBe(starts.length);
		expect(owner.state.ledger.pools.get('desk')!.jobs.get('job')!.steps.size).toBeLessThanOrEqual(8);
		expect(JSON.stringify(saved.at(-1)).length).toBeLessThan(300);
	});

	it('ends once all its occurrences are done', () => {
		const {starts, saved} = run(createOwner({...longJob, repeatCount: 20}), 5000);
		expect(starts).toHaveLength(40);
		expect(saved.at(-1)?.status).toBe('done');
	});

	it('goes on with the next owner where the last one has saved it', () => {
		const before = run(createOwner({...longJob, repeatCount: 40}), 2000);
		const {starts, saved} = run(createOwner({...longJob, repeatCount: 40, progress: before.saved.at(-1)!}), 5000);
		expect(before.saved.at(-1)!.doneOccurrences).toBeGreaterThan(10);
		expect(Math.min(...starts.map(id => Number(id.split('.')[1])))).toBeGreaterThanOrEqual(before.saved.at(-1)!.doneOccurrences!);
		expect(saved.at(-1)?.status).toBe('done');
	});

	// Guards against tasks that are started again because an endpoint still lists them.
	const lateReports: ReadonlyArray<{readonly name: string; readonly report: Report; readonly stops: readonly string[]}> = [
		{
			name: 'the end of a task', stops: [],
			report: {
				running: [], ended: [{
					number: 1, taskId: 'job.3.0.0', run: 4, outcome: 'done', checkpoint: '',
				}],
			},
		},
		{
			name: 'a failure of a task', stops: [],
			report: {
				running: [], ended: [{
					number: 1, taskId: 'job.3.0.0', run: 4, outcome: 'failed', checkpoint: '',
				}],
			},
		},
		{
			name: 'a run of a task', stops: ['job.3.0.0'],
			report: {
				running: [{
					taskId: 'job.3.0.0', run: 4, checkpoint: '', percent: 50, load: 0,
				}], ended: [],
			},
		},
	];

	it.each(lateReports)('starts no occurrence again that is not kept, as $name is reported late', ({report, stops: expected}) => {
		const {starts, stops} = run(createOwner({repeatCount: 20, progress: {status: 'running', steps: {}, doneOccurrences: 10}}), 4000, report);
		expect(Math.min(...starts.map(id => Number(id.split('.')[1])))).toBe(10);
		expect([...new Set(stops)]).toEqual(expected);
	});

	it.each([
		{name: 'all', doneOccurrences: 5}, {name: 'more than there are', doneOccurrences: 900},
	])('ends although a record says that $name are done', ({doneOccurrences}) => {
		const {saved} = run(createOwner({repeatCount: 5, progress: {status: 'running', steps: {}, doneOccurrences}}), 2000);
		expect(saved.at(-1)?.status).toBe('done');
	});
});
