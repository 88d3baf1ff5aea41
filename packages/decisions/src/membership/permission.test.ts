import {describe, expect, it} from 'vitest';
import {defaultTimings, type EpochRecord} from '@pistachiogauge/model';
import {createRandomSource} from '../context.js';
import {createEntryState, type EntryState} from '../entry-state.js';
import {adoptEpoch} from './adopt-epoch.js';
import {getPoolPermissionExpiry} from './permission.js';

const pool = 'p';
const adoptedAt = 10_000;
const {voucherMs} = defaultTimings;

type PermissionCase = {
	readonly name: string;
	/** Members of the epoch that was adopted before, this entry among them. */
	readonly former: readonly string[];
	/** When the others were asked for the vouchers of the former epoch. */
	readonly formerAskedAt: Readonly<Record<string, number>>;
	readonly now: number;
	readonly expected: number | undefined;
};

const cases: readonly PermissionCase[] = [
	// Guards against an entry that was the only member of the former epoch and whose support for itself never expires: after a pause it sent work although the pool had a new owner (soak seed 139).
	{
		name: 'a sole former member keeps its permission for the voucher time', former: ['a'], formerAskedAt: {}, now: adoptedAt + voucherMs - 1, expected: adoptedAt + voucherMs,
	},
	{
		name: 'a sole former member loses its permission after the voucher time', former: ['a'], formerAskedAt: {}, now: adoptedAt + voucherMs, expected: undefined,
	},
	{
		name: 'the vouchers of a former majority carry over', former: ['a', 'b', 'c'], formerAskedAt: {b: adoptedAt - 200}, now: adoptedAt, expected: adoptedAt - 200 + voucherMs,
	},
	{
		name: 'a former minority carries nothing over', former: ['a', 'b', 'c', 'd'], formerAskedAt: {b: adoptedAt - 200}, now: adoptedAt, expected: undefined,
	},
];

function createRecord(epoch: number, members: readonly string[]): EpochRecord {
	return {
		epoch,
		proposal: `proposal-${epoch}`,
		members: members.map(id => ({id, address: '127.0.0.1:1', zone: id})),
		pools: {[pool]: {owner: 'a'}},
		previousMembers: ['a'],
		previousPools: {[pool]: {owner: 'a'}},
		previousProposal: `proposal-${epoch - 1}`,
		forced: false,
		proposer: 'a',
	};
}

function createOwner({former, formerAskedAt}: PermissionCase): EntryState {
	const state = createEntryState({
		id: 'a', zone: 'a', peerAddress: '127.0.0.1:1', timings: defaultTimings, verifyBundle: () => ({kind: 'invalid', reason: 'unused'}),
	});
	state.membership.record = createRecord(5, former);
	state.membership.acquiredPools.add(pool);
	for (const [id, askedAt] of Object.entries(formerAskedAt)) {
		state.membership.vouchers.set(id, askedAt);
	}

	adoptEpoch(state, createRecord(6, ['a', 'b', 'c', 'd', 'e']), {now: adoptedAt, wallTime: 0, random: createRandomSource(1)});
	return state;
}

describe('permission after an epoch change', () => {
	it.each(cases)('$name', testCase => {
		expect(getPoolPermissionExpiry(createOwner(testCase), pool, testCase.now)).toBe(testCase.expected);
	});
});
