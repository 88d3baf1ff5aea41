import {type DecisionContext} from '@pistachiogauge/chain';
import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {poolClaimPrefix, type JobEventOf, type OrderRefusal} from '../model/index.js';
import {dropRun, dropRuns} from './read-hold.js';
import {getWatch, type SupervisionState, type SupervisedEndpoint} from './supervision-state.js';

/** Pause in ms after an endpoint had less room than was reckoned. */
const noRoomPauseMs = 200;
/** Pause in ms after an endpoint said that it is unhealthy; about a health check's interval. */
const unhealthyPauseMs = 1000;

type StartRefusalHandler = (watch: SupervisedEndpoint, context: DecisionContext) => void;

const startRefusals: Readonly<Partial<Record<OrderRefusal, StartRefusalHandler>>> = {
	'no-room'(watch, context) {
		watch.startsPausedUntil = context.now + noRoomPauseMs;
	},
	unhealthy(watch, context) {
		watch.startsPausedUntil = context.now + unhealthyPauseMs;
	},
	'not-sent'(watch, context) {
		watch.startsPausedUntil = context.now + unhealthyPauseMs;
	},
};

/** Takes an endpoint's refusal of a start, or its silence. @internal */
export function settleStart(supervision: SupervisionState, event: JobEventOf<'start-refused'>, context: DecisionContext): JobOutput[] {
	const {
		endpointId, taskId, run, refusal,
	} = event;
	const watch = getWatch(supervision, event);
	const placed = watch?.runs.get(taskId);
	if (watch === undefined || placed?.run !== run) {
		return [];
	}

	const log = emitLog('info', 'start refused', {
		task: taskId, run, endpoint: endpointId, refusal, token: watch.token,
	});
	const count = emitCount(`starts_refused_total{reason="${refusal}"}`);
	if (refusal === 'no-answer') {
		if (placed.phase === 'starting') {
			placed.phase = 'unconfirmed';
		}

		// Where the endpoint has answered since, the order or its answer was lost on the way, and others need not be.
		if (watch.clockReadAt < placed.startedAt) {
			watch.startsPausedUntil = context.now + unhealthyPauseMs;
		}

		return [log, count];
	}

	startRefusals[refusal]?.(watch, context);
	return [log, count, ...settleRefusal(watch, refusal, context), ...(watch.runs.has(taskId) ? dropRun(watch, placed, 'not-started') : [])];
}

type RefusalHandler = (watch: SupervisedEndpoint, context: DecisionContext) => JobOutput[];

const noteSilence: RefusalHandler = (watch, context) => {
	if (watch.phase === 'answering') {
		watch.phase = 'silent';
		watch.silentSince = context.now;
		return [emitLog('warn', 'endpoint silent', {
			endpoint: watch.id, pool: watch.pool, runs: watch.runs.size, lastAnswerAgeMs: Math.round(context.now - watch.clockReadAt),
		})];
	}

	return [];
};

/** What a refusal tells about the endpoint, whatever the order was. */
const refusalHandlers: Readonly<Partial<Record<OrderRefusal, RefusalHandler>>> = {
	fenced: watch => [{
		kind: 'first',
		event: {kind: 'claim-superseded', name: `${poolClaimPrefix}${watch.pool}`, token: watch.token},
	}],
	'other-incarnation': watch => [
		emitLog('warn', 'another endpoint answers at the address', {endpoint: watch.id, address: watch.address}),
		...dropRuns(watch, 'endpoint-restarted'),
	],
};

/** Takes what a refusal tells about an endpoint, whatever the order was. @internal */
export function settleRefusal(watch: SupervisedEndpoint, refusal: OrderRefusal, context: DecisionContext): JobOutput[] {
	const handler = refusalHandlers[refusal];
	if (handler !== undefined) {
		return handler(watch, context);
	}

	return refusal === 'no-answer' || refusal === 'not-sent' || refusal === 'unhealthy' ? noteSilence(watch, context) : [];
}
