import {
	type AttemptEnding, type AttemptFailure, type ListedInstance, type PoolName, type PoolWork,
} from '@pistachiogauge/model';
import {emitEffect, passEvent, type Output} from '../chain.js';
import {getServiceTimes, recordServiceTime} from '../admission/index.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getPoolPermissionExpiry} from '../membership/index.js';
import {getRetryTokens, isNotExecutedStatus, maxAttempts} from '../retry/index.js';
import {chooseFlow} from './choose-flow.js';
import {chooseInstance, countFreeSlots, listUsableInstances} from './choose-instance.js';
import {getFlowKey, type Flow, type RunningAttempt} from './dispatch-state.js';
import {getQueue} from './flows.js';
import {addTimed, removeDue} from './time-heap.js';
import {updateUsage} from './usage.js';
import {releaseDelayed, takeFirst} from './waiting.js';

/** An answer that takes this many times the 99.9th percentile is taken for lost with its connection. */
const firstAnswerFactor = 3;
/** Shorter limits would cut off answers for a pause of the process or the network. */
const minFirstAnswerMs = 250;
/** With fewer runs the 99.9th percentile is only the longest one so far, and the limit leaves more room. */
const minKnownRuns = 100;
const firstAnswerFactorFewRuns = 10;
/** Longest time that a slot is held for work whose answer never came. */
const maxHoldMs = 30_000;
/** Bounds of the pause after a refusal for lack of slots. */
const minRefusalPauseMs = 50;
const maxRefusalPauseMs = 1000;

/** Whether the endpoint may still be at work after an attempt that ended this way. */
const mayStillRun: Readonly<Record<AttemptFailure, boolean>> = {
	'not-sent': false, 'connection-lost': true, 'answer-truncated': false, 'answer-timeout': true,
};

/** Starts requests of a pool while it has free slots. @internal */
export function startWork(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	const queue = getQueue(state, pool);
	if (queue.waitingCount === 0) {
		return outputs;
	}

	const notAfter = getPoolPermissionExpiry(state, pool, context.now);
	if (notAfter === undefined) {
		return outputs;
	}

	releaseDelayed(queue, context);
	const slots = state.bundle.current?.pools[pool]?.slotsPerInstance ?? 0;
	const instances = listUsableInstances(state, pool, context);
	queue.slotCount = instances.length * slots;
	let freeSlots = countFreeSlots(state, instances);
	while (freeSlots > 0) {
		const flow = chooseFlow(state, queue, freeSlots, context);
		if (flow === undefined) {
			break;
		}

		const first = takeFirst(state, flow, context);
		outputs.push(...first.outputs);
		if (first.work !== undefined) {
			// A slot is free, so there is an instance.
			const instance = chooseInstance(state, instances, first.work, context)!;
			outputs.push(startAttempt(state, first.work, {flow, instance, notAfter}, context));
			freeSlots -= 1;
		}
	}

	return outputs;
}

/** Ends an attempt and frees its slot, unless the endpoint may still work on it. @internal */
export function endAttempt(state: EntryState, attemptId: string, ending: AttemptEnding, context: DecisionContext): Output[] {
	const {dispatch} = state;
	const attempt = dispatch.attempts.get(attemptId);
	if (attempt === undefined) {
		return [];
	}

	const {work, instanceId, startedAt} = attempt;
	const flow = dispatch.queues.get(work.pool)?.flows.get(getFlowKey(state, work.request));
	dispatch.attempts.delete(attemptId);
	dispatch.present.delete(work.request.requestId);
	if (ending.kind === 'failed' && mayStillRun[ending.failure]) {
		addTimed(dispatch.heldSlots, computeHoldEnd(state, attempt, context), {instanceId, flow});
	} else {
		releaseSlot(state, instanceId, flow, context);
	}

	if (ending.kind === 'answered') {
		recordAnswer(state, attempt, ending.status, context);
	}

	return [
		passEvent({
			kind: 'attempt-ended', work, instanceId, durationMs: context.now - startedAt, ending,
		}),
		...startWork(state, work.pool, context),
	];
}

/** Frees the slots whose endpoint can be expected to have ended the work. @internal */
export function releaseHeldSlots(state: EntryState, context: DecisionContext): void {
	const {heldSlots} = state.dispatch;
	for (let slot = removeDue(heldSlots, context.now); slot !== undefined; slot = removeDue(heldSlots, context.now)) {
		releaseSlot(state, slot.instanceId, slot.flow, context);
	}
}

type Place = {
	readonly flow: Flow;
	readonly instance: ListedInstance;
	readonly notAfter: number;
};

function startAttempt(state: EntryState, work: PoolWork, {flow, instance, notAfter}: Place, context: DecisionContext): Output {
	const {dispatch, config} = state;
	const {requestId} = work.request;
	dispatch.attemptCount += 1;
	const attemptId = `${config.id}:${dispatch.attemptCount}`;
	dispatch.present.add(requestId);
	dispatch.attempts.set(attemptId, {work, instanceId: instance.id, startedAt: context.now});
	dispatch.busySlots.set(instance.id, (dispatch.busySlots.get(instance.id) ?? 0) + 1);
	updateUsage(flow.usage, 1, context.now);
	updateUsage(flow.longUsage, 1, context.now);
	return emitEffect({
		kind: 'send-endpoint',
		attemptId,
		address: instance.address,
		request: work.request,
		notAfter,
		timeoutMs: computeTimeLimit(state, work, context),
	});
}

/** Time left, or the first-answer limit when a request that takes longer can be sent again over another connection. */
function computeTimeLimit(state: EntryState, work: PoolWork, context: DecisionContext): number {
	const {isIdempotent, service} = work.request;
	const timeLeftMs = work.deadlineAt - context.now;
	const times = getServiceTimes(state, work.request, context);
	const canRetry = isIdempotent && work.triedInstances.length + 1 < maxAttempts && getRetryTokens(state, service) >= 1;
	if (!canRetry || times === undefined) {
		return timeLeftMs;
	}

	const factor = times.count < minKnownRuns ? firstAnswerFactorFewRuns : firstAnswerFactor;
	return Math.min(timeLeftMs, Math.max(minFirstAnswerMs, times.p999Ms * factor));
}

/** The observed 99th percentile from now on: a planned stop waits for the slot, and a lost run cannot hold it for long. */
function computeHoldEnd(state: EntryState, {work, startedAt}: RunningAttempt, context: DecisionContext): number {
	const elapsedMs = context.now - startedAt;
	const times = getServiceTimes(state, work.request, context);
	const expectedMs = elapsedMs + (times?.p99Ms ?? elapsedMs);
	return Math.min(startedAt + expectedMs, context.now + maxHoldMs);
}

function recordAnswer(state: EntryState, {work, instanceId, startedAt}: RunningAttempt, status: number, context: DecisionContext): void {
	if (isNotExecutedStatus(state, work.request.service, status)) {
		const times = getServiceTimes(state, work.request, context);
		const pauseMs = Math.min(maxRefusalPauseMs, Math.max(minRefusalPauseMs, times?.p50Ms ?? 0));
		state.dispatch.refusingUntil.set(instanceId, context.now + pauseMs);
		return;
	}

	state.dispatch.refusingUntil.delete(instanceId);
	// A server error says nothing about how long the work takes: a broken worker answers at once.
	if (status < 500) {
		recordServiceTime(state, work.request, context.now - startedAt, context);
	}
}

function releaseSlot(state: EntryState, instanceId: string, flow: Flow | undefined, context: DecisionContext): void {
	const {busySlots} = state.dispatch;
	const left = (busySlots.get(instanceId) ?? 0) - 1;
	if (left > 0) {
		busySlots.set(instanceId, left);
	} else {
		busySlots.delete(instanceId);
	}

	if (flow !== undefined) {
		updateUsage(flow.usage, -1, context.now);
		updateUsage(flow.longUsage, -1, context.now);
	}
}
