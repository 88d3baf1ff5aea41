import {type JobEvent} from '../model/index.js';
import {
	createStoredTestJob, createTestEndpoint, createTestJob, createTestOwner, createTestPollAnswer, lastGeneration,
} from '../testing.test-support.js';

const storedAt = 21_000;
const crashedAt = 21_050;
const listedAt = 22_000;
const observedUntil = 60_000;
/** A start without an answer can be carried out 12 s after it was sent. @internal */
export const maxOrderDelayMs = 12_000;

/** The start of a task on an endpoint is not answered; the endpoint is listed as a later process and answers nothing. @returns The starts of the task. @internal */
export function playListedRestart({pool, ownsOtherPool, bornAt = 5000}: {readonly pool: string; readonly ownsOtherPool: boolean; readonly bornAt?: number}): ReadonlyArray<{readonly id: string; readonly at: number}> {
	const owner = createTestOwner({roster: {endpointIds: ['moved', 'spare']}, endpoints: ['moved', 'spare'], jobs: []});
	const starts: Array<{readonly id: string; readonly at: number}> = [];
	const due: Array<{readonly at: number; readonly event: JobEvent}> = [];
	const apply = (event: JobEvent, now: number): void => {
		for (const effect of owner.apply(event, now)) {
			if (effect.kind === 'start-task') {
				starts.push({id: effect.target.endpointId, at: now});
				due.push({
					at: now + 700, event: {
						kind: 'start-refused', endpointId: effect.target.endpointId, token: 7, taskId: effect.taskId, run: effect.run, refusal: 'no-answer',
					},
				});
			}
		}
	};

	if (ownsOtherPool) {
		apply({
			kind: 'claim-answered', name: 'pool/lamp', result: 'applied', token: 5,
		}, 0);
		apply({
			kind: 'pool-read', pool: 'lamp', token: 5, jobs: [], ended: new Map(), roster: {endpointIds: []}, rosterRevision: 0, evacuatedEndpointIds: [], durationModels: {},
		}, 0);
	}

	apply({kind: 'endpoint-changed', endpoint: createTestEndpoint('moved', 'desk', {startedAt: 4000})}, 0);
	for (let now = 25; now < observedUntil; now += 25) {
		for (const {event} of due.filter(({at}) => at === now)) {
			apply(event, now);
		}

		if (now < crashedAt) {
			apply({...createTestPollAnswer('moved', 1000 + now), startedAt: 4000}, now);
		} else if (now % 500 === 0) {
			apply({
				kind: 'poll-refused', endpointId: 'moved', token: 7, generation: lastGeneration, refusal: 'no-answer',
			}, now);
		}

		if (now > storedAt + 200 || now < storedAt - 200) {
			apply(createTestPollAnswer('spare', 1000 + now), now);
		}

		if (now === storedAt) {
			apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob('job', [{}]))}, now);
		}

		if (now === listedAt) {
			apply({kind: 'endpoint-changed', endpoint: createTestEndpoint('moved', pool, {startedAt: bornAt})}, now);
		}

		apply({kind: 'tick'}, now);
	}

	return starts;
}
