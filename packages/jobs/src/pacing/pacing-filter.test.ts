import {expect, it} from 'vitest';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer,
} from '../testing.test-support.js';

const filler = {taskId: 'job.0.1.0', run: 3};

// Guards against a filler task that stays at 0 % for good, because the new owner takes it to run at full speed.
it.each([
	{name: 'it serves nobody else', tailMs: undefined, paces: [100]},
	{name: 'its other tasks are well within their objective', tailMs: 20, paces: [100]},
	{name: 'its other tasks are close to their objective', tailMs: 80, paces: []},
	{name: 'its other tasks miss their objective', tailMs: 120, paces: [20, 0]},
])('a new owner sets the pace of a filler that it finds on an endpoint to $paces if $name', ({tailMs, paces}) => {
	const job = createTestJob('job', [{isLongRunning: true, tailTargetMs: 100}, {isFiller: true}]);
	const owner = createTestOwner({roster: {endpointIds: ['e1']}, endpoints: ['e1'], jobs: [createStoredTestJob(job)]});
	const running = [
		...(tailMs === undefined ? [] : [{taskId: 'job.0.0.0', run: 2, load: tailMs}]),
		{...filler, load: 0},
	].map(run => ({...run, checkpoint: '', percent: 100}));
	owner.apply({kind: 'tick'}, 25);
	const sent = [];
	for (const now of [50, 1050, 2050]) {
		for (const effect of owner.apply({...createTestPollAnswer('e1', 1000 + now), running}, now)) {
			if (effect.kind === 'pace-task') {
				sent.push(effect.percent);
				owner.apply({
					kind: 'pace-answered', endpointId: 'e1', token: 7, ...filler, percent: effect.percent, refusal: undefined,
				}, now);
			}
		}
	}

	expect(sent).toEqual(paces);
});
