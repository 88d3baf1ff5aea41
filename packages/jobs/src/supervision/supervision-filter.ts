import {
	appendItems, passEvent, restartEvent, type DecisionContext,
} from '@pistachiogauge/chain';
import {type AuthorityView} from '../authority/index.js';
import {type DirectoryView} from '../directory/index.js';
import {emitLog, type JobFilter, type JobOutput} from '../filter.js';
import {type LedgerView} from '../ledger/index.js';
import {maxOrderGeneration, type Endpoint, type JobEventOf} from '../model/index.js';
import {
	pollAfterSave, pollIfAcknowledgementIsDue, pollIfDue, scheduleNextPoll,
} from './poll-endpoint.js';
import {checkEndpoint} from './check-endpoint.js';
import {checkSurvey} from './check-survey.js';
import {getLateOrderExpiry, getPreviousLeaseExpiry} from './lease-clock.js';
import {applyPollAnswer, stopRun} from './apply-poll-answer.js';
import {dropRuns} from './drop-runs.js';
import {handleReplacedProcess} from './replaced-process.js';
import {recordFormerEndpoint} from './former-endpoints.js';
import {handleRefusal, handleStartRefusal} from './handle-refusals.js';
import {addSuspectedRun, startTask} from './start-task.js';
import {
	findEndpoint, hasShutOutEarlierOrders, noUsage, advanceGeneration, type SupervisedEndpoint, type SupervisedPool, type SupervisionState,
} from './supervision-state.js';

/** Delay before the next poll of an endpoint that did not answer or refused the last one. */
const silentPollDelayMs = 400;

type State = {readonly supervision: SupervisionState} & LedgerView & DirectoryView & AuthorityView;

/**
Supervises the endpoints of the pools that this entry owns: renews their leases, tracks their runs and ends, and resolves the outcome of orders that were not answered.

@public
*/
export const supervisionFilter: JobFilter<State> = {
	name: 'supervision',
	handlers: {
		'pool-loaded'({supervision}, {
			pool, token, roster, evacuatedEndpointIds,
		}, context) {
			removePool(supervision, pool);
			const supervisedPool: SupervisedPool = {
				pool, token, acquiredAt: context.now, unsurveyedIds: new Set(roster.endpointIds), evacuatedIds: new Set(evacuatedEndpointIds), formerEndpoints: new Map(), surveyedAt: undefined,
			};
			supervision.pools.set(pool, supervisedPool);
			for (const id of roster.endpointIds) {
				supervision.endpoints.set(id, {...createSupervisedEndpoint({id, address: ''}, supervisedPool, context), recordedProcess: roster.processes?.[id]});
			}

			const outputs: JobOutput[] = [];
			for (const [endpointId, runs] of Object.entries(roster.silentRuns ?? {})) {
				supervision.endpoints.set(endpointId, {
					...createSupervisedEndpoint({id: endpointId, address: ''}, supervisedPool, context), recordedProcess: roster.processes?.[endpointId], areRunsKnown: true, reportedRunCount: runs.length,
				});
				// At most one run of a task can still be running there; an earlier one has an unsaved end.
				const lastRuns = new Map([...runs].sort((left, right) => left.run - right.run).map(run => [run.taskId, run]));
				appendItems(outputs, [...lastRuns.values()].map(run => restartEvent({
					kind: 'run-suspected', pool, endpointId, ...run,
				})));
			}

			return outputs;
		},
		'pool-lost'({supervision}, {pool}) {
			removePool(supervision, pool);
			return [];
		},
		tick: (state, _event, context) => [
			...applyDirectory(state, context),
			...[...state.supervision.endpoints.values()].flatMap(endpoint => checkEndpoint(state, endpoint, context)),
			...[...state.supervision.pools.values()].flatMap(pool => checkSurvey(state, pool, context.now)),
		],
		'poll-answered'(state, event, context) {
			const endpoint = findEndpoint(state.supervision, event);
			if (endpoint?.generation !== event.generation) {
				return [];
			}

			endpoint.isPollPending = false;
			const phaseBefore = endpoint.phase;
			const outputs = applyPollAnswer(state, endpoint, event, context);
			if (!hasShutOutEarlierOrders(endpoint)) {
				endpoint.nextPollAt = context.now + (endpoint.generation === maxOrderGeneration ? silentPollDelayMs : 0);
				return [...outputs, ...pollIfDue(state, endpoint, context)];
			}

			endpoint.phase = 'answering';
			endpoint.areRunsKnown = true;
			if (endpoint.reportedRunCount !== undefined) {
				endpoint.reportedRunCount = undefined;
				outputs.push(passEvent({kind: 'endpoint-recovered', pool: endpoint.pool, endpointId: endpoint.id}));
			}

			endpoint.silentSince = undefined;
			if (phaseBefore !== 'answering') {
				outputs.push(emitLog('info', 'endpoint started answering', {
					endpoint: endpoint.id, pool: endpoint.pool, before: phaseBefore, token: endpoint.token, runs: endpoint.runs.size, clockMs: event.clockMs,
				}));
			}

			scheduleNextPoll(endpoint, context.now);
			return [
				...outputs,
				...(endpoint.unsavedEnds.size === 0 ? pollAfterSave(state, endpoint, context) : []),
				passEvent({kind: 'placement-due', pool: endpoint.pool}),
			];
		},
		'poll-refused'({supervision}, event, context) {
			const endpoint = findEndpoint(supervision, event);
			if (endpoint?.generation !== event.generation) {
				return [];
			}

			endpoint.isPollPending = false;
			endpoint.hasFailedPoll = true;
			endpoint.nextPollAt = context.now + silentPollDelayMs;
			return handleRefusal(endpoint, event, context);
		},
		'end-saved'(state, {endpointId, endpointStartedAt, number}, context) {
			const endpoint = state.supervision.endpoints.get(endpointId);
			// An endpoint that has restarted numbers its ends anew.
			if (endpoint?.startedAt !== endpointStartedAt || !endpoint.unsavedEnds.delete(number) || endpoint.unsavedEnds.size > 0 || endpoint.phase !== 'answering') {
				return [];
			}

			return pollAfterSave(state, endpoint, context);
		},
		'task-placed': startTask,
		'run-suspected': addSuspectedRun,
		'start-answered': (state, event, context) => confirmStart(state, event, context),
		'start-refused'(state, event, context) {
			const outputs = handleStartRefusal(state.supervision, event, context);
			const endpoint = findEndpoint(state.supervision, event);
			return endpoint === undefined ? outputs : [...outputs, ...pollIfDue(state, endpoint, context), ...pollIfAcknowledgementIsDue(state, endpoint, context)];
		},
		'run-stop-requested'({supervision}, {pool, taskId, reason}, context) {
			const outputs: JobOutput[] = [];
			for (const endpoint of supervision.endpoints.values()) {
				const run = endpoint.pool === pool ? endpoint.runs.get(taskId) : undefined;
				if (run !== undefined && run.stopRequestedAt === undefined) {
					outputs.push(emitLog('info', 'stop of run requested', {
						task: taskId, run: run.run, endpoint: endpoint.id, reason, percent: run.percent, token: endpoint.token,
					}));
					appendItems(outputs, stopRun(endpoint, run, context.now));
				}
			}

			return outputs;
		},
		'stop-answered'({supervision}, event, context) {
			const {refusal} = event;
			const endpoint = findEndpoint(supervision, event);
			// A stop that was not answered is sent again while the run is still listed.
			return endpoint === undefined || refusal === undefined || refusal === 'no-answer' ? [] : handleRefusal(endpoint, {refusal, generation: event.generation}, context);
		},
	},
};

function confirmStart(state: State, event: JobEventOf<'start-answered'>, context: DecisionContext): JobOutput[] {
	const {taskId, run, clockMs} = event;
	const endpoint = findEndpoint(state.supervision, event);
	const placed = endpoint?.runs.get(taskId);
	if (endpoint === undefined || placed?.run !== run) {
		return [];
	}

	placed.phase = 'running';
	const confirmed = passEvent({kind: 'run-confirmed', pool: endpoint.pool, taskId} as const);
	if (clockMs >= (placed.sentAfterClockMs ?? 0)) {
		placed.confirmedClockMs = clockMs;
		return [confirmed, ...pollIfAcknowledgementIsDue(state, endpoint, context)];
	}

	// Only a later process can have answered.
	return [
		confirmed,
		emitLog('warn', 'clock of endpoint is behind its last reading', {
			endpoint: endpoint.id, task: taskId, run, clockMs, lastReadMs: placed.sentAfterClockMs, bornAt: endpoint.startedAt, token: endpoint.token,
		}),
		...(placed.sentToProcess === endpoint.startedAt && !endpoint.isProcessReplaced ? handleReplacedProcess(endpoint, context) : []),
		...pollIfDue(state, endpoint, context),
	];
}

function createSupervisedEndpoint({id, address}: {readonly id: string; readonly address: string}, pool: SupervisedPool, context: DecisionContext): SupervisedEndpoint {
	const former = pool.formerEndpoints.get(id);
	const previousLeaseExpiresAt = Math.max(getPreviousLeaseExpiry(pool.acquiredAt), former?.ordersEndAt ?? 0);
	return {
		id,
		pool: pool.pool,
		token: pool.token,
		address,
		isListed: address !== '',
		phase: context.now > previousLeaseExpiresAt ? 'expired' : 'new',
		startedAt: undefined,
		startableSince: Number.POSITIVE_INFINITY,
		generation: Math.min((former?.generation ?? -1) + 1, maxOrderGeneration),
		answeredGeneration: -1,
		isProcessReplaced: false,
		recordedProcess: former?.startedAt,
		listedProcess: undefined,
		lateStartsUntil: 0,
		clockMs: undefined,
		clockReadAt: 0,
		leaseDeadlineMs: 0,
		previousLeaseExpiresAt,
		lastProcessedEnd: 0,
		acknowledgedEnd: 0,
		acknowledgingEnd: 0,
		acknowledgementHeldSince: undefined,
		hasSeenRestart: false,
		unsavedEnds: new Map(),
		areEndsComplete: false,
		hasUnknownUsage: false,
		unsupervisedRuns: [],
		isPollPending: false,
		hasFailedPoll: false,
		nextPollAt: context.now,
		runs: new Map(),
		usage: noUsage,
		startsPausedUntil: 0,
		areRunsKnown: false,
		reportedRunCount: undefined,
		silentSince: undefined,
		unknownRunsSeenAt: new Map(),
	};
}

function removePool(supervision: SupervisionState, pool: string): void {
	supervision.pools.delete(pool);
	for (const endpoint of supervision.endpoints.values()) {
		if (endpoint.pool === pool) {
			supervision.endpoints.delete(endpoint.id);
		}
	}
}

/** Starts to supervise endpoints that the directory lists, and marks those that it no longer lists. */
function applyDirectory({supervision, directory}: State, context: DecisionContext): JobOutput[] {
	const outputs: JobOutput[] = [];
	for (const endpoint of supervision.endpoints.values()) {
		const isListed = directory.endpoints.get(endpoint.id)?.pool === endpoint.pool;
		if (endpoint.isListed && !isListed) {
			outputs.push(emitLog('info', 'supervised endpoint no longer listed in its pool', {endpoint: endpoint.id, runs: endpoint.runs.size, phase: endpoint.phase}));
		}

		endpoint.isListed = isListed;
	}

	for (const listed of directory.endpoints.values()) {
		const pool = supervision.pools.get(listed.pool);
		if (pool === undefined) {
			continue;
		}

		const endpoint = supervision.endpoints.get(listed.id);
		if (endpoint?.pool !== listed.pool) {
			// The pool of a process never changes, so this is another one.
			if (endpoint !== undefined) {
				recordFormerEndpoint(supervision.pools.get(endpoint.pool)!, endpoint, context.now);
				appendItems(outputs, dropRuns(endpoint, 'endpoint-restarted'));
			}

			supervision.endpoints.set(listed.id, createSupervisedEndpoint(listed, pool, context));
			continue;
		}

		endpoint.address = listed.address;
		handleListedRestart(endpoint, listed, context);
	}

	return outputs;
}

/** Expects orders for a former process to be carried out by the one that the directory lists, until that answers. */
function handleListedRestart(endpoint: SupervisedEndpoint, {startedAt}: Endpoint, {now}: DecisionContext): void {
	const former = endpoint.listedProcess ?? endpoint.recordedProcess ?? endpoint.startedAt;
	const isKnown = former === undefined || startedAt === former || startedAt === endpoint.startedAt;
	endpoint.listedProcess = startedAt;
	if (isKnown) {
		return;
	}

	// Nothing that a further process could carry out is sent after the first restart.
	endpoint.lateStartsUntil = endpoint.lateStartsUntil === 0 ? getLateOrderExpiry(now) : endpoint.lateStartsUntil;
	if (endpoint.startedAt === undefined) {
		// Which starts the previous owner had sent is not known.
		endpoint.previousLeaseExpiresAt = Math.max(endpoint.previousLeaseExpiresAt, endpoint.lateStartsUntil);
		return;
	}

	advanceGeneration(endpoint, now);
}
