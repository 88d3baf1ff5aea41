import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {applyJobEvent} from '../apply-job-event.js';
import {labelAccount} from '../accounts/index.js';
import {createJobsState} from '../jobs-state.js';
import {
	type CallerAction, type CallerAnswer, type ClientAccount, type JobEffect, type JobEvent, type JobLocation, type JobRecord,
} from '../model/index.js';
import {createTestJob} from '../testing.test-support.js';

const {spec} = createTestJob('job', [{}]).record;
const keys = {museum: '1'.repeat(64), library: '2'.repeat(64), second: '3'.repeat(64)} as const;
type Key = keyof typeof keys;

/** Whether the queue is public, and the keys of the accounts by name; undefined for a configuration without accounts. */
type Setup = {readonly isPublic: boolean; readonly accounts: Readonly<Record<string, readonly Key[]>> | undefined};
type StoreResult = 'applied' | 'conflict' | 'unknown' | 'refused' | 'pending';
type Step =
	| {readonly set: Setup}
	| {readonly confirm: number}
	| {readonly store: 'reached' | 'lost'}
	/** A request at a time in ms, and the store's result if it is asked; `pending` gives none. */
	| readonly [action: CallerAction, key: Key | undefined, at: number, result?: StoreResult, job?: string];

function createAccounts(accounts: Readonly<Record<string, readonly Key[]>>): ClientAccount[] {
	return Object.entries(accounts).map(([name, names]) => ({
		name, keyHashes: names.map(key => keys[key]), priority: 0, weight: 1, cap: {cpuMillis: 0, memoryMb: 0, gpus: 0},
	}));
}

/** Runs the steps at one entry, where revocation is strict, with a store that keeps the accounts of jobs. */
function runSteps(steps: readonly Step[]) {
	const state = createJobsState({
		node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000, strictRevokeMs: 5000,
	});
	const random = createRandomSource(1);
	const jobs = new Map<string, JobRecord>();
	const locations = new Map<string, JobLocation>();
	const answers: Array<CallerAnswer['kind']> = [];
	const effects: JobEffect[] = [];
	let version = 0;
	const apply = (event: JobEvent, now: number, result: StoreResult = 'applied'): void => {
		for (const effect of applyJobEvent(state, event, {now, wallTime: now, random})) {
			effects.push(effect);
			if (effect.kind === 'answer-caller') {
				answers.push(effect.answer.kind);
			}

			if (effect.kind === 'store-job' && result !== 'pending') {
				const stored = jobs.has(effect.job.id) && result === 'applied' ? 'conflict' : result;
				if (stored === 'applied') {
					jobs.set(effect.job.id, effect.job);
					locations.set(effect.job.id, effect.location);
				}

				apply({
					kind: 'job-stored', requestId: effect.requestId, result: stored, location: stored === 'conflict' ? locations.get(effect.job.id) : undefined,
				}, now);
			}

			if (effect.kind === 'read-progress') {
				const job = jobs.get(effect.jobId);
				apply({
					kind: 'progress-read', requestId: effect.requestId, result: job === undefined ? 'absent' : 'found', progress: job && {
						queue: job.queue, account: job.account, status: 'queued', steps: {}, lastRun: 0,
					},
				}, now);
			}

			if (effect.kind === 'read-job-location') {
				apply({
					kind: 'job-location-read', requestId: effect.requestId, result: 'absent', location: undefined,
				}, now);
			}

			if (effect.kind === 'store-early-cancellation') {
				apply({kind: 'early-cancellation-stored', requestId: effect.requestId, result: 'applied'}, now);
			}

			if (effect.kind === 'store-cancel') {
				apply({kind: 'cancel-stored', requestId: effect.requestId, result: 'applied'}, now);
			}
		}
	};

	apply({kind: 'store-reached'}, 0);
	for (const [index, step] of steps.entries()) {
		if ('set' in step) {
			version += 1;
			apply({
				kind: 'configuration-changed', configuration: {
					version,
					queues: [{
						name: 'prints', host: 'a', prefix: '/', pool: 'desk', priority: 0, attempts: 1, stretch: 1, latencyTargetMs: 1, advice: undefined, isPublic: step.set.isPublic,
					}],
					pools: [{name: 'desk', isSpare: false}],
					accounts: step.set.accounts && createAccounts(step.set.accounts),
					limits: {
						headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
					},
				},
			}, 0);
		}

		if ('confirm' in step) {
			apply({kind: 'configuration-confirmed', version, requestedAt: {now: step.confirm, wallTime: step.confirm}}, step.confirm);
		}

		if ('store' in step) {
			apply({kind: `store-${step.store}`}, 0);
		}

		if (Symbol.iterator in step) {
			const [action, key, at, result, jobId = 'job'] = step;
			apply({
				kind: 'caller-requested', requestId: `request-${index}`, action, queue: 'prints', jobId, spec, keyHash: key && keys[key],
			}, at, result);
		}
	}

	return {
		answers, jobs, effects, state,
	};
}

const both: Setup = {isPublic: false, accounts: {museum: ['museum'], library: ['library']}};
const open: Setup = {isPublic: true, accounts: both.accounts};
const none: Setup = {isPublic: true, accounts: undefined};
const submitted: readonly Step[] = [{set: both}, {confirm: 0}, ['submit', 'museum', 1]];

/** Name, steps, answers, and account of the stored job. */
type Case = readonly [name: string, steps: readonly Step[], expected: ReadonlyArray<CallerAnswer['kind']>, account?: string];

// Guards against jobs that callers of another account read or cancel, and against accounts that lose access to jobs from before they had keys.
const accessCases: readonly Case[] = [
	['its own job', [...submitted, ['get', 'museum', 2], ['cancel', 'museum', 3]], ['accepted', 'status', 'cancelled'], 'museum'],
	['a job of another account', [...submitted, ['get', 'library', 2], ['cancel', 'library', 3], ['get', 'library', 4, 'applied', 'none']], ['accepted', 'unknown-job', 'unknown-job', 'unknown-job'], 'museum'],
	['a job with a second key of the account', [...submitted, {set: {isPublic: false, accounts: {museum: ['second']}}}, ['get', 'second', 2], ['get', 'museum', 3]], ['accepted', 'status', 'unauthorized'], 'museum'],
	['no job without a valid key', [...submitted, ['submit', undefined, 2], ['get', undefined, 2], ['count', undefined, 2], ['cancel', 'second', 2]], ['accepted', 'unauthorized', 'unauthorized', 'unauthorized', 'unauthorized'], 'museum'],
	['a job of a queue that was public', [{set: open}, {confirm: 0}, ['submit', undefined, 1], {set: both}, ['get', 'library', 2], ['cancel', 'museum', 3], ['get', undefined, 4]], ['accepted', 'status', 'cancelled', 'unauthorized']],
	['a job from before there were accounts', [{set: none}, ['submit', undefined, 1], {set: both}, ['get', 'library', 2], {confirm: 3}, ['get', 'library', 4]], ['accepted', 'refused', 'status']],
	['its job of a queue that has become public', [...submitted, {set: open}, ['get', 'museum', 2], ['get', undefined, 3], ['get', 'museum', 9000]], ['accepted', 'status', 'unknown-job', 'refused'], 'museum'],
	['a public job with a key', [{set: open}, {confirm: 0}, ['submit', 'museum', 1], ['get', undefined, 2]], ['accepted', 'status']],
	['jobs with a key that two accounts have', [{set: {isPublic: false, accounts: {museum: ['second'], library: ['second', 'library']}}}, {confirm: 0}, ['submit', 'second', 1], ['get', 'library', 2]], ['accepted', 'unknown-job'], 'museum'],
	['nothing after it lost all keys', [...submitted, {set: {isPublic: false, accounts: {museum: [], library: ['library']}}}, ['get', 'museum', 2]], ['accepted', 'unauthorized'], 'museum'],
	['no id of a job of another account', [...submitted, ['submit', 'library', 2], ['submit', 'museum', 3]], ['accepted', 'invalid', 'accepted'], 'museum'],
	['the id of its job of a queue that has become public', [...submitted, {set: open}, ['submit', 'museum', 2], ['submit', 'museum', 9000]], ['accepted', 'accepted', 'undecided'], 'museum'],
	['all jobs where there are no accounts', [{set: none}, ['submit', 'second', 1], ['get', undefined, 90_000], ['cancel', 'museum', 90_001]], ['accepted', 'status', 'cancelled']],
];

describe('a caller may use', () => {
	for (const [name, steps, expected, account] of accessCases) {
		it(name, () => {
			const {answers, jobs} = runSteps(steps);
			expect(answers).toEqual(expected);
			expect(jobs.get('job')?.account).toBe(account);
		});
	}
});

// Guards against a request with a key that is served with an old configuration, and against a submission that is called not accepted although it was or may have been.
const ageCases: readonly Case[] = [
	['a new submission', [{set: both}, {confirm: 0}, ['submit', 'museum', 3751]], ['refused']],
	['a submission within the limit', [{set: both}, {confirm: 0}, ['submit', 'museum', 3750]], ['accepted']],
	['an accepted submission', [...submitted, ['submit', 'museum', 4000], {confirm: 4001}, ['submit', 'museum', 4002]], ['accepted', 'undecided', 'accepted']],
	['an undecided submission', [{set: both}, {confirm: 0}, ['submit', 'museum', 1, 'unknown'], ['submit', 'museum', 4000]], ['undecided', 'undecided']],
	['a submission that waits for the store', [{set: both}, {confirm: 0}, ['submit', 'museum', 3000, 'pending'], ['submit', 'museum', 4000]], ['undecided']],
	['a refused submission', [{set: both}, {confirm: 0}, ['submit', 'museum', 1, 'refused'], ['submit', 'museum', 4000]], ['refused', 'refused']],
	['an accepted submission while the store is lost', [...submitted, {store: 'lost'}, ['submit', 'museum', 3000], ['submit', 'museum', 4000]], ['accepted', 'accepted', 'undecided']],
	['an accepted submission whose key was removed', [...submitted, {set: {isPublic: false, accounts: {museum: []}}}, ['submit', 'museum', 2]], ['accepted', 'unauthorized']],
	['reading, counting and cancelling', [...submitted, ['get', 'museum', 4000], ['count', 'museum', 4000], ['cancel', 'museum', 4000]], ['accepted', 'refused', 'refused', 'refused']],
	['a key that may have been added since', [{set: both}, {confirm: 0}, ['get', 'second', 4000]], ['refused']],
	['a request without a key', [{set: both}, {confirm: 0}, ['submit', undefined, 4000]], ['unauthorized']],
	['a cancellation of an unknown job of a public queue', [{set: open}, ['cancel', 'museum', 4000], ['cancel', undefined, 4001]], ['refused', 'unknown-job']],
	['a public queue', [{set: open}, ['submit', undefined, 4000], ['submit', 'museum', 4001]], ['accepted', 'accepted']],
];

describe('with a configuration that is too old', () => {
	for (const [name, steps, expected] of ageCases) {
		it(name, () => {
			expect(runSteps(steps).answers).toEqual(expected);
		});
	}
});

// Guards against metrics and logs that name a key, or grow with the number of accounts and of rejected requests.
it('metrics and logs name a bounded number of accounts and no key', () => {
	const {effects, state} = runSteps([...submitted, ...Array.from({length: 300}, (): Step => ['get', 'second', 2])]);
	const text = JSON.stringify(effects.filter(({kind}) => kind === 'log' || kind === 'count' || kind === 'answer-caller'));
	expect(text).toContain(String.raw`account_requests_total{account=\"museum\",answer=\"accepted\"}`);
	expect(Object.values(keys).filter(key => text.includes(key))).toEqual([]);
	expect(effects.filter(effect => effect.kind === 'log' && effect.message === 'request rejected because of its key').length).toBe(100);
	const labels = new Set(Array.from({length: 80}, (_, index) => labelAccount(state, `a{"}\n${index}`)));
	expect([labels.size, labels.has('other'), labels.has('a____0')]).toEqual([50, true, true]);
});
