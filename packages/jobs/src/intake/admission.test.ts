import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {applyJobEvent} from '../apply-job-event.js';
import {createJobsState, type JobsState} from '../jobs-state.js';
import {
	type AdmissionRecord, type CallerAnswer, type Configuration, type JobEffect, type JobEvent,
} from '../model/index.js';
import {createTestJob} from '../testing.test-support.js';

const random = createRandomSource(1);
const {spec} = createTestJob('job', [{}]).record;
const configuration: Configuration = {
	version: 1,
	queues: [{
		name: 'prints', host: 'a', prefix: '/', pool: 'desk', priority: 1, attempts: 1, stretch: 1.6, latencyTargetMs: 600, advice: undefined, isPublic: true,
	}],
	pools: [{name: 'desk', isSpare: false}],
	accounts: [],
	limits: {
		headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
};
const wait = [60_000, 60_000, 60_000];
const createFullReport = (publishedAt: number): AdmissionRecord => ({
	publishedAt, configurationVersion: 1, queues: {}, fullMs: 4000,
});
const createReport = (publishedAt: number): AdmissionRecord => ({
	publishedAt, configurationVersion: 1, queues: {prints: {meanWork: 1_000_000, durations: undefined, waits: Object.fromEntries([['', {timely: wait, total: wait}]])}},
});

/** How the store treats writes of jobs: it answers, or carries them out after the case has ended. */
type WriteMode = 'answered' | 'late';

/** What happens in a case, at one time after the other. */
type Action =
	| {readonly kind: 'publish'; readonly ageMs?: number; readonly isSeen?: boolean; readonly isFull?: boolean}
	| {readonly kind: 'submit'; readonly entry: 0 | 1; readonly writes?: WriteMode};

/** Plays a case with two entries and one store. @returns The kinds of the answers, and whether the job is stored once all late writes have been tried. */
function play(actions: readonly Action[], hasAccounts: boolean): {readonly answers: Array<CallerAnswer['kind']>; readonly isStored: boolean} {
	const states = [0, 1].map(index => createJobsState({node: `entry-${index}`, incarnation: 'first', orderLeaseMs: 3000}));
	const answers: Array<CallerAnswer['kind']> = [];
	const lateWrites: Array<() => void> = [];
	const record: {revision: number; value: AdmissionRecord | undefined} = {revision: 0, value: undefined};
	let writes: WriteMode = 'answered';
	let isStored = false;
	let now = 0;

	const storeJob = (revision: number | undefined) => {
		if (isStored) {
			return 'conflict';
		}

		isStored = revision === undefined || revision === record.revision;
		return isStored ? 'applied' : 'superseded';
	};

	const changeRecord = (value: AdmissionRecord) => {
		record.revision += 1;
		record.value = value;
		return {pool: 'desk', revision: record.revision, record: value};
	};

	const handlers: {readonly [Kind in JobEffect['kind']]?: (effect: Extract<JobEffect, {kind: Kind}>) => JobEvent | undefined} = {
		'answer-caller'({answer}) {
			answers.push(answer.kind);
			return undefined;
		},
		'store-job'({requestId, admissionRevision}) {
			if (writes === 'late') {
				lateWrites.push(() => {
					storeJob(admissionRevision);
				});
				return {kind: 'job-stored', requestId, result: 'unknown'};
			}

			return {kind: 'job-stored', requestId, result: storeJob(admissionRevision)};
		},
		'read-admission': ({requestId}) => ({kind: 'admission-read', requestId, found: {admission: {pool: 'desk', revision: record.revision, record: record.value}, isJobStored: isStored, location: undefined}}),
		'write-admission'({requestId, pool, revision, record: value}) {
			const admission = revision === record.revision ? changeRecord(value) : undefined;
			return {
				kind: 'admission-written', pool, requestId, result: admission === undefined ? 'conflict' : 'applied', admission,
			};
		},
	};

	const apply = (state: JobsState, event: JobEvent): void => {
		for (const effect of applyJobEvent(state, event, {now, wallTime: now, random})) {
			const next = (handlers[effect.kind] as ((value: JobEffect) => JobEvent | undefined) | undefined)?.(effect);
			if (next !== undefined) {
				apply(state, next);
			}
		}
	};

	for (const state of states) {
		apply(state, {kind: 'configuration-changed', configuration: hasAccounts ? configuration : {...configuration, accounts: undefined}});
		apply(state, {kind: 'store-reached'});
	}

	for (const [index, action] of actions.entries()) {
		now += 500;
		if (action.kind === 'publish') {
			const createRecord = action.isFull === true ? createFullReport : createReport;
			const admission = changeRecord(createRecord(now - (action.ageMs ?? 0)));
			for (const state of action.isSeen === false ? [] : states) {
				apply(state, {kind: 'admission-changed', admission});
			}

			continue;
		}

		writes = action.writes ?? 'answered';
		apply(states[action.entry]!, {
			kind: 'caller-requested', requestId: `request-${index}`, action: 'submit', queue: 'prints', jobId: 'job', spec, keyHash: undefined,
		});
	}

	for (const write of lateWrites) {
		write();
	}

	return {answers, isStored};
}

const publish: Action = {kind: 'publish'};
const submit: Action = {kind: 'submit', entry: 0};
const submitElsewhere: Action = {kind: 'submit', entry: 1};
const submitLate: Action = {kind: 'submit', entry: 0, writes: 'late'};

const cases: ReadonlyArray<{readonly name: string; readonly actions: readonly Action[]; readonly answers: ReadonlyArray<CallerAnswer['kind']>; readonly isStored: boolean}> = [
	{
		name: 'the report is missing', actions: [submit], answers: ['accepted'], isStored: true,
	},
	{
		name: 'the report is fresh', actions: [publish, submit], answers: ['refused'], isStored: false,
	},
	{
		name: 'the report is stale', actions: [{kind: 'publish', ageMs: 2500}, submit], answers: ['accepted'], isStored: true,
	},
	{
		name: 'the entry has not seen the report', actions: [{kind: 'publish', isSeen: false}, submit], answers: ['refused'], isStored: false,
	},
	{
		name: 'the job was accepted here before', actions: [submit, publish, submit], answers: ['accepted', 'accepted'], isStored: true,
	},
	{
		name: 'the job was accepted elsewhere before', actions: [submit, publish, submitElsewhere], answers: ['accepted', 'accepted'], isStored: true,
	},
	{
		name: 'an attempt here was not answered', actions: [submitLate, publish, submit], answers: ['undecided', 'accepted'], isStored: true,
	},
	{
		name: 'an attempt elsewhere before the overload comes into effect late', actions: [submitLate, publish, submitElsewhere], answers: ['undecided', 'refused'], isStored: false,
	},
	{
		name: 'an attempt by a stale report comes into effect late', actions: [{kind: 'publish', ageMs: 2500}, submitLate, publish, submitElsewhere], answers: ['undecided', 'refused'], isStored: false,
	},
	{
		name: 'an attempt by a stale report comes into effect late, and no report follows', actions: [{kind: 'publish', ageMs: 2500}, submitLate, submitElsewhere], answers: ['undecided', 'accepted'], isStored: true,
	},
	{
		name: 'a refused caller comes back during the overload', actions: [publish, submit, publish, submitElsewhere], answers: ['refused', 'refused'], isStored: false,
	},
];

const publishFull: Action = {kind: 'publish', isFull: true};

const fullCases: typeof cases = [
	{
		name: 'the owner has no memory for more jobs', actions: [publishFull, submit], answers: ['refused'], isStored: false,
	},
	{
		name: 'the owner had no memory for more jobs and was lost', actions: [{kind: 'publish', isFull: true, ageMs: 2500}, submit], answers: ['accepted'], isStored: true,
	},
	{
		name: 'the entry has not seen that the owner has no memory', actions: [{kind: 'publish', isFull: true, isSeen: false}, submit], answers: ['refused'], isStored: false,
	},
	{
		name: 'the job was accepted before the owner was full', actions: [submit, publishFull, submitElsewhere], answers: ['accepted', 'accepted'], isStored: true,
	},
	{
		name: 'an attempt from before the owner was full comes into effect late', actions: [submitLate, publishFull, submitElsewhere], answers: ['undecided', 'refused'], isStored: false,
	},
];

describe('admission of a submission', () => {
	// Guards against telling a caller that its job never runs although a write of an earlier attempt stores it seconds later.
	it.each(cases)('$name: $answers', ({actions, answers, isStored}) => {
		expect(play(actions, true)).toEqual({answers, isStored});
	});

	// Guards against owners that end for lack of memory because of jobs that are accepted although others wait already.
	it.each([true, false].flatMap(hasAccounts => fullCases.map(each => ({...each, hasAccounts}))))('with accounts $hasAccounts, $name: $answers', ({hasAccounts, actions, answers, isStored}) => {
		expect(play(actions, hasAccounts)).toEqual({answers, isStored});
	});
});
