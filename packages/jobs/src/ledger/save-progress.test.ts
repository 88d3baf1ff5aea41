import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {type JobEffectOf, type JobEventOf, type Roster} from '../model/index.js';
import {createTestJob} from '../testing.test-support.js';
import {markUnsaved} from './apply-end.js';
import {createPoolLedger} from './ledger-state.js';
import {handleSaveResult, saveProgress} from './save-progress.js';

const random = createRandomSource(1);

type Step =
	/** Jobs change that have not ended. */
	| {readonly kind: 'change'; readonly jobs: readonly number[]}
	/** Jobs end. */
	| {readonly kind: 'end'; readonly jobs: readonly number[]}
	| {readonly kind: 'answer'; readonly save: number; readonly result: JobEventOf<'progress-saved'>['result']}
	/** The wanted roster changes. */
	| {readonly kind: 'list'; readonly endpointIds: readonly string[]}
	| {readonly kind: 'wait'; readonly ms: number};

/** Lists the saves of a pool with 60 jobs as text: the numbers of the jobs, and `roster` if it is part of the save. */
function listSaves(steps: readonly Step[]): string[] {
	const pool = createPoolLedger({pool: 'desk', token: 7, now: 0});
	const jobs = Array.from({length: 60}, (_, index) => createTestJob(`${index}`, [{count: 2}]));
	for (const job of jobs) {
		pool.jobs.set(job.record.id, job);
		pool.activeJobs.add(job);
	}

	const saves: string[] = [];
	let now = 0;
	let roster: Roster = {endpointIds: ['e1']};
	const save = () => {
		for (const output of saveProgress(pool, roster, {now, wallTime: now, random})) {
			if (output.kind === 'sink' && output.effect.kind === 'save-progress') {
				const {records, roster: saved}: JobEffectOf<'save-progress'> = output.effect;
				saves.push([...records.map(({jobId}) => jobId), ...(saved === undefined ? [] : ['roster'])].join(' '));
			}
		}
	};

	const changeJobs = (indexes: readonly number[], status: 'done' | 'running') => {
		for (const index of indexes) {
			jobs[index]!.status = status;
			markUnsaved(pool, jobs[index]!, now);
		}
	};

	const stepHandlers: {readonly [Kind in Step['kind']]: (step: Extract<Step, {kind: Kind}>) => void} = {
		change({jobs: indexes}) {
			changeJobs(indexes, 'running');
		},
		end({jobs: indexes}) {
			changeJobs(indexes, 'done');
		},
		answer({save: index, result}) {
			handleSaveResult(pool, {
				kind: 'progress-saved', pool: 'desk', token: 7, saveId: [...pool.pendingSaves.keys()][index]!, result, revision: 9, presentRevisions: undefined, isClaimLost: false,
			}, {now, wallTime: now, random});
		},
		list({endpointIds}) {
			roster = {endpointIds};
		},
		wait({ms}) {
			now += ms;
		},
	};
	for (const step of steps) {
		stepHandlers[step.kind](step as never);
		save();
	}

	return saves;
}

const range = (from: number, to: number) => Array.from({length: to - from + 1}, (_, index) => from + index);

// Load pattern: in a burst the tasks of hundreds of jobs end each second. With one save at a time, their endpoints list the ends again and again, and what was freed there is seen late.
const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]; readonly expected: readonly string[]}> = [
	{
		name: 'changes are collected for a while', steps: [{kind: 'wait', ms: 100}, {kind: 'answer', save: 0, result: 'applied'}, {kind: 'change', jobs: [1]}, {kind: 'wait', ms: 10}, {kind: 'change', jobs: [2]}, {kind: 'wait', ms: 20}], expected: ['roster', '1 2'],
	},
	{
		name: 'more changes than a save can hold go into several at once', steps: [{kind: 'wait', ms: 100}, {kind: 'answer', save: 0, result: 'applied'}, {kind: 'change', jobs: range(1, 20)}], expected: ['roster', range(1, 9).join(' '), range(10, 18).join(' ')],
	},
	{
		name: 'a job that changes during its save is saved again only after it', steps: [{kind: 'wait', ms: 100}, {kind: 'change', jobs: range(1, 9)}, {kind: 'change', jobs: [1]}, {kind: 'wait', ms: 100}, {kind: 'answer', save: 1, result: 'applied'}, {kind: 'wait', ms: 30}], expected: ['roster', range(1, 9).join(' '), '1'],
	},
	{
		name: 'no more than four saves are in progress', steps: [{kind: 'wait', ms: 100}, {kind: 'change', jobs: range(1, 50)}], expected: ['roster', range(1, 9).join(' '), range(10, 18).join(' '), range(19, 27).join(' ')],
	},
	{
		name: 'a refused save is tried again after a pause', steps: [{kind: 'wait', ms: 100}, {kind: 'change', jobs: range(1, 9)}, {kind: 'answer', save: 1, result: 'refused'}, {kind: 'wait', ms: 100}, {kind: 'wait', ms: 60}], expected: ['roster', range(1, 9).join(' '), range(1, 9).join(' ')],
	},
	{
		// Guards against endpoints that stay out of use because a save without them was not answered and the wanted roster is the known one again.
		name: 'a roster whose save was not answered is saved again, even if it is the one known before', steps: [
			{kind: 'wait', ms: 100}, {kind: 'answer', save: 0, result: 'applied'}, {kind: 'list', endpointIds: []}, {kind: 'list', endpointIds: ['e1']}, {kind: 'answer', save: 0, result: 'unknown'}, {kind: 'wait', ms: 200},
		], expected: ['roster', 'roster', 'roster'],
	},
	{
		// Guards against endpoints that stay out of use because the record of a job in the same save had another revision.
		name: 'a roster whose save conflicted is saved again, even if it is the one known before', steps: [
			{kind: 'wait', ms: 100}, {kind: 'answer', save: 0, result: 'applied'}, {kind: 'list', endpointIds: []}, {kind: 'list', endpointIds: ['e1']}, {kind: 'answer', save: 0, result: 'conflict'}, {kind: 'wait', ms: 200},
		], expected: ['roster', 'roster', 'roster'],
	},
];

describe('saveProgress', () => {
	it.each(cases)('$name', ({steps, expected}) => {
		expect(listSaves(steps)).toEqual(expected);
	});
});
