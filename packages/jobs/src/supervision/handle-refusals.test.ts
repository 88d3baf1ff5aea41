import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {type OrderRefusal} from '../model/index.js';
import {createTestRun, createTestSupervisedEndpoint} from '../testing.test-support.js';
import {handleStartRefusal} from './handle-refusals.js';
import {type SupervisionState} from './supervision-state.js';

const context = {now: 1700, wallTime: 1700, random: createRandomSource(1)};

// Guards against idle capacity when answers are lost: one order in twenty was not answered and carried out late, and a pause of one second after each left half of a pool's capacity unused while tasks waited.
const cases: ReadonlyArray<{readonly name: string; readonly refusal: OrderRefusal; readonly answeredAt: number; readonly isPaused: boolean}> = [
	{
		name: 'no answer to the start, nor to anything since', refusal: 'no-answer', answeredAt: 900, isPaused: true,
	},
	{
		name: 'no answer to the start, but the endpoint has answered since', refusal: 'no-answer', answeredAt: 1200, isPaused: false,
	},
	{
		name: 'unhealthy', refusal: 'unhealthy', answeredAt: 1200, isPaused: true,
	},
	{
		name: 'no room', refusal: 'no-room', answeredAt: 1200, isPaused: true,
	},
];

describe('handleStartRefusal', () => {
	it.each(cases)('$name: further starts are paused: $isPaused', ({refusal, answeredAt, isPaused}) => {
		const endpoint = createTestSupervisedEndpoint('endpoint-1', 'desk', {clockReadAt: answeredAt});
		endpoint.runs.set('job.0.0.0', createTestRun('job.0.0.0', {startedAt: 1000}));
		const supervision: SupervisionState = {pools: new Map(), endpoints: new Map([[endpoint.id, endpoint]])};
		handleStartRefusal(supervision, {
			kind: 'start-refused', endpointId: endpoint.id, token: endpoint.token, taskId: 'job.0.0.0', run: 1, refusal,
		}, context);
		expect(endpoint.startsPausedUntil > context.now).toBe(isPaused);
	});
});
