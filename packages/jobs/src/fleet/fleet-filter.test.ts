import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {applyJobEvent} from '../apply-job-event.js';
import {createJobsState} from '../jobs-state.js';
import {createTestMachine} from '../testing.test-support.js';
import {createFleetState} from './fleet-state.js';
import {canOrderMachines, mayBeOrderedElsewhere, updateFromMachineList} from './order-machines.js';

const random = createRandomSource(1);
const orderLeaseMs = 3000;

/** Whether an entry that claims the fleet at 0 ms may order machines at a later time in ms. */
function canOrderAt(lastHolder: {readonly node: string; readonly revision: number} | undefined, now: number): boolean {
	const state = createJobsState({node: 'entry-1', incarnation: 'second', orderLeaseMs});
	const context = {now: 0, wallTime: 0, random};
	if (lastHolder !== undefined) {
		applyJobEvent(state, {kind: 'last-holder-changed', name: 'fleet', ...lastHolder}, context);
	}

	applyJobEvent(state, {kind: 'session-renewed', validUntil: 100_000, wallValidUntil: 100_000}, context);
	applyJobEvent(state, {
		kind: 'claim-answered', name: 'fleet', result: 'applied', token: 9,
	}, context);
	return canOrderMachines(state, {now, wallTime: now});
}

// Guards against orders of two holders for one machine within the minimum time set by the platform, and against waiting when there is no other holder.
const cases = [
	{
		name: 'no previous holder is known', lastHolder: undefined, now: 3200, expected: false,
	},
	{
		name: 'no previous holder is known, but any must have stopped', lastHolder: undefined, now: 3400, expected: true,
	},
	{
		name: 'another entry held the claim', lastHolder: {node: 'entry-2', revision: 4}, now: 3200, expected: false,
	},
	{
		name: 'another entry held the claim, but must have stopped', lastHolder: {node: 'entry-2', revision: 4}, now: 3400, expected: true,
	},
	{
		name: 'the record of the last holder was written with the claim itself', lastHolder: {node: 'entry-1', revision: 9}, now: 3200, expected: false,
	},
	{
		name: 'an earlier process of this entry held the claim', lastHolder: {node: 'entry-1', revision: 4}, now: 10, expected: true,
	},
] as const;

describe('a new holder of the fleet', () => {
	it.each(cases)('$name: may order at $now ms: $expected', ({lastHolder, now, expected}) => {
		expect(canOrderAt(lastHolder, now)).toBe(expected);
	});
});

// Guards against seconds without any order after each loss of the holder, and against ordering a machine that the previous holder has just ordered.
const takeovers = [
	{
		name: 'no record has been read', record: undefined, orderable: {},
	},
	{
		name: 'the record of the previous holder names a machine', record: {token: 4, machines: ['a']}, orderable: {b: 100},
	},
	{
		name: 'the previous holder has ordered none', record: {token: 4, machines: []}, orderable: {a: 100, b: 100},
	},
	{
		name: 'the record is that of an earlier holder', record: {token: 3, machines: []}, orderable: {},
	},
	{
		name: 'the record is incomplete', record: {token: 0, machines: []}, orderable: {},
	},
] as const;

describe('a new holder that reads which machines were ordered last', () => {
	it.each(takeovers)('orders the others at once: $name', ({record, orderable}) => {
		const state = createJobsState({node: 'entry-1', incarnation: 'second', orderLeaseMs});
		const apply = (event: Parameters<typeof applyJobEvent>[1], now: number) => applyJobEvent(state, event, {now, wallTime: now, random});
		apply({
			kind: 'last-holder-changed', name: 'fleet', node: 'entry-2', revision: 4,
		}, 0);
		apply({kind: 'session-renewed', validUntil: 100_000, wallValidUntil: 100_000}, 0);
		apply({
			kind: 'claim-answered', name: 'fleet', result: 'applied', token: 9,
		}, 0);
		const carried = record === undefined ? [] : apply({kind: 'recent-orders-read', ...record}, 50).filter(({kind}) => kind === 'carry-over-orders');
		const seen: Record<string, number> = {};
		for (const now of [100, 3200, 3400]) {
			carried.push(...apply({kind: 'tick'}, now).filter(({kind}) => kind === 'carry-over-orders'));
			for (const machine of ['a', 'b']) {
				if (canOrderMachines(state, {now, wallTime: now}) && !mayBeOrderedElsewhere(state.fleet, machine, now)) {
					seen[machine] ??= now;
				}
			}
		}

		expect(seen).toEqual({a: 3400, b: 3400, ...orderable});
		// The holder's own record is complete either at once or when the wait is over, also if it orders nothing.
		expect(carried).toHaveLength(1);
	});
});

// Guards against a new holder that moves no machine for seconds, as it takes all of them for newly arrived.
describe('the machine lists of a new holder', () => {
	it.each([
		{name: 'the first list says nothing about arrivals', lists: [['a']], joined: []},
		{name: 'a machine in a later list only has arrived', lists: [['a'], ['a', 'b']], joined: ['b']},
		{name: 'a machine that stays has not arrived', lists: [['a'], ['a']], joined: []},
	])('tell which machines have arrived: $name', ({lists, joined}) => {
		const fleet = createFleetState(orderLeaseMs);
		for (const [index, names] of lists.entries()) {
			const machines = names.map(machine => createTestMachine(machine, 'desk'));
			updateFromMachineList(fleet, machines, {now: index, wallTime: index, random});
			for (const machine of machines) {
				fleet.machines.set(machine.name, machine);
			}

			fleet.listedAt = index;
		}

		expect([...fleet.joinedPoolAt.keys()]).toEqual(joined);
	});
});
