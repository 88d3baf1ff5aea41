import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {createJobsState} from '../jobs-state.js';
import {createTestSupervisedEndpoint} from '../testing.test-support.js';
import {supervisionFilter} from './supervision-filter.js';

// Guards against an end that is acknowledged, and so deleted by its endpoint, before it is saved: the task would run again after the next takeover.
const cases = [
	{
		name: 'an end of the endpoint as it runs now', endpointStartedAt: 2, number: 5, unsaved: [6],
	},
	{
		name: 'an end with the same number, from before the endpoint restarted', endpointStartedAt: 1, number: 5, unsaved: [5, 6],
	},
	{
		name: 'an end that was saved before', endpointStartedAt: 2, number: 4, unsaved: [5, 6],
	},
] as const;

describe('a saved end', () => {
	it.each(cases)('counts for its own number only: $name', ({endpointStartedAt, number, unsaved}) => {
		const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
		const endpoint = createTestSupervisedEndpoint('e1', 'desk', {startedAt: 2, unsavedEnds: new Map([5, 6].map(end => [end, {taskId: `job.0.0.${end}`, run: 1}]))});
		state.supervision.endpoints.set('e1', endpoint);
		supervisionFilter.handlers['end-saved']!(state, {
			kind: 'end-saved', endpointId: 'e1', endpointStartedAt, number,
		}, {now: 0, wallTime: 0, random: createRandomSource(1)});
		expect([...endpoint.unsavedEnds.keys()]).toEqual(unsaved);
	});
});
