import {describe, expect, it} from 'vitest';
import {type JobEvent} from '../model/index.js';
import {
	createStoredTestJob, createTestEndpoint, createTestJob, createTestOwner, createTestPollAnswer, lastGeneration,
} from '../testing.test-support.js';

const roster = {endpointIds: ['reborn', 'spare']};
const formerProcess = 1;
const nextProcess = 5000;
const observedUntil = 25_000;
/** Leases of the previous owner have expired 8.5 s x 1.02 + 0.25 s after the pool was loaded. */
const leaseExpiryMs = 8920;
/** An order of the previous owner may be carried out 12 s later, and the next process grants it a lease of 10 s x 1.02 + 0.25 s. */
const lateOrderExpiryMs = 22_450;
/** A restarted endpoint is used this long after its first answer. */
const restartedUseMs = 1530;

type Case = {
	readonly name: string;
	readonly recorded: number | undefined;
	/** Process that the directory lists. */
	readonly listed: number;
	/** When the endpoint answers, if it does, as the listed process. */
	readonly answersFrom?: number;
	/** Where and from when on the task of a job that the previous owner may have started is started. */
	readonly expected: {readonly endpointId: string; readonly from: number};
};

/** Returns the first start of a task by an owner that takes over from one that has recorded a process of an endpoint. */
function findStart({recorded, listed, answersFrom = Number.POSITIVE_INFINITY}: Case): {readonly endpointId: string; readonly at: number} | undefined {
	const owner = createTestOwner({
		roster: {...roster, ...(recorded !== undefined && {processes: {reborn: recorded, spare: formerProcess}})}, endpoints: roster.endpointIds, jobs: [createStoredTestJob(createTestJob('job', [{}]))],
	});
	let found: {readonly endpointId: string; readonly at: number} | undefined;
	const apply = (event: JobEvent, now: number): void => {
		for (const effect of owner.apply(event, now)) {
			if (effect.kind === 'start-task') {
				found ??= {endpointId: effect.target.endpointId, at: now};
			}
		}
	};

	apply({kind: 'endpoint-changed', endpoint: createTestEndpoint('reborn', 'desk', {startedAt: listed})}, 0);
	for (let now = 25; now < observedUntil; now += 25) {
		if (now >= answersFrom) {
			apply({...createTestPollAnswer('reborn', now), startedAt: listed}, now);
		} else if (now % 500 === 0) {
			apply({
				kind: 'poll-refused', endpointId: 'reborn', token: 7, generation: lastGeneration, refusal: 'no-answer',
			}, now);
		}

		// The other endpoint takes the task only if the restarted one does not answer.
		if (answersFrom === Number.POSITIVE_INFINITY) {
			apply(createTestPollAnswer('spare', now), now);
		} else if (now % 500 === 0) {
			apply({
				kind: 'poll-refused', endpointId: 'spare', token: 7, generation: lastGeneration, refusal: 'no-answer',
			}, now);
		}

		apply({kind: 'tick'}, now);
	}

	return found;
}

// Guards against a task that runs twice: a start of the previous owner is carried out by a process of the endpoint that this owner had not seen.
const cases: readonly Case[] = [
	{
		name: 'does not answer and has not restarted', recorded: formerProcess, listed: formerProcess, expected: {endpointId: 'spare', from: leaseExpiryMs},
	},
	{
		name: 'does not answer and has restarted', recorded: formerProcess, listed: nextProcess, expected: {endpointId: 'spare', from: lateOrderExpiryMs},
	},
	{
		name: 'does not answer, and the roster names no process', recorded: undefined, listed: nextProcess, expected: {endpointId: 'spare', from: leaseExpiryMs},
	},
	{
		name: 'answers and has restarted', recorded: formerProcess, listed: nextProcess, answersFrom: 9500, expected: {endpointId: 'reborn', from: 9500 + restartedUseMs},
	},
	{
		name: 'answers and has not restarted', recorded: formerProcess, listed: formerProcess, answersFrom: 9500, expected: {endpointId: 'reborn', from: 9500},
	},
];

describe('a task of a pool that was taken over', () => {
	it.each(cases)('is started on $expected.endpointId from $expected.from ms on if an endpoint of the roster $name', input => {
		const start = findStart(input);
		expect(start?.endpointId).toBe(input.expected.endpointId);
		expect(start?.at).toBeGreaterThanOrEqual(input.expected.from);
		expect(start?.at).toBeLessThan(input.expected.from + 200);
	});
});
