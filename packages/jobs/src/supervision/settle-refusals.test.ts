import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {type OrderRefusal} from '../model/index.js';
import {createTestRun, createTestSupervisedEndpoint} from '../testing.test-support.js';
import {settleStart} from './settle-refusals.js';
import {type SupervisionState} from './supervision-state.js';

const context = {now: 1700, wallTime: 1700, random: createRandomSource(1)};

// Pattern: one order in twenty gets no answer and is carried out late. An endpoint was left alone for a second after each, so half of a pool's room stood empty while work waited.
const cases: ReadonlyArray<{readonly name: string; readonly refusal: OrderRefusal; readonly answeredAt: number; readonly isPaused: boolean}> = [
	{
		name: 'no answer, and none since', refusal: 'no-answer', answeredAt: 900, isPaused: true,
	},
	{
		name: 'no answer, though it has answered since', refusal: 'no-answer', answeredAt: 1200, isPaused: false,
	},
	{
		name: 'unhealthy', refusal: 'unhealthy', answeredAt: 1200, isPaused: true,
	},
	{
		name: 'no room', refusal: 'no-room', answeredAt: 1200, isPaused: true,
	},
];

describe('settleStart', () => {
	it.each(cases)('$name: starts there are put off: $isPaused', ({refusal, answeredAt, isPaused}) => {
		const watch = createTestSupervisedEndpoint('endpoint-1', 'desk', {clockReadAt: answeredAt});
		watch.runs.set('job.0.0.0', createTestRun('job.0.0.0', {startedAt: 1000}));
		const supervision: SupervisionState = {pools: new Map(), endpoints: new Map([[watch.id, watch]])};
		settleStart(supervision, {
			kind: 'start-refused', endpointId: watch.id, token: watch.token, taskId: 'job.0.0.0', run: 1, refusal,
		}, context);
		expect(watch.startsPausedUntil > context.now).toBe(isPaused);
	});
});
