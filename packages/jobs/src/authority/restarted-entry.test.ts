import {describe, expect, it} from 'vitest';
import {type JobEffect, type JobEvent, type Roster} from '../model/index.js';
import {
	createStoredTestJob, createTestEndpoint, createTestJob, createTestOwner, createTestPollAnswer,
} from '../testing.test-support.js';

const pool = 'desk';
/** After it, no lease of a previous owner can hold on an endpoint that does not answer. */
const endMs = 10_000;

type Case = {
	readonly name: string;
	readonly roster: Roster;
	readonly endpoints: readonly string[];
	/** Events that the restarted entry gets from what is stored. */
	readonly events?: readonly JobEvent[];
	/** Endpoints on which it starts the four tasks of a job. */
	readonly expected: readonly string[];
};

// Guards against a restarted entry that uses again what had been withdrawn before its restart, as its former process knew and it does not.
const cases: readonly Case[] = [
	{
		name: 'an endpoint that has left is still on the roster', roster: {endpointIds: ['gone', 'here']}, endpoints: ['here'], expected: ['here'],
	},
	{
		name: 'an endpoint that has left may have run tasks', roster: {endpointIds: ['here'], silentRuns: {gone: [{taskId: 'job.0.0.1', run: 1}]}}, endpoints: ['here'], expected: ['here'],
	},
	{
		name: 'an endpoint is being evacuated', roster: {endpointIds: ['here', 'leaving']}, endpoints: ['here', 'leaving'], events: [{
			kind: 'evacuation-requested', request: {
				requestId: '4-1', pool, endpointId: 'leaving', machine: 'm', purpose: 'maintenance', dueAt: 0,
			},
		}], expected: ['here'],
	},
	{
		name: 'an endpoint is draining', roster: {endpointIds: ['draining', 'here']}, endpoints: ['draining', 'here'], events: [{
			kind: 'endpoint-changed', endpoint: createTestEndpoint('draining', pool, {startedAt: 1, state: 'draining', remainingMs: 500}),
		}], expected: ['here'],
	},
	{
		name: 'an endpoint belongs to another pool now', roster: {endpointIds: ['here', 'moved']}, endpoints: ['here'], events: [{
			kind: 'endpoint-changed', endpoint: createTestEndpoint('moved', 'notify', {startedAt: 2}),
		}], expected: ['here'],
	},
];

describe('an entry that has restarted', () => {
	it.each(cases)('starts tasks only where it may: $name', ({roster, endpoints, events = [], expected}) => {
		const owner = createTestOwner({roster, endpoints, jobs: [createStoredTestJob(createTestJob('job', [{count: 4}]))]});
		for (const event of events) {
			owner.apply(event, 0);
		}

		const starts: JobEffect[] = [];
		for (let now = 25; now < endMs; now += 25) {
			const answers = endpoints.map(endpointId => createTestPollAnswer(endpointId, 1000 + now));
			starts.push(...[...answers, {kind: 'tick'} as const].flatMap(event => owner.apply(event, now)).filter(({kind}) => kind === 'start-task'));
		}

		expect([...new Set(starts.map(effect => effect.kind === 'start-task' ? effect.target.endpointId : ''))]).toEqual(expected);
	});
});
