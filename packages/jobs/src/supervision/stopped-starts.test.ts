import {describe, expect, it} from 'vitest';
import {
	type JobEffect, type JobEffectOf, type JobEvent, type ReportedEnd, type Roster,
} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer, lastGeneration,
} from '../testing.test-support.js';

/** A task that takes all of the endpoint. */
const fullStep = {room: {cpuMillis: 16_000, memoryMb: 100, gpus: 0}, estimateMs: 1000};
const endpointClockMs = 1000;
const defaultStoredAt = 500;
const startTimeoutMs = 700;
const stopMs = 300;
/** When a second job is stored that needs the whole endpoint. */
const nextStoredAt = 3000;
const observedUntil = 6000;

type Case = {
	readonly name: string;
	/** When the first job is stored. */
	readonly storedAt?: number;
	/** When the first job is cancelled. */
	readonly cancelledAt: number;
	/** When the endpoint carries out the start of the first job; undefined if it never does. */
	readonly carriedOutAt?: number;
	/** Whether the answer to that start arrives. */
	readonly isStartAnswered?: boolean;
	/** Stops that are sent before then are lost. */
	readonly losesStopsUntil?: number;
	/** When the endpoint has a second process, which runs nothing. */
	readonly rebornAt?: number;
	/** Roster of the previous owner, with a run that may still be running there. */
	readonly roster?: Roster;
	/** Until when the endpoint does not answer. */
	readonly silentUntil?: number;
	/** When the endpoint is asked to be evacuated instead of a second job being stored. */
	readonly evacuatedAt?: number;
};

type Play = {readonly nextStartedAt: number | undefined; readonly isEvacuated: boolean; readonly mostUsedMillis: number};

/** Plays an endpoint that carries out the start of a job's only task late or never, while the job is cancelled. */
function play({
	storedAt = defaultStoredAt, cancelledAt, carriedOutAt, isStartAnswered = false, losesStopsUntil = 0, rebornAt, roster = {endpointIds: ['e1']}, silentUntil = 0, evacuatedAt,
}: Case): Play {
	const job = createStoredTestJob(createTestJob('first', [fullStep]));
	const isTakenOver = roster.silentRuns !== undefined;
	const owner = createTestOwner({roster, endpoints: ['e1'], jobs: isTakenOver ? [job] : []});
	const running = new Map<string, number>();
	let ended: ReportedEnd[] = [];
	const timers: Array<{readonly at: number; readonly run: () => void}> = [];
	const stopped = new Set<string>();
	let nextStartedAt: number | undefined;
	let isEvacuated = false;
	let mostUsedMillis = 0;
	let now = 0;
	const apply = (event: JobEvent) => {
		for (const effect of owner.apply(event, now)) {
			handlers[effect.kind]?.(effect as never);
		}
	};

	const start = (taskId: string, run: number) => {
		if (!stopped.has(taskId)) {
			running.set(taskId, run);
			mostUsedMillis = Math.max(mostUsedMillis, running.size * fullStep.room.cpuMillis);
		}
	};

	const answerStart = (taskId: string, run: number, isAnswered: boolean) => {
		timers.push({
			at: now + (isAnswered ? 25 : startTimeoutMs), run() {
				apply(isAnswered
					? {
						kind: 'start-answered', endpointId: 'e1', token: 7, taskId, run, clockMs: endpointClockMs + now,
					}
					: {
						kind: 'start-refused', endpointId: 'e1', token: 7, taskId, run, refusal: 'no-answer',
					});
			},
		});
	};

	const handlers: {readonly [Kind in JobEffect['kind']]?: (effect: JobEffectOf<Kind>) => void} = {
		'start-task'({taskId, run}) {
			if (taskId.startsWith('next')) {
				nextStartedAt ??= now;
				start(taskId, run);
				answerStart(taskId, run, true);
				return;
			}

			answerStart(taskId, run, isStartAnswered);
			if (carriedOutAt !== undefined) {
				timers.push({
					at: carriedOutAt, run() {
						start(taskId, run);
					},
				});
			}
		},
		'stop-task'({taskId, run}) {
			if (now < losesStopsUntil) {
				return;
			}

			stopped.add(taskId);
			timers.push({
				at: now + stopMs, run() {
					if (running.delete(taskId)) {
						ended.push({
							number: 1, taskId, run, outcome: 'stopped', checkpoint: '',
						});
					}
				},
			});
		},
		'poll-endpoint'({lastSavedEnd}) {
			ended = ended.filter(({number}) => number > lastSavedEnd);
		},
		'confirm-evacuation'() {
			isEvacuated = true;
		},
	};

	for (now = 25; now < observedUntil; now += 25) {
		for (const timer of timers.splice(0)) {
			if (timer.at <= now) {
				timer.run();
			} else {
				timers.push(timer);
			}
		}

		if (now === storedAt && !isTakenOver) {
			apply({kind: 'job-recorded', stored: job});
		}

		if (now === cancelledAt) {
			apply({kind: 'job-cancelled', pool: 'desk', jobId: 'first'});
		}

		if (now === nextStoredAt && evacuatedAt === undefined) {
			apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob('next', [fullStep]))});
		}

		if (now === evacuatedAt) {
			apply({
				kind: 'evacuation-requested', request: {
					requestId: '1', pool: 'desk', endpointId: 'e1', machine: 'm1', purpose: 'maintenance', dueAt: now,
				},
			});
		}

		const isReborn = rebornAt !== undefined && now >= rebornAt;
		if (now < silentUntil) {
			apply({
				kind: 'poll-refused', endpointId: 'e1', token: 7, generation: lastGeneration, refusal: 'no-answer',
			});
		} else if (now % 100 === 0) {
			apply({
				...createTestPollAnswer('e1', endpointClockMs + now - (rebornAt ?? 0)),
				startedAt: isReborn ? 2 : 1,
				running: [...running].map(([taskId, run]) => ({
					taskId, run, checkpoint: '', percent: 10, load: 0,
				})),
				ended,
			});
		}

		apply({kind: 'tick'});
	}

	return {nextStartedAt, isEvacuated, mostUsedMillis};
}

const suspected: Roster = {endpointIds: [], silentRuns: {e1: [{taskId: 'first.0.0.0', run: 1}]}};

const cases: readonly Case[] = [
	{
		// Guards against a run that keeps its room for good, as a stop was requested before its start was known to be lost (review/3).
		name: 'the start is lost and the job cancelled before its answer is due', cancelledAt: defaultStoredAt + 100,
	},
	{name: 'the start is lost and the job cancelled afterwards', cancelledAt: defaultStoredAt + startTimeoutMs + 25},
	{
		name: 'the start is carried out late without an answer', cancelledAt: defaultStoredAt + 100, carriedOutAt: defaultStoredAt + 600, losesStopsUntil: defaultStoredAt + 700,
	},
	{
		name: 'the start is answered after the stop was lost', cancelledAt: defaultStoredAt + 25, carriedOutAt: defaultStoredAt + 25, isStartAnswered: true, losesStopsUntil: defaultStoredAt + 200,
	},
	{name: 'the endpoint restarts while the start is awaited', cancelledAt: defaultStoredAt + 100, rebornAt: defaultStoredAt + 300},
	{name: 'the endpoint restarts after the start was lost', cancelledAt: defaultStoredAt + 100, rebornAt: defaultStoredAt + startTimeoutMs + 300},
	{
		name: 'a previous owner did not know whether it runs on a silent endpoint', cancelledAt: 1000, roster: suspected, silentUntil: 2000,
	},
];

describe('a run whose job is cancelled', () => {
	it.each(cases)('makes room once it is certain not to run: $name', input => {
		const {nextStartedAt, mostUsedMillis} = play(input);
		expect(nextStartedAt).toBeGreaterThanOrEqual(nextStoredAt);
		expect(nextStartedAt).toBeLessThanOrEqual(nextStoredAt + 200);
		expect(mostUsedMillis).toBeLessThanOrEqual(fullStep.room.cpuMillis);
	});

	it.each(cases)('lets its endpoint be evacuated: $name', input => {
		expect(play({...input, evacuatedAt: nextStoredAt}).isEvacuated).toBe(true);
	});

	it('keeps its room while it may still begin', () => {
		const {mostUsedMillis, nextStartedAt} = play({
			name: '', storedAt: nextStoredAt - 200, cancelledAt: nextStoredAt - 100, carriedOutAt: nextStoredAt + 400, losesStopsUntil: nextStoredAt + 600,
		});
		expect(mostUsedMillis).toBe(fullStep.room.cpuMillis);
		expect(nextStartedAt).toBeGreaterThan(nextStoredAt + 600);
	});
});
