import {type DecisionContext} from '@pistachiogauge/chain';
import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {poolClaimPrefix, type JobEventOf, type OrderRefusal} from '../model/index.js';
import {dropRun, dropRuns} from './drop-runs.js';
import {
	findEndpoint, advanceGeneration, type SupervisedEndpoint, type SupervisionState,
} from './supervision-state.js';

/** How long starts are paused on an endpoint that had fewer free resources than computed. */
const noRoomPauseMs = 200;
/** How long starts are paused on an endpoint that is unhealthy, or that did not get or answer a start; about one health check interval. */
const unhealthyPauseMs = 1000;

type StartRefusalHandler = (endpoint: SupervisedEndpoint, context: DecisionContext) => void;

const startRefusalHandlers: Readonly<Partial<Record<OrderRefusal, StartRefusalHandler>>> = {
	'no-room'(endpoint, context) {
		endpoint.startsPausedUntil = context.now + noRoomPauseMs;
	},
	unhealthy(endpoint, context) {
		endpoint.startsPausedUntil = context.now + unhealthyPauseMs;
	},
	'not-sent'(endpoint, context) {
		endpoint.startsPausedUntil = context.now + unhealthyPauseMs;
	},
};

/** Handles a start that an endpoint refused or did not answer. @internal */
export function handleStartRefusal(supervision: SupervisionState, event: JobEventOf<'start-refused'>, context: DecisionContext): JobOutput[] {
	const {
		endpointId, taskId, run, refusal,
	} = event;
	const endpoint = findEndpoint(supervision, event);
	const placed = endpoint?.runs.get(taskId);
	if (endpoint === undefined || placed?.run !== run) {
		return [];
	}

	const log = emitLog('info', 'start of run refused or unanswered', {
		task: taskId, run, endpoint: endpointId, refusal, token: endpoint.token,
	});
	const count = emitCount(`starts_refused_total{reason="${refusal}"}`);
	if (refusal === 'no-answer') {
		if (placed.phase === 'starting') {
			placed.phase = 'unconfirmed';
		}

		if (placed.generation === endpoint.generation) {
			// The answer to the next poll tells what became of the start, and shuts it out if it is still on its way.
			advanceGeneration(endpoint, context.now);
		}

		// If the endpoint has answered since, only this order or its answer was lost, so that other starts need not wait.
		if (endpoint.clockReadAt < placed.startedAt) {
			endpoint.startsPausedUntil = context.now + unhealthyPauseMs;
		}

		return [log, count];
	}

	startRefusalHandlers[refusal]?.(endpoint, context);
	return [log, count, ...handleRefusal(endpoint, {refusal, generation: placed.generation}, context), ...(endpoint.runs.has(taskId) ? dropRun(endpoint, placed, 'not-started') : [])];
}

/** The refusal of an order, and the order's generation. @internal */
export type RefusedOrder = {readonly refusal: OrderRefusal; readonly generation: number};

type RefusalHandler = (endpoint: SupervisedEndpoint, context: DecisionContext) => JobOutput[];

const markSilent: RefusalHandler = (endpoint, context) => {
	if (endpoint.phase === 'answering') {
		endpoint.phase = 'silent';
		endpoint.silentSince = context.now;
		const {nextPollAt} = endpoint;
		advanceGeneration(endpoint, nextPollAt);
		return [emitLog('warn', 'endpoint stopped answering', {
			endpoint: endpoint.id, pool: endpoint.pool, runs: endpoint.runs.size, lastAnswerAgeMs: Math.round(context.now - endpoint.clockReadAt),
		})];
	}

	return [];
};

/** Handlers of refusals that say something about the endpoint itself, whatever the order was. */
const refusalHandlers: Readonly<Partial<Record<OrderRefusal, RefusalHandler>>> = {
	fenced: endpoint => [{
		kind: 'first',
		event: {kind: 'claim-superseded', name: `${poolClaimPrefix}${endpoint.pool}`, token: endpoint.token},
	}],
	'other-incarnation': endpoint => [
		emitLog('warn', 'another endpoint answers at the address', {endpoint: endpoint.id, address: endpoint.address}),
		...dropRuns(endpoint, 'endpoint-restarted'),
	],
};

/** Handles what the refusal of an order, whatever the order was, says about its endpoint: it becomes silent if it did not answer or is unhealthy, its runs are dropped if another incarnation answered, and the claim on its pool counts as superseded if it has seen the token of a later one. @internal */
export function handleRefusal(endpoint: SupervisedEndpoint, {refusal, generation}: RefusedOrder, context: DecisionContext): JobOutput[] {
	if (generation < endpoint.generation) {
		// This entry may have shut it out itself, or its endpoint may have left the address since.
		return [];
	}

	const handler = refusalHandlers[refusal];
	if (handler !== undefined) {
		return handler(endpoint, context);
	}

	return refusal === 'no-answer' || refusal === 'not-sent' || refusal === 'unhealthy' ? markSilent(endpoint, context) : [];
}
