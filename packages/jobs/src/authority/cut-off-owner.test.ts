import {describe, expect, it} from 'vitest';
import {type Clocks, type JobEvent, type ReportedEnd} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer,
} from '../testing.test-support.js';
import {orderPermissionMs} from './order-permission.js';

const endpointClockAtStart = 1000;

type Input = {
	/** When the endpoint lists that the only task was stopped, so that it has to be started again. */
	readonly at: Clocks;
	/** Whether the endpoint has restarted instead, and has forgotten the tokens that it had seen. */
	readonly hasRestarted?: boolean;
	/** When the call was sent that last confirmed the claim; 0 is the time of the claim itself. */
	readonly confirmedAt?: number;
};

/** Lists the orders that an owner gives to an endpoint in the second after a task of it was stopped, with the latest deadline on the endpoint's clock. */
function listOrders({at, hasRestarted = false, confirmedAt}: Input): {readonly kinds: readonly string[]; readonly lastDeadlineMs: number} {
	const owner = createTestOwner({roster: {endpointIds: ['e1']}, endpoints: ['e1'], jobs: [createStoredTestJob(createTestJob('job', [{count: 1}]))]});
	owner.confirmsClaim = false;
	owner.apply({kind: 'tick'}, 0);
	owner.apply(createTestPollAnswer('e1', endpointClockAtStart), 0);
	const firstStart = owner.apply({kind: 'tick'}, 25).find(effect => effect.kind === 'start-task');
	if (firstStart?.kind !== 'start-task') {
		throw new Error('The task has not been started.');
	}

	if (confirmedAt !== undefined) {
		owner.apply({
			kind: 'claim-confirmed', name: 'pool/desk', token: 7, requestedAt: {now: confirmedAt, wallTime: confirmedAt},
		}, confirmedAt + 50);
	}

	const kinds = new Set<string>();
	let lastDeadlineMs = 0;
	const ended: ReportedEnd[] = [{
		number: 1, taskId: firstStart.taskId, run: firstStart.run, outcome: 'stopped', checkpoint: '',
	}];
	const advance = (elapsedMs: number, event: JobEvent) => {
		for (const effect of owner.apply(event, at.now + elapsedMs, at.wallTime + elapsedMs)) {
			if ((effect.kind === 'start-task' || effect.kind === 'poll-endpoint') && effect.deadlineMs !== undefined) {
				kinds.add(effect.kind);
				lastDeadlineMs = Math.max(lastDeadlineMs, effect.deadlineMs);
			}
		}
	};

	for (let elapsedMs = 0; elapsedMs < 1000; elapsedMs += 25) {
		const answer = createTestPollAnswer('e1', endpointClockAtStart + at.now + elapsedMs);
		advance(elapsedMs, hasRestarted ? {...answer, startedAt: 2} : {...answer, ended});
		advance(elapsedMs, {kind: 'tick'});
	}

	return {kinds: [...kinds].sort(), lastDeadlineMs};
}

const all = ['poll-endpoint', 'start-task'];

// Guards against tasks that run twice: an owner that is cut off from the store went on starting tasks and renewing leases on endpoints that its successor could not reach, beyond the time for which the successor waits.
const cases: ReadonlyArray<{readonly name: string; readonly expected: readonly string[]} & Input> = [
	{name: 'starts and renews while the store confirms its claim', at: {now: 100, wallTime: 100}, expected: all},
	{name: 'starts and renews during an outage of the store', at: {now: 5000, wallTime: 5000}, expected: all},
	{
		name: 'starts nothing on an endpoint that has restarted since', at: {now: 5000, wallTime: 5000}, hasRestarted: true, expected: ['poll-endpoint'],
	},
	{name: 'starts nothing that its permission does not cover', at: {now: orderPermissionMs - 600, wallTime: orderPermissionMs - 600}, expected: ['poll-endpoint']},
	{name: 'gives no orders after its permission has ended', at: {now: orderPermissionMs, wallTime: orderPermissionMs}, expected: []},
	{name: 'gives no orders after its permission has ended by the wall clock only, as the machine was suspended', at: {now: 100, wallTime: orderPermissionMs}, expected: []},
	{
		name: 'starts and renews after a later confirmation', at: {now: orderPermissionMs, wallTime: orderPermissionMs}, confirmedAt: 5000, expected: all,
	},
	{
		name: 'counts its permission from when the confirmation was requested', at: {now: orderPermissionMs + 5000, wallTime: orderPermissionMs + 5000}, confirmedAt: 5000, expected: [],
	},
];

describe('an owner that the store no longer confirms', () => {
	it.each(cases)('$name: $expected', ({expected, confirmedAt = 0, ...input}) => {
		const {kinds, lastDeadlineMs} = listOrders({...input, confirmedAt});
		expect(kinds).toEqual(expected);
		// The successor takes all leases as expired this long after its claim, which is later than the last confirmation.
		expect(lastDeadlineMs).toBeLessThanOrEqual(endpointClockAtStart + confirmedAt + orderPermissionMs);
	});
});
