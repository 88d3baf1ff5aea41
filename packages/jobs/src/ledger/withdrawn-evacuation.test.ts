import {describe, expect, it} from 'vitest';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer,
} from '../testing.test-support.js';

const pool = 'desk';
const jobStoredAt = 1000;
const observedUntil = 2000;

/** Whether a task is started on the only endpoint, which the previous owner has evacuated, after the evacuation was withdrawn at the given time. */
function isEndpointUsed(withdrawnAt: number): boolean {
	const owner = createTestOwner({roster: {endpointIds: ['e1']}, endpoints: ['e1'], jobs: []});
	owner.apply({
		kind: 'pool-read', pool, token: 7, jobs: [], ended: new Map(), roster: {endpointIds: ['e1']}, rosterRevision: 4, evacuatedEndpointIds: ['e1'], durationModels: {},
	}, 0);
	let isStarted = false;
	for (let now = 0; now < observedUntil; now += 25) {
		if (now === withdrawnAt) {
			owner.apply({kind: 'evacuation-withdrawn', pool, endpointId: 'e1'}, now);
		}

		if (now === jobStoredAt) {
			owner.apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob('job', [{}]))}, now);
		}

		const effects = [...owner.apply(createTestPollAnswer('e1', 1000 + now), now), ...owner.apply({kind: 'tick'}, now)];
		isStarted ||= effects.some(({kind}) => kind === 'start-task');
	}

	return isStarted;
}

// Guards against an endpoint that stays out of use because the roster without it has not been saved when its evacuation is withdrawn.
const cases: ReadonlyArray<{readonly name: string; readonly withdrawnAt: number}> = [
	{name: 'after the roster was saved', withdrawnAt: 500},
	{name: 'right after the load', withdrawnAt: 0},
];

describe('an endpoint whose evacuation is withdrawn', () => {
	it.each(cases)('is used again if that happens $name', ({withdrawnAt}) => {
		expect(isEndpointUsed(withdrawnAt)).toBe(true);
	});
});
