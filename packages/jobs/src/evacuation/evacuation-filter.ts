import {
	emitEffect, passEvent, restartEvent, type DecisionContext,
} from '@pistachiogauge/chain';
import {type DirectoryView} from '../directory/index.js';
import {emitLog, type JobFilter, type JobOutput} from '../filter.js';
import {findTask, type LedgerView, type Step} from '../ledger/index.js';
import {type EvacuationRequest} from '../model/index.js';
import {type Run, type SupervisionView, type SupervisedEndpoint} from '../supervision/index.js';

/** @public */
export type EvacuationState = {
	/** Endpoints of own pools that are to be empty, by id. */
	readonly requests: Map<string, EvacuationRequest>;
	/** Endpoints that have been reported as empty. */
	readonly confirmed: Set<string>;
};

/** What other filters may ask about endpoints that are to be empty. @public */
export type EvacuationView = {readonly evacuation: {readonly requests: ReadonlyMap<string, EvacuationRequest>}};

/** @public */
export function createEvacuationState(): EvacuationState {
	return {requests: new Map(), confirmed: new Set()};
}

/** Time in ms that a task with a checkpoint may still need to be awaited rather than stopped; about what stop and restore take. */
const awaitMs = 1200;
/** Time in ms after which no stop of a former owner is under way: it takes 900 ms at most, and some for its answer's way. */
const formerStopsMs = 1200;
/** Percentage at which a long-running task is at work. */
const atWorkPercent = 100;

type State = {readonly evacuation: EvacuationState} & LedgerView & SupervisionView & DirectoryView;

/**
Empties endpoints that drain or whose machine is to be ordered away: long-running tasks are started elsewhere, no more of a step at once than may be missed, and others are awaited.

@public
*/
export const evacuationFilter: JobFilter<State> = {
	name: 'evacuation',
	handlers: {
		'evacuation-requested'({evacuation}, {request}) {
			if (evacuation.requests.get(request.endpointId)?.requestId !== request.requestId) {
				evacuation.confirmed.delete(request.endpointId);
			}

			evacuation.requests.set(request.endpointId, request);
			return [];
		},
		'evacuation-withdrawn'({evacuation}, {pool, endpointId}) {
			evacuation.requests.delete(endpointId);
			evacuation.confirmed.delete(endpointId);
			return [passEvent({kind: 'placement-due', pool})];
		},
		'pool-lost'({evacuation}, {pool}) {
			for (const request of evacuation.requests.values()) {
				if (request.pool === pool) {
					evacuation.requests.delete(request.endpointId);
					evacuation.confirmed.delete(request.endpointId);
				}
			}

			return [];
		},
		tick: emptyEndpoints,
	},
};

function emptyEndpoints(state: State, _event: unknown, context: DecisionContext): JobOutput[] {
	const outputs: JobOutput[] = [];
	for (const watch of state.supervision.endpoints.values()) {
		const request = state.evacuation.requests.get(watch.id);
		const endpoint = state.directory.endpoints.get(watch.id);
		const isDraining = endpoint?.state === 'draining';
		if ((request === undefined && !isDraining) || watch.phase !== 'answering') {
			continue;
		}

		const terms = {
			request, remainingMs: isDraining ? endpoint.remainingMs : undefined, now: context.now, wallTime: context.wallTime,
		};
		const {stops, isLongRunning} = stopRuns(state, watch, terms);
		outputs.push(...stops, ...confirmEmpty(state, watch));
		if (isLongRunning) {
			// One at a time: the next is judged in the next tick, with this one away.
			break;
		}
	}

	return outputs;
}

function stopRuns(state: State, watch: Readonly<SupervisedEndpoint>, terms: StopTerms): {readonly stops: JobOutput[]; readonly isLongRunning: boolean} {
	const stops: JobOutput[] = [];
	for (const run of watch.runs.values()) {
		if (run.phase !== 'running' || !mayStop(state, watch, run, terms)) {
			continue;
		}

		stops.push(restartEvent({
			kind: 'run-stop-requested', pool: watch.pool, taskId: run.taskId, reason: terms.request === undefined ? 'endpoint is draining' : `endpoint is wanted for ${terms.request.purpose}`,
		}));
		if (run.isLongRunning) {
			return {stops, isLongRunning: true};
		}
	}

	return {stops, isLongRunning: false};
}

function confirmEmpty(state: State, watch: Readonly<SupervisedEndpoint>): JobOutput[] {
	const request = state.evacuation.requests.get(watch.id);
	const isSurveyed = state.supervision.pools.get(watch.pool)?.surveyedAt !== undefined;
	if (request === undefined || watch.runs.size > 0 || watch.unsavedEnds.size > 0 || !isSurveyed || state.evacuation.confirmed.has(watch.id)) {
		return [];
	}

	state.evacuation.confirmed.add(watch.id);
	return [
		emitLog('info', 'endpoint empty', {endpoint: watch.id, pool: watch.pool, purpose: request.purpose}),
		restartEvent({kind: 'evacuation-completed', pool: watch.pool, endpointId: watch.id}),
		emitEffect({kind: 'confirm-evacuation', token: watch.token, evacuated: {requestId: request.requestId, pool: watch.pool, endpointId: watch.id}}),
	];
}

type StopTerms = {
	readonly request: EvacuationRequest | undefined;
	readonly remainingMs: number | undefined;
	readonly now: number;
	readonly wallTime: number;
};

function mayStop(state: State, watch: Readonly<SupervisedEndpoint>, run: Readonly<Run>, terms: StopTerms): boolean {
	const task = findTask(state.ledger.pools.get(watch.pool), run.taskId);
	if (task === undefined) {
		return false;
	}

	const {spec} = task.step;
	const isDraining = terms.request === undefined;
	if (spec.isLongRunning) {
		// Until the former owner's stops have ended, their tasks are listed as at work.
		const surveyedAt = state.supervision.pools.get(watch.pool)?.surveyedAt ?? Number.POSITIVE_INFINITY;
		return isDraining || (terms.now > surveyedAt + formerStopsMs && countAway(state, task.step, run.taskId) < Math.max(1, spec.missLimit ?? 1));
	}

	const isOverdue = terms.request !== undefined && terms.wallTime > terms.request.dueAt;
	const spentMs = Math.max(1, run.progressedAt - run.startedAt);
	const restMs = run.percent > 0 ? (spentMs * (100 - run.percent)) / run.percent : spec.estimateMs;
	const limitMs = terms.remainingMs === undefined ? awaitMs : Math.min(awaitMs, terms.remainingMs);
	return isOverdue || (spec.isCheckpointing && restMs > limitMs);
}

/** Tasks of a step, other than the given one, that are not at work. @internal */
export function countAway({supervision}: SupervisionView, step: Step, exceptTaskId: string): number {
	let count = 0;
	for (const task of step.tasks) {
		if (task.id === exceptTaskId) {
			continue;
		}

		const isAtWork = [...task.runs].some(([number, endpointId]) => {
			const watch = supervision.endpoints.get(endpointId);
			const run = watch?.runs.get(task.id);
			return watch?.phase === 'answering' && run?.run === number && run.phase === 'running' && run.percent >= atWorkPercent;
		});
		count += isAtWork ? 0 : 1;
	}

	return count;
}
