import {
	appendItems, emitEffect, passEvent, restartEvent, type DecisionContext,
} from '@pistachiogauge/chain';
import {getPermittedMs, type AuthorityView} from '../authority/index.js';
import {type DirectoryView} from '../directory/index.js';
import {emitLog, type JobFilter, type JobOutput} from '../filter.js';
import {findTask, type LedgerView, type Step} from '../ledger/index.js';
import {type Endpoint, type EvacuationRequest} from '../model/index.js';
import {
	isInProgress, servingPercent, type Run, type SupervisedEndpoint, type SupervisionView,
} from '../supervision/index.js';

/** @public */
export type EvacuationState = {
	/** Requests to evacuate endpoints of pools that this entry owns, by endpoint id. */
	readonly requests: Map<string, EvacuationRequest>;
	/** Endpoints that have been confirmed as evacuated. */
	readonly confirmedEndpointIds: Set<string>;
};

/** Read-only view of the evacuation requests, for other filters. @public */
export type EvacuationView = {readonly evacuation: {readonly requests: ReadonlyMap<string, EvacuationRequest>}};

/** @public */
export function createEvacuationState(): EvacuationState {
	return {requests: new Map(), confirmedEndpointIds: new Set()};
}

/** Longest remaining time for which a task with checkpoints is awaited rather than stopped; about what stopping and restoring it takes. */
const maxCompletionWaitMs = 1200;
/** Time after the survey within which a stop of a previous owner may still be in progress: it takes 900 ms at most, plus the network delay of its answer. */
const previousOwnerStopsMs = 1200;

type State = {readonly evacuation: EvacuationState} & AuthorityView & LedgerView & SupervisionView & DirectoryView;

/**
Evacuates endpoints that are draining or whose machine is to be moved or maintained: long-running tasks are restarted elsewhere, with no more of a step unavailable at once than its limit allows, and other tasks are awaited.

@public
*/
export const evacuationFilter: JobFilter<State> = {
	name: 'evacuation',
	handlers: {
		'evacuation-requested'({evacuation}, {request}) {
			if (evacuation.requests.get(request.endpointId)?.requestId !== request.requestId) {
				evacuation.confirmedEndpointIds.delete(request.endpointId);
			}

			evacuation.requests.set(request.endpointId, request);
			return [];
		},
		'evacuation-withdrawn'({evacuation}, {pool, endpointId}) {
			evacuation.requests.delete(endpointId);
			evacuation.confirmedEndpointIds.delete(endpointId);
			return [passEvent({kind: 'placement-due', pool})];
		},
		'pool-lost'({evacuation}, {pool}) {
			for (const request of evacuation.requests.values()) {
				if (request.pool === pool) {
					evacuation.requests.delete(request.endpointId);
					evacuation.confirmedEndpointIds.delete(request.endpointId);
				}
			}

			return [];
		},
		tick: evacuateEndpoints,
	},
};

function evacuateEndpoints(state: State, _event: unknown, context: DecisionContext): JobOutput[] {
	const outputs: JobOutput[] = [];
	for (const endpoint of state.supervision.endpoints.values()) {
		const request = state.evacuation.requests.get(endpoint.id);
		const listed = state.directory.endpoints.get(endpoint.id);
		const isDraining = listed?.state === 'draining' && isOfProcess(listed, endpoint);
		if ((request === undefined && !isDraining) || endpoint.phase !== 'answering' || getPermittedMs(state, endpoint.pool, context) === 0) {
			continue;
		}

		const conditions = {
			request, remainingMs: isDraining ? listed.remainingMs : undefined, now: context.now, wallTime: context.wallTime,
		};
		const {stops, isLongRunning} = stopRuns(state, endpoint, conditions);
		appendItems(outputs, stops);
		appendItems(outputs, confirmEvacuated(state, endpoint));
		if (isLongRunning) {
			// One long-running task at a time: the next one is checked on the next tick, when this one counts as unavailable.
			break;
		}
	}

	return outputs;
}

/** Whether the directory's record of an endpoint is by the process that answers. After a restart it may be by the one before; a start time of 0 is not known. */
function isOfProcess(listed: Endpoint, {startedAt}: Readonly<SupervisedEndpoint>): boolean {
	return listed.startedAt === startedAt || listed.startedAt === 0 || startedAt === 0;
}

function stopRuns(state: State, endpoint: Readonly<SupervisedEndpoint>, conditions: StopConditions): {readonly stops: JobOutput[]; readonly isLongRunning: boolean} {
	const stops: JobOutput[] = [];
	for (const run of endpoint.runs.values()) {
		if (!isInProgress(run) || !mayStop(state, endpoint, run, conditions)) {
			continue;
		}

		stops.push(restartEvent({
			kind: 'run-stop-requested', pool: endpoint.pool, taskId: run.taskId, reason: conditions.request === undefined ? 'endpoint is draining' : `endpoint is being evacuated for ${conditions.request.purpose}`,
		}));
		if (run.isLongRunning) {
			return {stops, isLongRunning: true};
		}
	}

	return {stops, isLongRunning: false};
}

function confirmEvacuated(state: State, endpoint: Readonly<SupervisedEndpoint>): JobOutput[] {
	const request = state.evacuation.requests.get(endpoint.id);
	const pool = state.supervision.pools.get(endpoint.pool);
	if (request === undefined || endpoint.runs.size > 0 || endpoint.unsavedEnds.size > 0 || pool?.surveyedAt === undefined || state.evacuation.confirmedEndpointIds.has(endpoint.id)) {
		return [];
	}

	state.evacuation.confirmedEndpointIds.add(endpoint.id);
	return [
		emitLog('info', 'evacuation of endpoint completed', {endpoint: endpoint.id, pool: endpoint.pool, purpose: request.purpose}),
		restartEvent({kind: 'evacuation-completed', pool: endpoint.pool, endpointId: endpoint.id}),
		emitEffect({kind: 'confirm-evacuation', token: pool.token, evacuated: {requestId: request.requestId, pool: endpoint.pool, endpointId: endpoint.id}}),
	];
}

type StopConditions = {
	readonly request: EvacuationRequest | undefined;
	readonly remainingMs: number | undefined;
	readonly now: number;
	readonly wallTime: number;
};

function mayStop(state: State, endpoint: Readonly<SupervisedEndpoint>, run: Readonly<Run>, conditions: StopConditions): boolean {
	const task = findTask(state.ledger.pools.get(endpoint.pool), run.taskId);
	if (task === undefined) {
		return false;
	}

	const {spec} = task.step;
	const isDraining = conditions.request === undefined;
	if (spec.isLongRunning) {
		// While stops of a previous owner are in progress, endpoints list their tasks as running.
		const surveyedAt = state.supervision.pools.get(endpoint.pool)?.surveyedAt ?? Number.POSITIVE_INFINITY;
		return isDraining || (conditions.now > surveyedAt + previousOwnerStopsMs && countUnavailable(state, task.step, run.taskId) < Math.max(1, spec.missLimit ?? 1));
	}

	const isOverdue = conditions.request !== undefined && conditions.wallTime > conditions.request.dueAt;
	const elapsedMs = Math.max(1, run.progressedClockMs - (run.startedClockMs ?? run.progressedClockMs));
	const remainingWorkMs = run.percent > 0 ? (elapsedMs * (100 - run.percent)) / run.percent : spec.estimateMs;
	const limitMs = conditions.remainingMs === undefined ? maxCompletionWaitMs : Math.min(maxCompletionWaitMs, conditions.remainingMs);
	return isOverdue || (spec.isCheckpointing && remainingWorkMs > limitMs);
}

/** Counts the tasks of a step, other than the given one, that are not serving. @internal */
export function countUnavailable({supervision}: SupervisionView, step: Step, exceptTaskId: string): number {
	let servingCount = 0;
	for (const task of step.tasks.started.values()) {
		const isServing = task.id !== exceptTaskId && [...task.runs].some(([number, endpointId]) => {
			const endpoint = supervision.endpoints.get(endpointId);
			const run = endpoint?.runs.get(task.id);
			return endpoint?.phase === 'answering' && run?.run === number && isInProgress(run) && run.percent >= servingPercent;
		});
		servingCount += isServing ? 1 : 0;
	}

	return step.tasks.size - 1 - servingCount;
}
