import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {applyJobEvent} from '../apply-job-event.js';
import {createJobsState} from '../jobs-state.js';
import {mayOrder} from './order-machines.js';

const random = createRandomSource(1);
const orderLeaseMs = 3000;

/** Whether an entry that claims the fleet at 0 may order machines at a later time in ms. */
function mayOrderAt(lastHolder: {readonly node: string; readonly revision: number} | undefined, now: number): boolean {
	const state = createJobsState({node: 'entry-1', incarnation: 'second', orderLeaseMs});
	const context = {now: 0, wallTime: 0, random};
	if (lastHolder !== undefined) {
		applyJobEvent(state, {kind: 'last-holder-changed', name: 'fleet', ...lastHolder}, context);
	}

	applyJobEvent(state, {kind: 'session-renewed', validUntil: 100_000}, context);
	applyJobEvent(state, {
		kind: 'claim-answered', name: 'fleet', result: 'applied', token: 9,
	}, context);
	return mayOrder(state, now);
}

// Guards against orders of two holders for one machine within the time that the platform asks for, and against a wait for nobody.
const cases = [
	{
		name: 'nobody is known to have held it', lastHolder: undefined, now: 3200, expected: false,
	},
	{
		name: 'the same, once a former holder must have stopped', lastHolder: undefined, now: 3400, expected: true,
	},
	{
		name: 'another entry held it', lastHolder: {node: 'entry-2', revision: 4}, now: 3200, expected: false,
	},
	{
		name: 'the same, once that must have stopped', lastHolder: {node: 'entry-2', revision: 4}, now: 3400, expected: true,
	},
	{
		name: 'the record was written with the claim itself', lastHolder: {node: 'entry-1', revision: 9}, now: 3200, expected: false,
	},
	{
		name: 'this entry held it in a former life', lastHolder: {node: 'entry-1', revision: 4}, now: 10, expected: true,
	},
] as const;

describe('a new holder of the fleet', () => {
	it.each(cases)('$name: may order at $now ms: $expected', ({lastHolder, now, expected}) => {
		expect(mayOrderAt(lastHolder, now)).toBe(expected);
	});
});
