import {describe, expect, it} from 'vitest';
import {type JobEvent} from '../model/index.js';
import {
	createStoredTestJob, createTestEndpoint, createTestJob, createTestOwner,
} from '../testing.test-support.js';
import {
	createTestProcess, createTestRefusal, createTestRunLog, type TestOrder, type TestProcess,
} from './test-endpoint.test-support.js';

/** When the job of each name is stored. Its task is started on the restarting endpoint, the first on the roster. */
const earlierStoredAt = 500;
const defaultStoredAt = 2000;
/** When the former process ends without a sign, and when the next one starts under the same id. */
const crashedAt = 2300;
const rebornAt = 2900;
const observedUntil = 40_000;
const stepMs = 25;
const orderTimeoutMs = 700;
const longTaskMs = 13_000;
const shortTaskMs = 800;

/** What becomes of an order: it is lost, or its endpoint carries it out at a time of the test, and it is answered at another one. */
type Fate = 'lost' | {readonly carriedOutAt: number; readonly answeredAt?: number};

type Case = {
	readonly name: string;
	readonly durationMs: number;
	/** When the job is stored, if not before the crash. */
	readonly storedAt?: number;
	/** Whether another job ends on the former process, so that its end is acknowledged. */
	readonly hasEarlierJob?: boolean;
	/** Which orders to the restarting endpoint meet with what; others are answered if it is up and within reach. */
	readonly chooseFate: (order: TestOrder, now: number) => Fate | undefined;
	/** When nobody reaches the endpoint. */
	readonly cut?: {readonly from: number; readonly until: number};
	/** When the directory lists the new process; undefined if it does not. */
	readonly listedAt?: number;
};

const isFirstStart = (order: TestOrder): boolean => order.kind === 'start-task' && order.run === 1 && order.taskId.startsWith('job.');
const holdStart = (carriedOutAt: number) => (order: TestOrder): Fate | undefined => isFirstStart(order) ? {carriedOutAt} : undefined;

/** Plays an owner and two endpoints, one of which starts again under its id. @returns What broke the rule that a task runs once, the endpoint that the task was sent to first, and whether all jobs have ended. */
function playRestart({
	durationMs, chooseFate, cut, listedAt, storedAt = defaultStoredAt, hasEarlierJob = false,
}: Case): {readonly violations: readonly string[]; readonly firstEndpointId: string | undefined; readonly areAllDone: boolean} {
	const owner = createTestOwner({roster: {endpointIds: ['reborn', 'spare']}, endpoints: ['reborn', 'spare'], jobs: []});
	const log = createTestRunLog();
	const start = (name: string, startedAt: number, bornAt: number): TestProcess => createTestProcess({
		name, startedAt, bornAt, durationMs, log,
	});
	const processes = new Map<string, TestProcess | undefined>([['reborn', start('reborn/1', 1, -500_000)], ['spare', start('spare/1', 1, -500_000)]]);
	let firstEndpointId: string | undefined;
	const due: Array<{readonly at: number; readonly run: (now: number) => void}> = [];
	const schedule = (at: number, run: (now: number) => void): void => {
		due.push({at, run});
	};

	function apply(event: JobEvent, now: number): void {
		for (const effect of owner.apply(event, now)) {
			if (effect.kind === 'poll-endpoint' || effect.kind === 'start-task' || effect.kind === 'stop-task') {
				send(effect, now);
			}
		}
	}

	function send(order: TestOrder, now: number): void {
		const id = order.target.endpointId;
		if (isFirstStart(order)) {
			firstEndpointId = id;
		}

		let isAnswered = false;
		const answer = (event: JobEvent) => (at: number): void => {
			if (!isAnswered) {
				isAnswered = true;
				apply(event, at);
			}
		};

		const waitMs = order.kind === 'poll-endpoint' ? order.waitMs : 0;
		schedule(now + waitMs + orderTimeoutMs, answer(createTestRefusal(order, 'no-answer')));
		const fate = id === 'reborn' ? chooseFate(order, now) : undefined;
		const isCut = id === 'reborn' && cut !== undefined && now >= cut.from && now < cut.until;
		if (fate === 'lost' || (fate === undefined && isCut)) {
			return;
		}

		schedule(fate?.carriedOutAt ?? now + Math.min(waitMs, 100), at => {
			const event = processes.get(id)?.carryOut(order, at);
			const answeredAt = fate === undefined ? at + stepMs : fate.answeredAt;
			if (event !== undefined && answeredAt !== undefined) {
				schedule(answeredAt, answer(event));
			}
		});
	}

	const store = (id: string) => (now: number): void => {
		apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob(id, [{}]))}, now);
	};

	schedule(storedAt, store('job'));
	schedule(hasEarlierJob ? earlierStoredAt : observedUntil, store('earlier'));
	schedule(crashedAt, () => {
		processes.get('reborn')?.crash();
		processes.set('reborn', undefined);
	});
	schedule(rebornAt, () => {
		processes.set('reborn', start('reborn/2', 5000, rebornAt));
	});
	schedule(listedAt ?? observedUntil, now => {
		apply({kind: 'endpoint-changed', endpoint: createTestEndpoint('reborn', 'desk', {startedAt: 5000})}, now);
	});
	for (let now = stepMs; now < observedUntil; now += stepMs) {
		for (const process of processes.values()) {
			process?.advance(now);
		}

		for (let index = due.findIndex(({at}) => at <= now); index >= 0; index = due.findIndex(({at}) => at <= now)) {
			due.splice(index, 1)[0]!.run(now);
		}

		apply({kind: 'tick'}, now);
	}

	return {violations: log.violations, firstEndpointId, areAllDone: owner.state.ledger.pools.get('desk')?.jobs.size === 0};
}

// Guards against a task that runs twice, as an order for the former process of its endpoint is carried out by the next one (issue 43).
const cases: readonly Case[] = [
	{
		name: 'a start without an answer is carried out after the restart was seen, while the task runs elsewhere',
		durationMs: longTaskMs, listedAt: 2950, chooseFate: holdStart(4000),
	},
	{
		name: 'a start without an answer is carried out after the restart was seen, when the task is done elsewhere',
		durationMs: shortTaskMs, listedAt: 2950, chooseFate: holdStart(6500),
	},
	{
		name: 'a start without an answer is carried out behind a cut, when the lease of the former process is over',
		durationMs: longTaskMs, listedAt: 2950, cut: {from: 2950, until: 13_000}, chooseFate: holdStart(11_000),
	},
	{
		name: 'a start is answered before a list that the new process made without it',
		durationMs: longTaskMs,
		storedAt: 2800,
		listedAt: 2900,
		chooseFate: (order, now) => isFirstStart(order)
			? {carriedOutAt: 2950, answeredAt: 2975}
			: (order.kind === 'poll-endpoint' && now === 2900 ? {carriedOutAt: 2925, answeredAt: 3000} : undefined),
	},
	{
		name: 'a start is carried out by the new process, whose clock is behind, and the endpoint is cut off before the restart is seen',
		durationMs: longTaskMs,
		storedAt: 2800,
		cut: {from: 2200, until: 20_000},
		chooseFate: order => isFirstStart(order) ? {carriedOutAt: 2925, answeredAt: 2950} : undefined,
	},
	{
		name: 'a start and an acknowledgement are carried out by the new process before the owner reaches it',
		durationMs: 300,
		hasEarlierJob: true,
		listedAt: 3600,
		cut: {from: 2200, until: 3600},
		chooseFate: (order, now) => isFirstStart(order)
			? {carriedOutAt: 2925}
			: (order.kind === 'poll-endpoint' && order.lastSavedEnd > 0 && now > 2050 && now < crashedAt ? {carriedOutAt: 3500} : undefined),
	},
];

describe('a task whose endpoint starts again under the same id', () => {
	it.each(cases)('runs once if $name', input => {
		expect(playRestart(input)).toEqual({violations: [], firstEndpointId: 'reborn', areAllDone: true});
	});
});
