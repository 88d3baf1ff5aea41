import {passEvent, restartEvent, type DecisionContext} from '@pistachiogauge/chain';
import {type DirectoryView} from '../directory/index.js';
import {emitLog, type JobFilter, type JobOutput} from '../filter.js';
import {type LedgerView} from '../ledger/index.js';
import {pollEndpoint, scheduleNextPoll} from './hold-endpoints.js';
import {getFormerLeaseEnd, hasLapsed} from './lease-clock.js';
import {dropRuns, readPollAnswer, stopRun} from './read-hold.js';
import {settleRefusal, settleStart} from './settle-refusals.js';
import {startTask, suspectRun} from './start-task.js';
import {
	getWatch, type SupervisedPool, type SupervisionState, type SupervisedEndpoint,
} from './supervision-state.js';

/** Pause in ms before a silent endpoint is asked again. */
const silentPauseMs = 400;
/** Time in ms without an answer after which an endpoint counts as silent on record; a lost answer is made up for before. */
const silentNoteMs = 1000;

type State = {readonly supervision: SupervisionState} & LedgerView & DirectoryView;

/**
Holds the endpoints of the pools that this entry owns: keeps their leases, reads what runs and what has ended, and accounts for each order that was not answered.

@public
*/
export const supervisionFilter: JobFilter<State> = {
	name: 'supervision',
	handlers: {
		'pool-loaded'({supervision}, {pool, token, roster}, context) {
			forgetPool(supervision, pool);
			supervision.pools.set(pool, {
				pool, token, acquiredAt: context.now, unsurveyedIds: new Set(roster.endpointIds), surveyedAt: undefined,
			});
			for (const id of roster.endpointIds) {
				supervision.endpoints.set(id, createWatch({id, pool, address: ''}, token, context));
			}

			const outputs: JobOutput[] = [];
			for (const [endpointId, runs] of Object.entries(roster.silentRuns ?? {})) {
				supervision.endpoints.set(endpointId, {...createWatch({id: endpointId, pool, address: ''}, token, context), areRunsKnown: true, reportedRunCount: runs.length});
				outputs.push(...runs.map(run => restartEvent({
					kind: 'run-suspected', pool, endpointId, ...run,
				})));
			}

			return outputs;
		},
		'pool-lost'({supervision}, {pool}) {
			forgetPool(supervision, pool);
			return [];
		},
		tick: (state, _event, context) => [
			...followDirectory(state, context),
			...[...state.supervision.endpoints.values()].flatMap(watch => checkWatch(state, watch, context)),
			...[...state.supervision.pools.values()].flatMap(pool => checkSurvey(state, pool, context.now)),
		],
		'poll-answered'(state, event, context) {
			const watch = getWatch(state.supervision, event);
			if (watch === undefined) {
				return [];
			}

			watch.isPollPending = false;
			const before = watch.phase;
			const outputs = readPollAnswer(state, watch, event, context);
			watch.phase = 'answering';
			watch.areRunsKnown = true;
			if (watch.reportedRunCount !== undefined) {
				watch.reportedRunCount = undefined;
				outputs.push(passEvent({kind: 'endpoint-recovered', pool: watch.pool, endpointId: watch.id}));
			}

			watch.silentSince = undefined;
			if (before !== 'answering') {
				outputs.push(emitLog('info', 'endpoint held', {
					endpoint: watch.id, pool: watch.pool, before, token: watch.token, runs: watch.runs.size, clockMs: event.clockMs,
				}));
			}

			scheduleNextPoll(watch, context.now);
			return [
				...outputs,
				...(watch.unsavedEnds.size === 0 ? pollEndpoint(watch, context) : []),
				passEvent({kind: 'placement-due', pool: watch.pool}),
			];
		},
		'poll-refused'({supervision}, event, context) {
			const watch = getWatch(supervision, event);
			if (watch === undefined) {
				return [];
			}

			watch.isPollPending = false;
			watch.nextPollAt = context.now + silentPauseMs;
			return settleRefusal(watch, event.refusal, context);
		},
		'end-saved'({supervision}, {endpointId, number}, context) {
			const watch = supervision.endpoints.get(endpointId);
			if (watch?.unsavedEnds.delete(number) !== true || watch.unsavedEnds.size > 0 || watch.phase !== 'answering') {
				return [];
			}

			return pollEndpoint(watch, context);
		},
		'task-placed': startTask,
		'run-suspected': suspectRun,
		'start-answered'({supervision}, event) {
			const {taskId, run, clockMs} = event;
			const placed = getWatch(supervision, event)?.runs.get(taskId);
			if (placed?.run === run) {
				placed.confirmedClockMs = clockMs;
				placed.phase = placed.phase === 'starting' || placed.phase === 'unconfirmed' ? 'running' : placed.phase;
			}

			return [];
		},
		'start-refused': ({supervision}, event, context) => settleStart(supervision, event, context),
		'run-stop-requested'({supervision}, {pool, taskId, reason}, context) {
			const outputs: JobOutput[] = [];
			for (const watch of supervision.endpoints.values()) {
				const run = watch.pool === pool ? watch.runs.get(taskId) : undefined;
				if (run !== undefined && run.phase !== 'stopping') {
					outputs.push(
						emitLog('info', 'run stopped', {
							task: taskId, run: run.run, endpoint: watch.id, reason, percent: run.percent, token: watch.token,
						}),
						...stopRun(watch, run, context.now),
					);
				}
			}

			return outputs;
		},
		'stop-answered'({supervision}, event, context) {
			const {refusal} = event;
			const watch = getWatch(supervision, event);
			// An unanswered stop is sent again when the run is still listed.
			return watch === undefined || refusal === undefined || refusal === 'no-answer' ? [] : settleRefusal(watch, refusal, context);
		},
	},
};

function createWatch({id, pool, address}: {readonly id: string; readonly pool: string; readonly address: string}, token: number, context: DecisionContext): SupervisedEndpoint {
	return {
		id,
		pool,
		token,
		address,
		isListed: address !== '',
		phase: 'new',
		startedAt: undefined,
		clockMs: undefined,
		clockReadAt: 0,
		leaseDeadlineMs: 0,
		previousLeaseExpiresAt: getFormerLeaseEnd(context.now),
		lastProcessedEnd: 0,
		unsavedEnds: new Set(),
		isPollPending: false,
		nextPollAt: context.now,
		runs: new Map(),
		startsPausedUntil: 0,
		areRunsKnown: false,
		reportedRunCount: undefined,
		silentSince: undefined,
		unknownRunsSeenAt: new Map(),
	};
}

function forgetPool(supervision: SupervisionState, pool: string): void {
	supervision.pools.delete(pool);
	for (const watch of supervision.endpoints.values()) {
		if (watch.pool === pool) {
			supervision.endpoints.delete(watch.id);
		}
	}
}

/** Begins to hold endpoints that are listed, and notes which are not. */
function followDirectory({supervision, directory}: State, context: DecisionContext): JobOutput[] {
	const outputs: JobOutput[] = [];
	for (const watch of supervision.endpoints.values()) {
		const isListed = directory.endpoints.get(watch.id)?.pool === watch.pool;
		if (watch.isListed && !isListed) {
			outputs.push(emitLog('info', 'endpoint no longer listed', {endpoint: watch.id, runs: watch.runs.size, phase: watch.phase}));
		}

		watch.isListed = isListed;
	}

	for (const endpoint of directory.endpoints.values()) {
		const pool = supervision.pools.get(endpoint.pool);
		if (pool === undefined) {
			continue;
		}

		const watch = supervision.endpoints.get(endpoint.id);
		if (watch?.pool !== endpoint.pool) {
			supervision.endpoints.set(endpoint.id, createWatch(endpoint, pool.token, context));
			continue;
		}

		watch.address = endpoint.address;
		if (watch.startedAt !== undefined && endpoint.startedAt > watch.startedAt) {
			// Another life under the same name: nothing of the former one runs any more.
			outputs.push(emitLog('warn', 'endpoint restarted', {endpoint: watch.id, bornAt: endpoint.startedAt, before: watch.startedAt}), ...dropRuns(watch, 'endpoint-restarted'));
			supervision.endpoints.set(endpoint.id, createWatch(endpoint, pool.token, context));
		}
	}

	return outputs;
}

function checkWatch({supervision}: State, watch: SupervisedEndpoint, context: DecisionContext): JobOutput[] {
	const outputs: JobOutput[] = [];
	if (!watch.isListed && watch.phase === 'silent' && watch.runs.size === 0) {
		// It answered under this token, so nothing but what this entry starts can run there.
		return forgetWatch(supervision, watch);
	}

	if (watch.phase !== 'answering' && hasLapsed(watch, context.now)) {
		outputs.push(...dropRuns(watch, 'lease-expired'));
		if (!watch.isListed && !watch.isPollPending) {
			return [...outputs, ...forgetWatch(supervision, watch)];
		}

		if (watch.phase !== 'expired') {
			watch.phase = 'expired';
			outputs.push(emitLog('warn', 'lease of endpoint ran out', {endpoint: watch.id, pool: watch.pool, silentMs: Math.round(context.now - (watch.silentSince ?? context.now))}));
		}
	}

	const isLasting = watch.silentSince === undefined || context.now > watch.silentSince + silentNoteMs;
	if (watch.phase !== 'answering' && watch.areRunsKnown && isLasting && watch.reportedRunCount !== watch.runs.size) {
		watch.reportedRunCount = watch.runs.size;
		outputs.push(passEvent({
			kind: 'endpoint-silent', pool: watch.pool, endpointId: watch.id, runs: [...watch.runs.values()].map(({taskId, run}) => ({taskId, run})),
		}));
	}

	if (!watch.isPollPending && context.now >= watch.nextPollAt && watch.address !== '') {
		outputs.push(...pollEndpoint(watch, context));
	}

	return outputs;
}

function forgetWatch(supervision: SupervisionState, watch: SupervisedEndpoint): JobOutput[] {
	supervision.endpoints.delete(watch.id);
	return [
		emitLog('info', 'endpoint forgotten', {endpoint: watch.id, pool: watch.pool, phase: watch.phase}),
		passEvent({kind: 'endpoint-forgotten', pool: watch.pool, endpointId: watch.id}),
	];
}

/**
The survey ends once every endpoint on the former owner's roster has told what it runs, or cannot run anything any more. Endpoints that came later had no tasks from it, as they were not on the roster.
*/
function checkSurvey({supervision, directory}: State, pool: SupervisedPool, now: number): JobOutput[] {
	if (pool.surveyedAt !== undefined || directory.listedAt === undefined) {
		return [];
	}

	for (const id of pool.unsurveyedIds) {
		const watch = supervision.endpoints.get(id);
		if (watch === undefined || watch.phase === 'answering' || watch.phase === 'expired') {
			pool.unsurveyedIds.delete(id);
		}
	}

	if (pool.unsurveyedIds.size > 0) {
		return [];
	}

	pool.surveyedAt = now;
	return [
		emitLog('info', 'pool surveyed', {pool: pool.pool, token: pool.token}),
		passEvent({kind: 'pool-surveyed', pool: pool.pool}),
	];
}
