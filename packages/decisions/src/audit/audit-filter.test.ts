import {describe, expect, it} from 'vitest';
import {
	defaultTimings, storeKeys, type EffectOf, type EntryEvent, type EventOf,
} from '@pistachiogauge/model';
import {runChain, type Filter} from '../chain.js';
import {createRandomSource} from '../context.js';
import {createEntryState, type EntryState} from '../entry-state.js';
import {auditFilter} from './audit-filter.js';
import {auditLimits, type AuditRecord} from './audit-state.js';
import {findHashChainFaults} from './verify-chain.js';

type Rig = {
	readonly state: EntryState;
	readonly pairs: Map<string, {value: string; revision: number}>;
	readonly answers: Array<EventOf<'operator-answered'>>;
	/** What happens to a write: it takes effect and is answered, is lost before or after it takes effect, or arrives late. */
	fault: 'none' | 'write-lost' | 'answer-lost' | 'late';
	readonly late: Array<EffectOf<'write-store'>>;
	push(event: EntryEvent): void;
	add(count: number): void;
	run(durationMs: number): void;
	applyWrite(effect: EffectOf<'write-store'>): boolean;
	getRecords(): AuditRecord[];
};

function createRig(): Rig {
	const state = createEntryState({
		id: 'entry', zone: 'z', peerAddress: '127.0.0.1:1', timings: defaultTimings, readBundle: () => ({kind: 'invalid', reason: 'not used'}),
	});
	state.membership.isStoreReached = true;
	let now = 0;
	let revision = 0;
	let added = 0;
	const collector: Filter = {
		name: 'collector', handlers: {
			'operator-answered'(_state, answer) {
				rig.answers.push(answer);
				return [];
			},
		},
	};
	const write = (effect: EffectOf<'write-store'>) => {
		if (rig.fault === 'late') {
			rig.late.push(effect);
		}

		const isApplied = (rig.fault === 'none' || rig.fault === 'answer-lost') && rig.applyWrite(effect);
		const result = isApplied ? 'applied' as const : 'conflict' as const;
		rig.push({
			kind: 'store-answered',
			operationId: effect.operationId,
			result: rig.fault === 'none' ? result : 'failed',
			entries: rig.fault === 'none' && isApplied ? [{key: effect.key, value: effect.value, revision}] : [],
		});
	};

	const rig: Rig = {
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
					const entries = [...rig.pairs].filter(([key]) => effect.isPrefix ? key.startsWith(effect.key) : key === effect.key).map(([key, pair]) => ({key, ...pair}));
					rig.push({
						kind: 'store-answered', operationId: effect.operationId, result: 'applied', entries,
					});
				}
			}
		},
		add(count) {
			for (let index = 0; index < count; index++) {
				added += 1;
				rig.push({
					kind: 'audit-event', by: 'ana', action: 'drain', subject: `pool ${added % 2 === 0 ? 'p' : 'q'} instance i${added}`, result: 'done', detail: '',
				});
			}
		},
		run(durationMs) {
			for (const end = now + durationMs; now < end;) {
				now += 50;
				rig.push({kind: 'tick'});
			}
		},
		applyWrite({condition, key, value}) {
			const current = rig.pairs.get(key);
			const isMet = condition.kind === 'always' || (condition.kind === 'absent' ? current === undefined : current?.revision === condition.revision);
			if (isMet) {
				revision += 1;
				rig.pairs.set(key, {value, revision});
			}

			return isMet;
		},
		getRecords: () => [...rig.pairs].sort(([left], [right]) => left < right ? -1 : 1).flatMap(([, pair]) => JSON.parse(pair.value) as AuditRecord[]),
	};
	return rig;
}

// Guards against records that are lost, written twice or out of order by faults of the store.
const cases: Array<{name: string; act: (rig: Rig) => void; count: number}> = [
	{
		name: 'more than one segment', act(rig) {
			rig.add((auditLimits.recordsPerSegment * 2) + 5);
		}, count: (auditLimits.recordsPerSegment * 2) + 5,
	},
	{
		name: 'a lost answer', act(rig) {
			rig.fault = 'answer-lost';
			rig.add(3);
			rig.run(100);
			rig.add(2);
			rig.fault = 'none';
		}, count: 5,
	},
	{
		name: 'a lost write', act(rig) {
			rig.fault = 'write-lost';
			rig.add(3);
			rig.run(100);
			rig.fault = 'none';
		}, count: 3,
	},
	{
		name: 'a write that arrives after the next one', act(rig) {
			rig.fault = 'late';
			rig.add(1);
			rig.run(50);
			rig.fault = 'none';
			rig.add(2);
			rig.run(5000);
			rig.applyWrite(rig.late[0]!);
		}, count: 3,
	},
	{
		name: 'a late write before the next one', act(rig) {
			rig.fault = 'late';
			rig.add(1);
			rig.run(50);
			rig.fault = 'none';
			rig.add(2);
			rig.applyWrite(rig.late[0]!);
		}, count: 3,
	},
];

describe('the audit trail', () => {
	it.each(cases)('holds every record once: $name', ({act, count}) => {
		const rig = createRig();
		act(rig);
		rig.run(20_000);
		const records = rig.getRecords();
		expect(records.map(record => record.sequence)).toEqual(Array.from({length: count}, (_, index) => index + 1));
		expect(findHashChainFaults(records)).toEqual([]);
	});

	// Guards against memory that grows while the store is out, and against a gap that no one sees.
	it('states how many records it dropped while the store was out', () => {
		const rig = createRig();
		rig.state.membership.isStoreReached = false;
		rig.add(auditLimits.recordsInMemory + 7);
		expect(rig.state.audit.unwritten.length).toBeLessThanOrEqual(auditLimits.recordsInMemory);
		rig.state.membership.isStoreReached = true;
		rig.run(20_000);
		rig.add(1);
		rig.run(1000);
		const records = rig.getRecords();
		expect(records.find(record => record.action === 'audit-gap')).toMatchObject({result: 'refused', detail: expect.stringContaining('7 records') as string});
		expect(findHashChainFaults(records)).toEqual([]);
	});
});

function createTrail(): AuditRecord[] {
	const rig = createRig();
	rig.add(4);
	rig.run(1000);
	return rig.getRecords();
}

// Guards against records that were removed or altered in the store.
const tamperCases: Array<{name: string; tamper: (records: AuditRecord[]) => AuditRecord[]; expected: RegExp}> = [
	{name: 'a removed record', tamper: records => records.filter(record => record.sequence !== 2), expected: /entry: record 3 does not follow record 1/u},
	{name: 'an altered record', tamper: records => records.map(record => record.sequence === 2 ? {...record, by: 'eve'} : record), expected: /entry: record 2 was altered/u},
	{name: 'a removed beginning', tamper: records => records.slice(1), expected: /entry: the trail begins with record 2/u},
];

describe('findChainFaults', () => {
	it.each(tamperCases)('finds $name', ({tamper, expected}) => {
		expect(findHashChainFaults(tamper(createTrail())).join('\n')).toMatch(expected);
	});

	it('finds nothing in a whole trail', () => {
		expect(findHashChainFaults(createTrail())).toEqual([]);
	});
});

describe('the audit call', () => {
	it.each([
		{filter: {}, subjects: ['i1', 'i2', 'i3', 'i4', 'o1']},
		{filter: {pool: 'p'}, subjects: ['i2', 'i4', 'o1']},
		{filter: {since: 1_000_500}, subjects: ['i3', 'i4', 'o1']},
	])('reads the segments of all entries: $filter', ({filter, subjects}) => {
		const rig = createRig();
		rig.add(2);
		rig.run(1000);
		rig.add(2);
		rig.run(1000);
		const [first] = createTrail();
		const other = {
			...first!, entry: 'other', at: 2_000_000, subject: 'pool p instance o1',
		};
		rig.pairs.set(`${storeKeys.auditPrefix}other/000000`, {value: JSON.stringify([other]), revision: 1});
		rig.push({
			kind: 'operator-called', callId: 'call', operator: 'ana', command: {command: 'audit', ...filter},
		});
		const body = rig.answers[0]!.body as {records: AuditRecord[]; faults: string[]};
		expect(body.records.map(record => record.subject.split(' ').at(-1))).toEqual(subjects);
		expect(body.faults).toEqual(['other: record 1 was altered']);
	});
});
