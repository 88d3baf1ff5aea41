import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {applyJobEvent} from '../apply-job-event.js';
import {createJobsState} from '../jobs-state.js';
import {
	type JobEffect, type JobEffectOf, type JobEvent, type JobEventOf, type OrderTarget, type ProgressRecord, type ReportedEnd, type Roster, type StoredJob,
} from '../model/index.js';
import {createTestEndpoint, createTestJob, listTestConfirmations} from '../testing.test-support.js';

const random = createRandomSource(1);
const pool = 'desk';
/** Timeout of an order that an endpoint does not answer. */
const orderTimeoutMs = 700;
/** Timeout of a call that the store does not answer. */
const storeTimeoutMs = 1200;
/** When the ends are listed; the endpoint answers nothing afterwards. */
const endsListedAt = 100;
/** How long the endpoint does not answer the new owner either. Its lease, of 6 s, goes on. */
const silentForMs = 3000;

/** What becomes of a save; one that is lost is not carried out, and no answer arrives. */
type SaveOutcome = 'applied' | 'refused' | 'lost';

type Case = {
	readonly name: string;
	/** Jobs of one task each, all of them running on the endpoint `cut`. */
	readonly jobCount: number;
	/** How many of them have ended as done when it stops answering. */
	readonly doneCount: number;
	/** Whether the directory lists it after it has stopped answering. */
	readonly isListed: boolean;
	/** What becomes of saves once the ends are listed, before the one that takes the endpoint off the roster. That one is applied, and the owner is lost at that moment. */
	readonly outcome: SaveOutcome;
};

type Report = Pick<JobEventOf<'poll-answered'>, 'ended' | 'running'>;

type Store = {readonly progress: Map<string, {readonly record: ProgressRecord; readonly revision: number}>; roster: Roster; revision: number};

type Owner = {
	readonly apply: (event: JobEvent, now: number) => void;
	/** Effects since the last call; the store confirms the claim at once where they ask for it. */
	readonly takeEffects: (now: number) => JobEffect[];
	readonly token: number;
};

function createOwner(token: number): Owner {
	const state = createJobsState({node: `entry-${token}`, incarnation: 'first', orderLeaseMs: 3000});
	let effects: JobEffect[] = [];
	return {
		token,
		apply(event, now) {
			effects.push(...applyJobEvent(state, event, {now, wallTime: now, random}));
		},
		takeEffects(now) {
			const taken = effects;
			effects = [];
			for (const confirmation of taken.flatMap(effect => listTestConfirmations(effect, token, {now, wallTime: now}))) {
				effects.push(...applyJobEvent(state, confirmation, {now, wallTime: now, random}));
			}

			return taken;
		},
	};
}

/** Lets an owner claim the pool and load the records in the store. */
function loadPool(owner: Owner, store: Store, {jobIds, listed}: {readonly jobIds: readonly string[]; readonly listed: readonly string[]}): void {
	owner.apply({kind: 'endpoints-listed', endpoints: listed.map(id => createTestEndpoint(id, pool, {startedAt: 1}))}, 0);
	owner.apply({
		kind: 'claim-answered', name: `pool/${pool}`, result: 'applied', token: owner.token,
	}, 0);
	const jobs = jobIds.map((id): StoredJob => {
		const {record} = createTestJob(id, [{}]);
		const saved = store.progress.get(record.id);
		return {
			job: record, progress: saved?.record ?? {
				queue: record.queue, status: 'running', steps: {}, lastRun: 1,
			}, revision: saved?.revision ?? 1, isCancelled: false,
		};
	});
	owner.apply({
		kind: 'pool-read',
		pool,
		token: owner.token,
		jobs: jobs.filter(({progress}) => progress.endedAt === undefined),
		ended: new Map(),
		roster: store.roster,
		rosterRevision: 1,
		evacuatedEndpointIds: [],
		durationModels: {},
	}, 0);
}

function applySave(store: Store, {records, roster}: JobEffectOf<'save-progress'>): void {
	store.revision += 1;
	for (const {jobId, progress} of records) {
		store.progress.set(jobId, {record: progress, revision: store.revision});
	}

	store.roster = roster?.roster ?? store.roster;
}

function answerSave({token}: Owner, {saveId}: JobEffectOf<'save-progress'>, outcome: SaveOutcome, revision: number): JobEvent {
	return {
		kind: 'progress-saved', pool, token, saveId, result: outcome === 'lost' ? 'unknown' : outcome, revision, presentRevisions: undefined, isClaimLost: false,
	};
}

function createPollAnswer({endpointId, token, generation}: OrderTarget, now: number, {ended, running}: Report): JobEvent {
	return {
		kind: 'poll-answered', endpointId, token, generation, clockMs: 1000 + now, startedAt: 1, running, ended,
	};
}

function refusePoll({endpointId, token, generation}: OrderTarget): JobEvent {
	return {
		kind: 'poll-refused', endpointId, token, generation, refusal: 'no-answer',
	};
}

const emptyReport: Report = {ended: [], running: []};

/** Reports of the endpoint `cut` before and after the first tasks have ended. */
function createReports({jobCount, doneCount}: Case): {readonly before: Report; readonly after: Report} {
	const running = Array.from({length: jobCount}, (_, index) => ({
		taskId: `job${index}.0.0.0`, run: 1, checkpoint: '', percent: 10, load: 0,
	}));
	const ended = running.slice(0, doneCount).map(({taskId, run}, index): ReportedEnd => ({
		number: index + 1, taskId, run, outcome: 'done', checkpoint: '',
	}));
	return {before: {running, ended: []}, after: {running: running.slice(doneCount), ended}};
}

function listJobIds({jobCount}: Case): string[] {
	return Array.from({length: jobCount}, (_, index) => `job${index}`);
}

/** Plays the former owner until it has saved a roster on which the silent endpoint is not one to be waited for. */
function runFormerOwner(input: Case, store: Store): void {
	const owner = createOwner(7);
	const {before, after} = createReports(input);
	const due: Array<{readonly at: number; readonly event: JobEvent}> = [];
	loadPool(owner, store, {jobIds: listJobIds(input), listed: ['cut', 'healthy']});
	for (let now = 25; now <= 4000; now += 25) {
		for (const {event} of due.filter(({at}) => at === now)) {
			owner.apply(event, now);
		}

		if (now === endsListedAt + 25 && !input.isListed) {
			owner.apply({kind: 'endpoint-removed', endpointId: 'cut'}, now);
		}

		owner.apply({kind: 'tick'}, now);
		for (const effect of owner.takeEffects(now)) {
			if (effect.kind === 'poll-endpoint') {
				const {endpointId} = effect.target;
				const answeredAt = now + 25;
				const report = answeredAt < endsListedAt ? before : after;
				due.push(endpointId === 'cut' && answeredAt > endsListedAt
					? {at: now + orderTimeoutMs, event: refusePoll(effect.target)}
					: {at: answeredAt, event: createPollAnswer(effect.target, answeredAt, endpointId === 'cut' ? report : emptyReport)});
			}

			if (effect.kind === 'save-progress') {
				const isLast = effect.roster !== undefined && !effect.roster.roster.endpointIds.includes('cut');
				const outcome = isLast || now < endsListedAt ? 'applied' : input.outcome;
				if (outcome === 'applied') {
					applySave(store, effect);
				}

				if (isLast) {
					return;
				}

				due.push({at: now + (outcome === 'lost' ? storeTimeoutMs : 25), event: answerSave(owner, effect, outcome, store.revision)});
			}
		}
	}

	throw new Error('The former owner has not saved a roster without the silent endpoint.');
}

/** Lists the jobs whose tasks a new owner starts before the endpoint `cut` answers it. The job `waiting` has run nowhere. */
function listStartedJobs(input: Case): string[] {
	const store: Store = {progress: new Map(), roster: {endpointIds: ['cut', 'healthy']}, revision: 1};
	runFormerOwner(input, store);
	const owner = createOwner(1000);
	const started: string[] = [];
	let due: Array<{readonly at: number; readonly event: JobEvent}> = [];
	loadPool(owner, store, {jobIds: [...listJobIds(input), 'waiting'], listed: input.isListed ? ['cut', 'healthy'] : ['healthy']});
	for (let now = 25; now < silentForMs; now += 25) {
		for (const {event} of due.filter(({at}) => at === now)) {
			owner.apply(event, now);
		}

		due = due.filter(({at}) => at > now);
		owner.apply({kind: 'tick'}, now);
		for (const effect of owner.takeEffects(now)) {
			if (effect.kind === 'start-task') {
				started.push(effect.taskId.split('.', 1)[0]!);
			}

			if (effect.kind === 'poll-endpoint') {
				const {endpointId} = effect.target;
				due.push(endpointId === 'healthy'
					? {at: now + 25, event: createPollAnswer(effect.target, now + 25, emptyReport)}
					: {at: now + orderTimeoutMs, event: refusePoll(effect.target)});
			}

			if (effect.kind === 'save-progress') {
				applySave(store, effect);
				due.push({at: now + 25, event: answerSave(owner, effect, 'applied', store.revision)});
			}
		}
	}

	return started;
}

// Guards against a task that is started again after it has ended as done: a new owner did so at once, while an endpoint that did not answer held the end and listed it later.
const cases: readonly Case[] = [
	{
		name: 'with other runs, while the end is being saved', jobCount: 2, doneCount: 1, isListed: true, outcome: 'lost',
	},
	{
		name: 'without another run, while the end is being saved', jobCount: 1, doneCount: 1, isListed: true, outcome: 'lost',
	},
	{
		name: 'no longer listed, while the end is being saved', jobCount: 1, doneCount: 1, isListed: false, outcome: 'lost',
	},
	{
		name: 'with ends of more jobs than one save can hold', jobCount: 12, doneCount: 10, isListed: true, outcome: 'refused',
	},
	{
		name: 'with an end that is saved with the roster', jobCount: 2, doneCount: 1, isListed: true, outcome: 'refused',
	},
	{
		name: 'with an end that was saved before', jobCount: 2, doneCount: 1, isListed: true, outcome: 'applied',
	},
];

describe('a takeover', () => {
	it.each(cases)('does not restart a task that ended on a silent endpoint, $name', input => {
		expect(listStartedJobs(input)).toEqual(['waiting']);
	});
});
