import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {applyJobEvent} from '../apply-job-event.js';
import {createJobsState} from '../jobs-state.js';
import {type JobEvent, type StoredJob} from '../model/index.js';
import {
	createStoredTestJob, createTestEndpoint, createTestJob, listTestConfirmations,
} from '../testing.test-support.js';

const random = createRandomSource(1);
const pool = 'desk';
/** When the former owner loses the store. It learns of its loss at `formerToldAt`. */
const cutAt = 200;
const takeoverAt = 2500;
const formerToldAt = 3100;

type Case = {
	readonly name: string;
	/** When the watches of both owners report the job, in ms. */
	readonly recordedAt: number;
	readonly observedUntil: number;
	/** Limits of the number of starts of its task. */
	readonly atLeast: number;
	readonly atMost: number;
};

type Owner = {
	readonly node: string;
	readonly token: number;
	/** The endpoint that answers it. */
	readonly reachableId: string;
	readonly loadsAt: number;
};

const formerOwner: Owner = {
	node: 'entry-1', token: 7, reachableId: 'cut', loadsAt: 0,
};
const newOwner: Owner = {
	node: 'entry-2', token: 1000, reachableId: 'healthy', loadsAt: takeoverAt,
};

/** Counts the starts by one owner of the task of a job that is recorded at the given time. */
function countStarts({node, token, reachableId, loadsAt}: Owner, {recordedAt, observedUntil}: Pick<Case, 'recordedAt' | 'observedUntil'>): number {
	const state = createJobsState({node, incarnation: 'first', orderLeaseMs: 3000});
	let startCount = 0;
	const due: Array<{readonly at: number; readonly event: JobEvent}> = [];
	const stored: StoredJob = createStoredTestJob(createTestJob('job', [{}]));
	const apply = (event: JobEvent, now: number): void => {
		for (const effect of applyJobEvent(state, event, {now, wallTime: now, random})) {
			if (effect.kind === 'start-task') {
				startCount += 1;
			}

			const isApplied = now < cutAt || token === newOwner.token;
			due.push(...listTestConfirmations(effect, token, {now, wallTime: now}).filter(() => isApplied).map(event => ({at: now + 50, event})));
			if (effect.kind === 'poll-endpoint') {
				const {endpointId, generation} = effect.target;
				due.push(endpointId === reachableId
					? {
						at: now + 50, event: {
							kind: 'poll-answered', endpointId, token, generation, clockMs: 1000 + now, startedAt: 1, running: [], ended: [],
						},
					}
					: {
						at: now + 700, event: {
							kind: 'poll-refused', endpointId, token, generation, refusal: 'no-answer',
						},
					});
			}

			if (effect.kind === 'save-progress') {
				due.push({
					at: now + 50, event: {
						kind: 'progress-saved', pool, token, saveId: effect.saveId, result: isApplied ? 'applied' : 'unknown', revision: 10, presentRevisions: undefined, isClaimLost: false,
					},
				});
			}
		}
	};

	if (recordedAt >= loadsAt) {
		due.push({at: recordedAt, event: {kind: 'job-recorded', stored}});
	}

	for (let now = loadsAt; now <= observedUntil; now += 25) {
		if (now === loadsAt) {
			apply({kind: 'endpoints-listed', endpoints: ['cut', 'healthy'].map(id => createTestEndpoint(id, pool, {startedAt: 1}))}, now);
			apply({
				kind: 'claim-answered', name: `pool/${pool}`, result: 'applied', token,
			}, now);
			apply({
				kind: 'pool-read',
				pool,
				token,
				jobs: recordedAt < now ? [stored] : [],
				ended: new Map(),
				roster: {endpointIds: ['cut', 'healthy']},
				rosterRevision: 4,
				evacuatedEndpointIds: [],
				durationModels: {},
			}, now);
		}

		if (now === formerToldAt && token === formerOwner.token) {
			apply({
				kind: 'claim-changed', name: `pool/${pool}`, claim: {
					name: `pool/${pool}`, node: newOwner.node, incarnation: 'first', token: newOwner.token,
				},
			}, now);
		}

		for (const {event} of due.filter(({at}) => at === now)) {
			apply(event, now);
		}

		apply({kind: 'tick'}, now);
	}

	return startCount;
}

// Guards against a task that runs twice because a job is recorded between a takeover and the time at which the former owner learns of it: when a cut ends, the former owner may store a job itself before it hears of its loss.
const cases: readonly Case[] = [
	{
		name: 'before the cut', recordedAt: 100, observedUntil: 4500, atLeast: 1, atMost: 1,
	},
	{
		name: 'between the takeover and the end of the former owner', recordedAt: 3000, observedUntil: 4500, atLeast: 0, atMost: 1,
	},
	{
		name: 'after the former owner has learned of its loss', recordedAt: 3500, observedUntil: 14_000, atLeast: 1, atMost: 1,
	},
];

describe('a job', () => {
	it.each(cases)('is started by one of two owners if it is recorded $name', ({atLeast, atMost, ...times}) => {
		const count = countStarts(formerOwner, times) + countStarts(newOwner, times);
		expect(count).toBeGreaterThanOrEqual(atLeast);
		expect(count).toBeLessThanOrEqual(atMost);
	});
});
