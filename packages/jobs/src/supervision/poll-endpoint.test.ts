import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {createTestRun, createTestSupervisedEndpoint} from '../testing.test-support.js';
import {pollEndpoint} from './poll-endpoint.js';
import {type Run} from './supervision-state.js';

const authority = {
	node: 'entry-1', heldClaims: new Map(), validUntil: 1_000_000, wallValidUntil: 1_000_000, isStopping: false,
};
const context = {now: 0, wallTime: 0, random: createRandomSource(1)};

// Guards against a wave that ends late because each moved task is seen to serve only when a long poll times out.
const cases: ReadonlyArray<{readonly name: string; readonly runs: ReadonlyArray<Partial<Run>>; readonly waitMs: number}> = [
	{name: 'no runs', runs: [], waitMs: 2000},
	{name: 'tasks that end by themselves', runs: [{percent: 30}], waitMs: 1000},
	{name: 'a long-running task that serves', runs: [{isLongRunning: true, percent: 100}], waitMs: 1000},
	{name: 'a long-running task that is starting up', runs: [{isLongRunning: true, percent: 100}, {isLongRunning: true, percent: 40}], waitMs: 200},
];

describe('pollEndpoint', () => {
	it.each(cases)('waits $waitMs ms for an end on an endpoint with $name', ({runs, waitMs}) => {
		const endpoint = createTestSupervisedEndpoint('e1', 'desk', {runs: new Map(runs.map((traits, index) => [`task-${index}`, createTestRun(`task-${index}`, traits)]))});
		const [output] = pollEndpoint({authority}, endpoint, context);
		expect(output).toMatchObject({kind: 'sink', effect: {kind: 'poll-endpoint', waitMs}});
	});
});
