import {appendItems} from '@pistachiogauge/chain';
import {
	type AttemptResult, type AttemptFailure, type ListedInstance, type PoolName, type PoolWork,
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
import {getOrCreateQueue} from './flows.js';
import {addToHeap, removeDue} from './time-heap.js';
import {updateSlotUsage} from './slot-usage.js';
import {moveDelayedToFlows, removeNextRunnable} from './waiting-requests.js';

/** An attempt that takes this many times the 99.9th percentile times out: its connection is assumed lost. */
const attemptTimeoutFactor = 3;
/** Shorter timeouts would cut off answers during short pauses of the process or the network. */
const minAttemptTimeoutMs = 250;
/** With fewer samples the 99.9th percentile is only the longest service time so far, so the larger factor below applies. */
const minSampleCount = 100;
const attemptTimeoutFactorFewSamples = 10;
/** Longest time that a slot stays in use after an attempt that ended without an answer. */
const maxHoldMs = 30_000;
/** Bounds of the backoff after an endpoint refused a request for lack of slots. */
const minRefusalBackoffMs = 50;
const maxRefusalBackoffMs = 1000;

/** Whether the endpoint may still run the request after an attempt that failed this way. */
const mayStillRunByFailure: Readonly<Record<AttemptFailure, boolean>> = {
	'not-sent': false, 'connection-lost': true, 'answer-truncated': false, 'answer-timeout': true,
};

/** Starts attempts for a pool's waiting requests while it has free slots. @internal */
export function startAttempts(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	const queue = getOrCreateQueue(state, pool);
	if (queue.waitingCount === 0) {
		return outputs;
	}

	const notAfter = getPoolPermissionExpiry(state, pool, context.now);
	if (notAfter === undefined) {
		return outputs;
	}

	moveDelayedToFlows(queue, context);
	const slots = state.bundle.current?.pools[pool]?.slotsPerInstance ?? 0;
	const instances = listUsableInstances(state, pool, context);
	queue.slotCount = instances.length * slots;
	let freeSlots = countFreeSlots(state, instances);
	while (freeSlots > 0) {
		const flow = chooseFlow(state, queue, freeSlots, context);
		if (flow === undefined) {
			break;
		}

		const next = removeNextRunnable(state, flow, context);
		appendItems(outputs, next.outputs);
		if (next.work !== undefined) {
			// `freeSlots` is positive, so an instance has a free slot.
			const instance = chooseInstance(state, instances, next.work, context)!;
			outputs.push(startAttempt(state, next.work, {flow, instance, notAfter}, context));
			freeSlots -= 1;
		}
	}

	return outputs;
}

/** Ends an attempt and releases its slot, unless the endpoint may still run the request. @internal */
export function endAttempt(state: EntryState, attemptId: string, result: AttemptResult, context: DecisionContext): Output[] {
	const {dispatch} = state;
	const attempt = dispatch.attempts.get(attemptId);
	if (attempt === undefined) {
		return [];
	}

	const {work, instanceId, startedAt} = attempt;
	const flow = dispatch.queues.get(work.pool)?.flows.get(getFlowKey(state, work.request));
	dispatch.attempts.delete(attemptId);
	dispatch.queuedOrRunning.delete(work.request.requestId);
	if (result.kind === 'failed' && mayStillRunByFailure[result.failure]) {
		addToHeap(dispatch.heldSlots, computeHoldEnd(state, attempt, context), {instanceId, flow});
	} else {
		releaseSlot(state, instanceId, flow, context);
	}

	if (result.kind === 'answered') {
		recordAnswer(state, attempt, result.status, context);
	}

	return [
		passEvent({
			kind: 'attempt-ended', work, instanceId, durationMs: context.now - startedAt, result,
		}),
		...startAttempts(state, work.pool, context),
	];
}

/** Releases the held slots whose requests can be expected to have ended at the endpoint. @internal */
export function releaseHeldSlots(state: EntryState, context: DecisionContext): void {
	const {heldSlots} = state.dispatch;
	for (let slot = removeDue(heldSlots, context.now); slot !== undefined; slot = removeDue(heldSlots, context.now)) {
		releaseSlot(state, slot.instanceId, slot.flow, context);
	}
}

type AttemptTarget = {
	readonly flow: Flow;
	readonly instance: ListedInstance;
	readonly notAfter: number;
};

function startAttempt(state: EntryState, work: PoolWork, {flow, instance, notAfter}: AttemptTarget, context: DecisionContext): Output {
	const {dispatch, config} = state;
	const {requestId} = work.request;
	dispatch.attemptCount += 1;
	const attemptId = `${config.id}:${dispatch.attemptCount}`;
	dispatch.queuedOrRunning.add(requestId);
	dispatch.attempts.set(attemptId, {work, instanceId: instance.id, startedAt: context.now});
	dispatch.busySlots.set(instance.id, (dispatch.busySlots.get(instance.id) ?? 0) + 1);
	updateSlotUsage(flow.slotUsage, 1, context.now);
	updateSlotUsage(flow.longTermSlotUsage, 1, context.now);
	return emitEffect({
		kind: 'send-endpoint',
		attemptId,
		address: instance.address,
		request: work.request,
		notAfter,
		timeoutMs: computeAttemptTimeout(state, work, context),
	});
}

/** Returns the time left until the deadline, or a shorter timeout if the request can be retried over another connection. */
function computeAttemptTimeout(state: EntryState, work: PoolWork, context: DecisionContext): number {
	const {isIdempotent, service} = work.request;
	const timeLeftMs = work.deadlineAt - context.now;
	const times = getServiceTimes(state, work.request, context);
	const canRetry = isIdempotent && work.triedInstances.length + 1 < maxAttempts && getRetryTokens(state, service) >= 1;
	if (!canRetry || times === undefined) {
		return timeLeftMs;
	}

	const factor = times.count < minSampleCount ? attemptTimeoutFactorFewSamples : attemptTimeoutFactor;
	return Math.min(timeLeftMs, Math.max(minAttemptTimeoutMs, times.p999Ms * factor));
}

/** Holds the slot for the observed 99th percentile from now on. A planned stop of the instance waits for held slots, so an attempt whose result was lost must not hold one for long. */
function computeHoldEnd(state: EntryState, {work, startedAt}: RunningAttempt, context: DecisionContext): number {
	const elapsedMs = context.now - startedAt;
	const times = getServiceTimes(state, work.request, context);
	const expectedMs = elapsedMs + (times?.p99Ms ?? elapsedMs);
	return Math.min(startedAt + expectedMs, context.now + maxHoldMs);
}

function recordAnswer(state: EntryState, {work, instanceId, startedAt}: RunningAttempt, status: number, context: DecisionContext): void {
	if (isNotExecutedStatus(state, work.request.service, status)) {
		const times = getServiceTimes(state, work.request, context);
		const backoffMs = Math.min(maxRefusalBackoffMs, Math.max(minRefusalBackoffMs, times?.p50Ms ?? 0));
		state.dispatch.refusalBackoffUntil.set(instanceId, context.now + backoffMs);
		return;
	}

	state.dispatch.refusalBackoffUntil.delete(instanceId);
	// Server errors are not samples of the service time: a faulty endpoint may answer at once.
	if (status < 500) {
		recordServiceTime(state, work.request, context.now - startedAt, context);
	}
}

function releaseSlot(state: EntryState, instanceId: string, flow: Flow | undefined, context: DecisionContext): void {
	const {busySlots} = state.dispatch;
	const remaining = (busySlots.get(instanceId) ?? 0) - 1;
	if (remaining > 0) {
		busySlots.set(instanceId, remaining);
	} else {
		busySlots.delete(instanceId);
	}

	if (flow !== undefined) {
		updateSlotUsage(flow.slotUsage, -1, context.now);
		updateSlotUsage(flow.longTermSlotUsage, -1, context.now);
	}
}
