import {emitEffect} from '@pistachiogauge/chain';
import {type ConfigurationView} from '../configuration/index.js';
import {
	emitCount, emitLog, type JobFilter, type JobOutput,
} from '../filter.js';
import {
	type CallerAction, type CallerAnswer, type JobEventOf, type JobRecord, type Queue,
} from '../model/index.js';
import {type LedgerView} from '../ledger/ledger-state.js';

/** A caller's request whose answer waits for the store. @public */
export type OpenRequest = {
	readonly action: CallerAction;
	readonly queue: Queue;
	readonly jobId: string;
	readonly version: number;
	readonly askedAt: number;
};

/** @public */
export type IntakeState = {
	readonly open: Map<string, OpenRequest>;
	isStoreReached: boolean;
};

type State = {readonly intake: IntakeState} & ConfigurationView & LedgerView;

/** Time to come back after a refusal because the store is out of reach, in ms; the balancer leads the caller to another entry meanwhile. */
const storeRetryMs = 1000;

/** @public */
export function createIntakeState(): IntakeState {
	return {open: new Map(), isStoreReached: false};
}

type ActionHandler = (state: State, request: JobEventOf<'caller-requested'>, queue: Queue, wallTime: number) => JobOutput[];

const actionHandlers: Readonly<Record<CallerAction, ActionHandler>> = {
	submit(_state, {requestId, jobId, spec}, queue, wallTime) {
		if (spec === undefined) {
			return [answerCaller(requestId, 'submit', {kind: 'invalid', message: 'the body is not a job'})];
		}

		const job: JobRecord = {
			id: jobId,
			queue: queue.name,
			pool: queue.pool,
			spec,
			priority: queue.priority,
			attempts: queue.attempts,
			stretch: queue.stretch,
			latencyTargetMs: queue.latencyTargetMs,
			advice: queue.advice,
			acceptedAt: wallTime,
		};
		return [emitEffect({kind: 'store-job', requestId, job})];
	},
	get(state, {requestId, jobId}, queue) {
		const ended = state.ledger.pools.get(queue.pool)?.endedJobs.get(jobId);
		if (ended?.queue === queue.name) {
			// What has ended and is on record stays so, whoever owns the pool by now.
			return [answerCaller(requestId, 'get', {kind: 'status', status: ended.status})];
		}

		return [emitEffect({
			kind: 'read-progress', requestId, pool: queue.pool, jobId,
		})];
	},
	cancel: (_state, {requestId, jobId}, queue) => [emitEffect({
		kind: 'read-progress', requestId, pool: queue.pool, jobId,
	})],
	count: (_state, {requestId}, queue) => [emitEffect({kind: 'read-report', requestId, pool: queue.pool})],
};

/**
Takes callers' requests at any entry. A job is accepted once its record is in the store, and from then on whoever owns the pool runs it.

@public
*/
export const intakeFilter: JobFilter<State> = {
	name: 'intake',
	handlers: {
		'caller-requested'(state, event, context) {
			const {requestId, action, jobId} = event;
			const {current} = state.configuration;
			const queue = current?.queues.find(({name}) => name === event.queue);
			if (current === undefined || queue === undefined) {
				return [answerCaller(requestId, action, current === undefined
					? {kind: 'refused', reason: 'no configuration has been read yet', retryAfterMs: storeRetryMs}
					: {kind: 'unknown-queue'})];
			}

			if (!state.intake.isStoreReached) {
				return [
					answerCaller(requestId, action, {kind: 'refused', reason: 'the store is out of reach', retryAfterMs: storeRetryMs}),
					emitCount(`requests_total{action="${action}",answer="refused"}`),
					emitLog('warn', 'request refused', {
						request: requestId, action, job: jobId, queue: queue.name, reason: 'the store is out of reach',
					}),
				];
			}

			const outputs = actionHandlers[action](state, event, queue, context.wallTime);
			if (outputs.every(output => output.kind !== 'sink' || output.effect.kind !== 'answer-caller')) {
				state.intake.open.set(requestId, {
					action, queue, jobId, version: current.version, askedAt: context.now,
				});
			}

			return outputs;
		},
		'store-reached'({intake}) {
			intake.isStoreReached = true;
			return [emitLog('info', 'store reached', {})];
		},
		'store-lost'({intake}) {
			intake.isStoreReached = false;
			return [emitLog('warn', 'store lost', {})];
		},
		'job-stored': (state, {requestId, result}, context) => settleRequest(state, requestId, context.now, {
			// The record is there already: the same job handed in again.
			conflict: {kind: 'accepted'},
			applied: {kind: 'accepted'},
			refused: {kind: 'refused', reason: 'the store did not take the job', retryAfterMs: storeRetryMs},
			unknown: {kind: 'undecided', reason: 'the store has not answered'},
		}[result] as CallerAnswer),
		'progress-read'(state, {requestId, result, progress}, context) {
			const request = state.intake.open.get(requestId);
			if (request === undefined) {
				return [];
			}

			if (result === 'failed') {
				return settleRequest(state, requestId, context.now, {kind: 'refused', reason: 'the store cannot be read', retryAfterMs: storeRetryMs});
			}

			if (progress?.queue !== request.queue.name) {
				return settleRequest(state, requestId, context.now, {kind: 'unknown-job'});
			}

			if (request.action === 'cancel' && (progress.status === 'queued' || progress.status === 'running')) {
				return [emitEffect({
					kind: 'store-cancel', requestId, pool: request.queue.pool, jobId: request.jobId,
				})];
			}

			return settleRequest(state, requestId, context.now, request.action === 'cancel' ? {kind: 'cancelled'} : {kind: 'status', status: progress.status});
		},
		'cancel-stored': (state, {requestId, result}, context) => settleRequest(state, requestId, context.now, {
			conflict: {kind: 'cancelled'},
			applied: {kind: 'cancelled'},
			refused: {kind: 'refused', reason: 'the store did not take the cancellation', retryAfterMs: storeRetryMs},
			unknown: {kind: 'undecided', reason: 'the store has not answered'},
		}[result] as CallerAnswer),
		'report-read'(state, {requestId, result, report}, context) {
			const request = state.intake.open.get(requestId);
			if (request === undefined) {
				return [];
			}

			return settleRequest(state, requestId, context.now, result === 'failed'
				? {kind: 'refused', reason: 'the store cannot be read', retryAfterMs: storeRetryMs}
				: {kind: 'waiting', waiting: report?.waiting[request.queue.name] ?? 0});
		},
	},
};

function settleRequest(state: State, requestId: string, now: number, answer: CallerAnswer): JobOutput[] {
	const request = state.intake.open.get(requestId);
	if (request === undefined) {
		return [];
	}

	state.intake.open.delete(requestId);
	const tookMs = now - request.askedAt;
	return [
		answerCaller(requestId, request.action, answer),
		emitCount(`requests_total{action="${request.action}",answer="${answer.kind}"}`),
		emitEffect({kind: 'record-value', metric: `request_duration_ms{action="${request.action}"}`, value: tookMs}),
		emitLog(answer.kind === 'refused' || answer.kind === 'undecided' ? 'warn' : 'info', 'request answered', {
			request: requestId, action: request.action, job: request.jobId, queue: request.queue.name, configuration: request.version, answer, tookMs: Math.round(tookMs),
		}),
	];
}

function answerCaller(requestId: string, action: CallerAction, answer: CallerAnswer): JobOutput {
	return emitEffect({
		kind: 'answer-caller', requestId, action, answer,
	});
}
