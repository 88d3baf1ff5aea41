import {describe, expect, it} from 'vitest';
import {type JobEvent, type Roster} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer, lastGeneration, type TestOwner,
} from '../testing.test-support.js';

const taskId = 'job.0.0.0';
/** Endpoints shorten longer leases to this time. */
const maxLeaseMs = 10_000;
const observedUntil = 20_000;
const roster: Roster = {endpointIds: ['reborn', 'spare']};
const job = createStoredTestJob(createTestJob('job', [{}]));

type Case = {
	readonly name: string;
	/** When the endpoint restarts. An order that was meant for its former process, whose clock was ahead, grants a lease to the new one at that time. */
	readonly rebornAt: number;
	/** When the job is stored. An owner that has loaded the pool before does not hold it back until all endpoints have reported their runs. */
	readonly storedAt: number;
	/** When the former owner is lost, and when the next one has loaded the pool. */
	readonly lostAt: number;
	readonly loadedAt: number;
	/** From when the endpoint answers nobody; its tasks run on. */
	readonly silentFrom: number;
};

/** Plays two owners in turn and returns the times at which the task runs on the endpoint, and at which it is started elsewhere. */
function playTakeover({
	rebornAt, storedAt, lostAt, loadedAt, silentFrom,
}: Case): {readonly runsUntil: number | undefined; readonly startedElsewhereAt: number} {
	let leaseEndsAt = rebornAt + maxLeaseMs;
	let run = 0;
	let startedElsewhereAt = Number.POSITIVE_INFINITY;
	const apply = (owner: TestOwner, event: JobEvent, now: number, localNow: number) => {
		for (const effect of owner.apply(event, localNow)) {
			if (effect.kind === 'start-task' && effect.target.endpointId === 'reborn' && now < silentFrom) {
				run = effect.run;
			}

			if (effect.kind === 'start-task' && effect.target.endpointId === 'spare') {
				startedElsewhereAt = Math.min(startedElsewhereAt, now);
			}

			const isReached = (effect.kind === 'poll-endpoint' || effect.kind === 'start-task') && effect.target.endpointId === 'reborn' && now >= rebornAt && now < silentFrom;
			if (isReached && effect.deadlineMs !== undefined) {
				leaseEndsAt = Math.max(leaseEndsAt, rebornAt + Math.min(effect.deadlineMs, now - rebornAt + maxLeaseMs));
			}
		}
	};

	const listRuns = () => run === 0
		? []
		: [{
			taskId, run, checkpoint: '', percent: 10, load: 0,
		}];
	const refusal: JobEvent = {
		kind: 'poll-refused', endpointId: 'reborn', token: 7, generation: lastGeneration, refusal: 'no-answer',
	};
	const former = createTestOwner({roster, endpoints: roster.endpointIds, jobs: []});
	const next = createTestOwner({roster, endpoints: roster.endpointIds, jobs: storedAt < lostAt ? [job] : []});
	for (let now = 25; now < observedUntil; now += 25) {
		const isFormer = now < lostAt;
		if (!isFormer && now < loadedAt) {
			continue;
		}

		const owner = isFormer ? former : next;
		const localNow = isFormer ? now : now - loadedAt;
		if (now < rebornAt && isFormer) {
			apply(owner, createTestPollAnswer('reborn', 500_000 + now), now, localNow);
		} else if (now >= rebornAt && now < silentFrom) {
			apply(owner, {...createTestPollAnswer('reborn', now - rebornAt), startedAt: 2, running: listRuns()}, now, localNow);
		} else if (now % 500 === 0) {
			apply(owner, refusal, now, localNow);
		}

		// Tasks are started on the restarted endpoint first, as no other is known to answer.
		if (!isFormer && (run !== 0 || now >= silentFrom)) {
			apply(owner, createTestPollAnswer('spare', 1000 + now), now, localNow);
		}

		if (now === storedAt) {
			apply(owner, {kind: 'job-recorded', stored: job}, now, localNow);
		}

		apply(owner, {kind: 'tick'}, now, localNow);
	}

	return {runsUntil: run === 0 ? undefined : leaseEndsAt, startedElsewhereAt};
}

// Guards against a task that runs twice: the lease that a restarted endpoint was granted by an order for its former process lasts longer than the next owner waits.
const cases: readonly Case[] = [
	{
		name: 'the former owner has seen the restart', rebornAt: 1000, storedAt: 1100, lostAt: 1300, loadedAt: 1400, silentFrom: 1350,
	},
	{
		name: 'the former owner has seen the restart some time ago', rebornAt: 1000, storedAt: 1100, lostAt: 4000, loadedAt: 5500, silentFrom: 4100,
	},
	{
		name: 'the next owner is the first to see the new process', rebornAt: 2900, storedAt: 3000, lostAt: 100, loadedAt: 1500, silentFrom: 3300,
	},
	{
		name: 'the next owner sees the new process late', rebornAt: 6000, storedAt: 6100, lostAt: 100, loadedAt: 1500, silentFrom: 7000,
	},
];

describe('a task on an endpoint that has restarted around a takeover and falls silent', () => {
	it.each(cases)('is started elsewhere after its lease if $name', input => {
		const {runsUntil = 0, startedElsewhereAt} = playTakeover(input);
		expect(startedElsewhereAt).toBeGreaterThan(runsUntil);
		expect(startedElsewhereAt).toBeLessThan(observedUntil);
	});
});
