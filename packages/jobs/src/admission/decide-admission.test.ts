import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {
	type AdmissionRecord, type JobSpec, type QueueWait, type StepSpec,
} from '../model/index.js';
import {type BacklogJob} from '../placement/index.js';
import {createStepSpec} from '../testing.test-support.js';
import {chooseRetryMs, decideAdmission, isReportStale} from './decide-admission.js';
import {estimateWaits} from './estimate-waits.js';

const durations = {
	count: 100, meanLogEstimate: Math.log(1000), meanLogDuration: Math.log(1000), variance: 1, covariance: 1,
};

function createRecord(waitMs: number, traits: {readonly timelyMs?: number; readonly isMeasured?: boolean} = {}): AdmissionRecord {
	const wait: QueueWait = {timely: [0, 0, traits.timelyMs ?? waitMs], total: [0, 0, waitMs]};
	return {publishedAt: 0, configurationVersion: 3, queues: {prints: {meanWork: 1_000_000, durations: traits.isMeasured === false ? undefined : durations, waits: {press: wait}}}};
}

function createSpec(traits: Partial<StepSpec> = {}, repeatCount = 0): JobSpec {
	return {
		payload: '', steps: [createStepSpec(traits)], repeatCount, startAtMs: 0, intervalMs: 0,
	};
}

const queue = {
	name: 'prints', priority: 1, stretch: 1.6, latencyTargetMs: 600,
};

// The objective of a task of 1 s is 1.25 x 1.6 s + 0.6 s = 2.6 s with the margin for measured durations, so it is refused from a wait of about 8.2 s on.
const cases: ReadonlyArray<{readonly name: string; readonly record?: AdmissionRecord; readonly revision?: number; readonly version?: number; readonly spec?: JobSpec; readonly account?: string | undefined; readonly expected: readonly [string, string]}> = [
	{name: 'there has never been a report', revision: 0, expected: ['accept', 'no-report']},
	{name: 'the report cannot be read', expected: ['unsure', 'unreadable-report']},
	{name: 'the pool is not overloaded', record: {publishedAt: 0, configurationVersion: 3, queues: {}}, expected: ['accept', 'no-overload']},
	{name: 'the overload is five-fold for ten seconds', record: createRecord(40_000), expected: ['refuse', 'too-late']},
	{name: 'the wait is just too long', record: createRecord(8300), expected: ['refuse', 'too-late']},
	{name: 'the job could just be worth something', record: createRecord(8100), expected: ['accept', 'in-time']},
	{name: 'nothing is measured and estimates may be wrong by 2.5', record: createRecord(20_000, {isMeasured: false}), expected: ['accept', 'in-time']},
	{name: 'most of the backlog is late and the job would come first', record: createRecord(40_000, {timelyMs: 500}), expected: ['accept', 'in-time']},
	{
		name: 'the job is small for its queue', record: createRecord(40_000), spec: createSpec({estimateMs: 200}), expected: ['accept', 'in-time'],
	},
	{
		name: 'the account has no jobs that wait', record: createRecord(40_000), account: 'other', expected: ['accept', 'short-wait'],
	},
	{
		name: 'the job has no account', record: createRecord(40_000), account: undefined, expected: ['accept', 'short-wait'],
	},
	{
		name: 'the job is long-running', record: createRecord(40_000), spec: createSpec({isLongRunning: true}), expected: ['accept', 'unlimited'],
	},
	{
		name: 'the job recurs', record: createRecord(40_000), spec: createSpec({}, 3), expected: ['accept', 'unlimited'],
	},
	{name: 'the owner has no memory', record: {...createRecord(0), fullMs: 3000}, expected: ['refuse', 'full']},
	{
		name: 'the owner has no memory and the job is long-running', record: {...createRecord(0), fullMs: 3000}, spec: createSpec({isLongRunning: true}), expected: ['refuse', 'full'],
	},
	{
		name: 'the owner has no memory and another configuration', record: {...createRecord(0), fullMs: 3000}, version: 4, expected: ['refuse', 'full'],
	},
	{name: 'the owner has memory again', record: {...createRecord(0), queues: {}, fullMs: 0}, expected: ['accept', 'no-overload']},
	{
		name: 'the owner has another configuration', record: createRecord(40_000), version: 4, expected: ['unsure', 'configuration-version'],
	},
];

describe('decideAdmission', () => {
	// Guards against refusals of jobs that could be served, and against entries that decide differently under one revision.
	it.each(cases)('$name: $expected', ({record, revision = 7, version = 3, spec = createSpec(), expected, ...rest}) => {
		const account = 'account' in rest ? rest.account : 'press';
		const {kind, reason} = decideAdmission({revision, record}, version, {spec, queue, account});
		expect([kind, reason]).toEqual(expected);
	});
});

describe('isReportStale', () => {
	// Guards against refusals by the report of an owner that is lost, and by an entry that was suspended or has no watch.
	it.each([
		{
			name: 'a report of a second ago', ageMs: 1000, wallTime: 1000, expected: false,
		},
		{
			name: 'a report that was seen long ago', ageMs: 2001, wallTime: 1000, expected: true,
		},
		{
			name: 'a report seen now that was published long ago', ageMs: 0, wallTime: 2001, expected: true,
		},
		{
			name: 'a report from the future', ageMs: 0, wallTime: -2001, expected: true,
		},
	])('$name: $expected', ({ageMs, wallTime, expected}) => {
		expect(isReportStale(createRecord(1), ageMs, wallTime)).toBe(expected);
	});
});

describe('chooseRetryMs', () => {
	// Guards against a herd of returning callers, as after the loss of half of the entries, and against times outside the bounds.
	it.each([
		{
			name: 'a short wait', waitMs: 100, value: 1, min: 1000, max: 1500,
		},
		{
			name: 'a wait of ten seconds', waitMs: 10_000, value: 1, min: 10_000, max: 15_000,
		},
		{
			name: 'a job of lower value', waitMs: 6000, value: 0.5, min: 12_000, max: 18_000,
		},
		{
			name: 'a very long wait', waitMs: 90_000, value: 0.1, min: 20_000, max: 30_000,
		},
	])('spreads callers refused for $name over $min to $max ms', ({waitMs, value, min, max}) => {
		const random = createRandomSource(5);
		const times = Array.from({length: 400}, () => chooseRetryMs({waitMs, value}, random));
		expect(Math.min(...times)).toBeGreaterThanOrEqual(min);
		expect(Math.max(...times)).toBeLessThanOrEqual(max);
		for (let part = 0; part < 10; part++) {
			const start = min + ((max - min) * part / 10);
			expect(times.filter(time => time >= start && time < start + ((max - min) / 10)).length).toBeLessThan(80);
		}
	});
});

const createBacklogJob = (traits: Partial<BacklogJob> = {}): BacklogJob => ({
	work: 1_000_000, density: 1e-6, account: 'press', tier: 1, ...traits,
});
const listJobs = (count: number, traits: Partial<BacklogJob> = {}) => Array.from({length: count}, () => createBacklogJob(traits));

describe('estimateWaits', () => {
	// Guards against waits that count work which a new job comes before. The pool does 10 jobs a second.
	it.each([
		{
			name: 'jobs of its account', timely: listJobs(50), late: [], expected: {timely: 5000, total: 5000},
		},
		{
			name: 'late jobs', timely: listJobs(10), late: listJobs(40, {density: 0.07e-6 * 1.001}), expected: {timely: 1000, total: 5000},
		},
		{
			name: 'jobs of less value for their work', timely: [...listJobs(10), ...listJobs(40, {density: 0.5e-6})], late: [], expected: {timely: 1000, total: 1000},
		},
		{
			name: 'jobs without entitlement', timely: [...listJobs(10), ...listJobs(40, {tier: 3})], late: [], expected: {timely: 1000, total: 1000},
		},
		{
			name: 'jobs of priority 0', timely: [...listJobs(10), ...listJobs(40, {tier: 0, account: 'desk', density: 0.1e-6})], late: [], expected: {timely: 5000, total: 5000},
		},
		{
			name: 'an account that sends more than its share', timely: [...listJobs(10), ...listJobs(40, {account: 'desk'})], late: [], expected: {timely: 2000, total: 2000},
		},
	])('after $name: $expected', ({timely, late, expected}) => {
		const backlog = {
			measuredAt: 0, totalMillis: 10_000, capacityMillis: 10_000, runningWork: new Map<string, number>(), timely, late,
		};
		const {press} = estimateWaits(backlog, {priority: 1, meanWork: 1_000_000}, () => 1);
		expect({timely: press?.timely.at(-1), total: press?.total.at(-1)}).toEqual(expected);
	});
});
