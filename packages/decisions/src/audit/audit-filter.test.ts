import {describe, expect, it} from 'vitest';
import {
	defaultTimings, storeKeys, type EffectOf, type EntryEvent, type EventOf,
} from '@pistachiogauge/model';
import {runChain, type Filter} from '../chain.js';
import {createRandomSource} from '../context.js';
import {createEntryState, type EntryState} from '../entry-state.js';
import {auditFilter} from './audit-filter.js';
import {auditLimits, type AuditRecord} from './audit-state.js';
import {findHashChainFaults} from './hash-chain.js';

type AuditHarness = {
	readonly state: EntryState;
	readonly pairs: Map<string, {value: string; revision: number}>;
	readonly answers: Array<EventOf<'operator-answered'>>;
	/** What happens to a write: it takes effect and is answered, is lost, takes effect without an answer, or is delayed. */
	fault: 'none' | 'write-lost' | 'answer-lost' | 'late';
	readonly late: Array<EffectOf<'write-store'>>;
	push(event: EntryEvent): void;
	add(count: number): void;
	run(durationMs: number): void;
	applyWrite(effect: EffectOf<'write-store'>): boolean;
	getRecords(): AuditRecord[];
};

function createHarness(): AuditHarness {
	const state = createEntryState({
		id: 'entry', zone: 'z', peerAddress: '127.0.0.1:1', timings: defaultTimings, verifyBundle: () => ({kind: 'invalid', reason: 'not used'}),
	});
	state.membership.isStoreReached = true;
	let now = 0;
	let revision = 0;
	let added = 0;
	const collector: Filter = {
		name: 'collector', handlers: {
			'operator-answered'(_state, answer) {
				harness.answers.push(answer);
				return [];
			},
		},
	};
	const write = (effect: EffectOf<'write-store'>) => {
		if (harness.fault === 'late') {
			harness.late.push(effect);
		}

		const isApplied = (harness.fault === 'none' || harness.fault === 'answer-lost') && harness.applyWrite(effect);
		const result = isApplied ? 'applied' as const : 'conflict' as const;
		harness.push({
			kind: 'store-answered',
			operationId: effect.operationId,
			result: harness.fault === 'none' ? result : 'failed',
			entries: harness.fault === 'none' && isApplied ? [{key: effect.key, value: effect.value, revision}] : [],
		});
	};

	const harness: AuditHarness = {
		state,
		pairs: new Map(),
		answers: [],
		fault: 'none',
		late: [],
		push(event) {
			for (const effect of runChain([collector, auditFilter], state, event, {now, wallTime: 1_000_000 + now, random: createRandomSource(1)})) {
				if (effect.kind === 'write-store') {
					write(effect);
				} else if (effect.kind === 'read-store') {
					const entries = [...harness.pairs].filter(([key]) => effect.isPrefix ? key.startsWith(effect.key) : key === effect.key).map(([key, pair]) => ({key, ...pair}));
					harness.push({
						kind: 'store-answered', operationId: effect.operationId, result: 'applied', entries,
					});
				}
			}
		},
		add(count) {
			for (let index = 0; index < count; index++) {
				added += 1;
				harness.push({
					kind: 'audit-event', by: 'ana', action: 'drain', subject: `pool ${added % 2 === 0 ? 'p' : 'q'} instance i${added}`, result: 'done', detail: '',
				});
			}
		},
		run(durationMs) {
			for (const end = now + durationMs; now < end;) {
				now += 50;
				harness.push({kind: 'tick'});
			}
		},
		applyWrite({condition, key, value}) {
			const current = harness.pairs.get(key);
			const isMet = condition.kind === 'always' || (condition.kind === 'absent' ? current === undefined : current?.revision === condition.revision);
			if (isMet) {
				revision += 1;
				harness.pairs.set(key, {value, revision});
			}

			return isMet;
		},
		getRecords: () => [...harness.pairs].sort(([left], [right]) => left < right ? -1 : 1).flatMap(([, pair]) => JSON.parse(pair.value) as AuditRecord[]),
	};
	return harness;
}

// Guards against records that are lost, duplicated or out of order after store failures.
const cases: Array<{name: string; act: (harness: AuditHarness) => void; count: number}> = [
	{
		name: 'more than one segment', act(harness) {
			harness.add((auditLimits.maxRecordsPerSegment * 2) + 5);
		}, count: (auditLimits.maxRecordsPerSegment * 2) + 5,
	},
	{
		name: 'a lost answer', act(harness) {
			harness.fault = 'answer-lost';
			harness.add(3);
			harness.run(100);
			harness.add(2);
			harness.fault = 'none';
		}, count: 5,
	},
	{
		name: 'a lost write', act(harness) {
			harness.fault = 'write-lost';
			harness.add(3);
			harness.run(100);
			harness.fault = 'none';
		}, count: 3,
	},
	{
		name: 'a delayed write after the next one', act(harness) {
			harness.fault = 'late';
			harness.add(1);
			harness.run(50);
			harness.fault = 'none';
			harness.add(2);
			harness.run(5000);
			harness.applyWrite(harness.late[0]!);
		}, count: 3,
	},
	{
		name: 'a delayed write before the next one', act(harness) {
			harness.fault = 'late';
			harness.add(1);
			harness.run(50);
			harness.fault = 'none';
			harness.add(2);
			harness.applyWrite(harness.late[0]!);
		}, count: 3,
	},
];

describe('the audit trail', () => {
	it.each(cases)('contains every record once: $name', ({act, count}) => {
		const harness = createHarness();
		act(harness);
		harness.run(20_000);
		const records = harness.getRecords();
		expect(records.map(record => record.sequence)).toEqual(Array.from({length: count}, (_, index) => index + 1));
		expect(findHashChainFaults(records)).toEqual([]);
	});

	// Guards against unbounded memory use during a store outage, and against gaps that the trail does not show.
	it('records how many records were dropped during a store outage', () => {
		const harness = createHarness();
		harness.state.membership.isStoreReached = false;
		harness.add(auditLimits.maxUnwrittenRecords + 7);
		expect(harness.state.audit.unwritten.length).toBeLessThanOrEqual(auditLimits.maxUnwrittenRecords);
		harness.state.membership.isStoreReached = true;
		harness.run(20_000);
		harness.add(1);
		harness.run(1000);
		const records = harness.getRecords();
		expect(records.find(record => record.action === 'audit-gap')).toMatchObject({result: 'refused', detail: expect.stringContaining('7 records') as string});
		expect(findHashChainFaults(records)).toEqual([]);
	});
});

function createTrail(): AuditRecord[] {
	const harness = createHarness();
	harness.add(4);
	harness.run(1000);
	return harness.getRecords();
}

// Guards against records that were removed or altered in the store.
const tamperCases: Array<{name: string; tamper: (records: AuditRecord[]) => AuditRecord[]; expected: RegExp}> = [
	{name: 'a removed record', tamper: records => records.filter(record => record.sequence !== 2), expected: /entry: record 3 does not follow record 1/u},
	{name: 'an altered record', tamper: records => records.map(record => record.sequence === 2 ? {...record, by: 'eve'} : record), expected: /entry: record 2 was altered/u},
	{name: 'a removed beginning', tamper: records => records.slice(1), expected: /entry: the trail begins with record 2/u},
];

describe('findHashChainFaults', () => {
	it.each(tamperCases)('finds $name', ({tamper, expected}) => {
		expect(findHashChainFaults(tamper(createTrail())).join('\n')).toMatch(expected);
	});

	it('finds nothing in a complete trail', () => {
		expect(findHashChainFaults(createTrail())).toEqual([]);
	});
});

describe('the audit call', () => {
	it.each([
		{filter: {}, subjects: ['i1', 'i2', 'i3', 'i4', 'o1']},
		{filter: {pool: 'p'}, subjects: ['i2', 'i4', 'o1']},
		{filter: {since: 1_000_500}, subjects: ['i3', 'i4', 'o1']},
	])('reads the segments of all entries: $filter', ({filter, subjects}) => {
		const harness = createHarness();
		harness.add(2);
		harness.run(1000);
		harness.add(2);
		harness.run(1000);
		const [first] = createTrail();
		const other = {
			...first!, entry: 'other', at: 2_000_000, subject: 'pool p instance o1',
		};
		harness.pairs.set(`${storeKeys.auditPrefix}other/000000`, {value: JSON.stringify([other]), revision: 1});
		harness.push({
			kind: 'operator-called', callId: 'call', operator: 'ana', command: {command: 'audit', ...filter},
		});
		const body = harness.answers[0]!.body as {records: AuditRecord[]; faults: string[]};
		expect(body.records.map(record => record.subject.split(' ').at(-1))).toEqual(subjects);
		expect(body.faults).toEqual(['other: record 1 was altered']);
	});
});
