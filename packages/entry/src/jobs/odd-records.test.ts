import {type JobRecord} from '@pistachiogauge/jobs';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {decodeRecord, encodeRecord} from './job-records.js';
import {type recordSchemas} from './record-schemas.js';
import {createIgnoredItemReporter} from './report-ignored-items.js';

type RecordKind = keyof typeof recordSchemas;

const createItem = (value: string) => ({key: 'fleet/odd', value, revision: 1});

const numbers = `[${'1,'.repeat(490_000)}1]`;
const nested = `${'['.repeat(500_000)}${']'.repeat(500_000)}`;
/** Fields of lists and tables by kind of record. */
const listFields: Readonly<Record<RecordKind, readonly string[]>> = {
	member: ['weight'],
	holder: ['node'],
	job: ['spec', 'advice'],
	jobLocation: ['queue'],
	progress: ['steps', 'failedRuns'],
	roster: ['endpointIds', 'silentRuns'],
	report: ['usableEndpoints', 'idleEndpoints', 'waiting', 'durationModels'],
	evacuationRequest: ['machine'],
	evacuated: ['requestId'],
	wave: ['maintained'],
	recentOrders: ['machines'],
	demandHistory: ['history'],
	shares: ['cap', 'pools'],
	admission: ['queues'],
};
const table = `{${Array.from({length: 20_000}, (_, index) => `"k${index}":[0]`).join(',')}}`;
const largeTexts = Object.entries(listFields).flatMap(([kind, fields]) => [
	{name: `${kind}: nested lists`, kind: kind as RecordKind, text: nested},
	...fields.flatMap(field => [
		{name: `${kind}: ${field} of numbers`, kind: kind as RecordKind, text: `{"${field}":${numbers}}`},
		{name: `${kind}: ${field} of a table`, kind: kind as RecordKind, text: `{"${field}":${table}}`},
		{name: `${kind}: ${field} of nested lists`, kind: kind as RecordKind, text: `{"${field}":${nested}}`},
	]),
]);

/** A writer may write its record again every 300 ms; reading it may then take a third of the processor at most. */
const maxProcessorMs = 100;

// Guards against a large record that takes all processor time or memory of the entries that read it.
describe('a large record', () => {
	it.each(largeTexts)('is refused at once: $name', ({kind, text}) => {
		const before = process.cpuUsage();
		const record = decodeRecord(kind, createItem(text));
		const {user, system} = process.cpuUsage(before);
		expect(record).toBeUndefined();
		expect((user + system) / 1000).toBeLessThan(maxProcessorMs);
	});
});

const amount = fc.oneof(fc.nat(), fc.double({min: 0, max: 1e9, noNaN: true}));
const optionalAmount = fc.option(amount.filter(value => value > 0), {nil: undefined});
const step = fc.record({
	count: fc.nat(),
	room: fc.record({cpuMillis: amount, memoryMb: amount, gpus: amount}),
	estimateMs: amount,
	after: fc.array(fc.nat(), {maxLength: 2}),
	isCheckpointing: fc.boolean(),
	isGang: fc.boolean(),
	isSameRack: fc.boolean(),
	requiredLabel: fc.option(fc.string(), {nil: undefined}),
	dataRack: fc.option(fc.string(), {nil: undefined}),
	endpointLimit: optionalAmount,
	mayDuplicate: fc.boolean(),
	isLongRunning: fc.boolean(),
	image: fc.string(),
	tailTargetMs: optionalAmount,
	isFiller: fc.boolean(),
	missLimit: optionalAmount,
});
const job: fc.Arbitrary<JobRecord> = fc.record({
	id: fc.string(),
	queue: fc.string(),
	pool: fc.string(),
	spec: fc.record({
		payload: fc.string(), steps: fc.array(step, {minLength: 1, maxLength: 3}), repeatCount: fc.nat(), startAtMs: amount, intervalMs: amount,
	}),
	priority: amount,
	attempts: amount,
	stretch: amount,
	latencyTargetMs: amount,
	advice: fc.option(fc.record({decideMs: amount, eachMs: amount, validMs: amount}), {nil: undefined}),
	acceptedAt: amount,
});

// Guards against a job that is accepted and that the owner of its pool cannot read.
it('any valid job can be read from its record', () => {
	fc.assert(fc.property(job, record => {
		expect(decodeRecord('job', createItem(encodeRecord(record)))).toEqual(record);
	}), {numRuns: 1000, seed: 1});
});

// Guards against a log that is filled by one record, and against silence about it.
describe('createIgnoredItemReporter', () => {
	it.each([
		{
			name: 'a record that is written every 300 ms for a minute', intervalMs: 300, count: 200, expectedLines: 30, expectedNotLogged: 145,
		},
		{
			name: 'a few records', intervalMs: 5000, count: 4, expectedLines: 4, expectedNotLogged: 0,
		},
	])('reports $name', ({intervalMs, count, expectedLines, expectedNotLogged}) => {
		let now = 0;
		let total = 0;
		const lines: Array<Readonly<Record<string, unknown>>> = [];
		const report = createIgnoredItemReporter({
			log(_level, _message, fields) {
				lines.push(fields ?? {});
			},
			count(metric) {
				expect(metric).toBe('records_ignored_total{source="servers"}');
				total += 1;
			},
			getNow: () => now,
		});
		for (let index = 0; index < count; index++) {
			report({key: `servers/${'x'.repeat(1000)}`, value: 'text', revision: index});
			now += intervalMs;
		}

		expect(total).toBe(count);
		expect(lines).toHaveLength(expectedLines);
		expect(lines.reduce((sum, {notLogged}) => sum + Number(notLogged), 0)).toBe(expectedNotLogged);
		expect(JSON.stringify(lines[0]).length).toBeLessThan(300);
	});
});
