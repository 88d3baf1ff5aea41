import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {
	isActive, isStepDone, type LedgerView, type Step,
} from '../ledger/index.js';
import {type JobEventOf} from '../model/index.js';
import {type Candidate} from './choose-endpoint.js';
import {type PlacementState, type StepAdvice, type Ticket} from './placement-state.js';

/** Maximum number of endpoints that the advice service accepts in one call. */
const maxEndpointsPerCall = 100;
/** Number of endpoints in a call while it is not known that few are allowed: each one takes the service some time, and it handles one call at a time. */
const usualEndpointsPerCall = 30;
/** Limit of the time that the service takes for the endpoints in one call. */
const maxNamingMs = 800;
/** Maximum number of unanswered calls of this entry: one that the service handles and one that waits. More would only wait there, in the order in which they were sent instead of that of the jobs. */
const maxPendingCalls = 2;
/** Delay before advice is requested again after a call that failed. */
const retryDelayMs = 300;
/** Time that a start takes to its endpoint, by which tickets are used earlier. */
const ticketMarginMs = 150;

type State = {readonly placement: PlacementState};

/** Returns the id of a step in calls to the advice service. */
function getStepId(step: Step): string {
	return `${step.job.record.id}.${step.key}`;
}

/** Lists the candidates on which a step may be started now: all, or those with valid tickets if its queue requires advice. @internal */
export function listTicketedCandidates({placement}: State, step: Step, candidates: readonly Candidate[], {now}: DecisionContext): readonly Candidate[] {
	if (step.job.record.advice === undefined) {
		return candidates;
	}

	const advice = placement.advice.get(getStepId(step));
	return advice === undefined ? [] : candidates.filter(candidate => (findTicket(advice, candidate)?.validUntil ?? now) > now);
}

/** Finds the ticket for starting a step on an endpoint; undefined if its queue requires none. @internal */
export function getTicket({placement}: State, step: Step, {endpoint}: Candidate): string | undefined {
	return placement.advice.get(getStepId(step))?.tickets.get(endpoint.id)?.ticket;
}

/** Lists the candidates that may run a step, whether their tickets are valid or have expired. @internal */
export function listAllowedCandidates({placement}: State, step: Step, candidates: readonly Candidate[]): readonly Candidate[] {
	const advice = placement.advice.get(getStepId(step));
	return advice === undefined ? [] : candidates.filter(candidate => findTicket(advice, candidate) !== undefined);
}

/** Lists the candidates of which it is not known that they may not run a step. @internal */
export function listUnbarredCandidates({placement}: State, step: Step, candidates: readonly Candidate[]): readonly Candidate[] {
	const advice = step.job.record.advice === undefined ? undefined : placement.advice.get(getStepId(step));
	return advice === undefined ? candidates : candidates.filter(candidate => !isBarred(advice, candidate));
}

/** Whether advice on a step may be requested now: its queue requires it, no call about the step is open, and few calls are. @internal */
export function canRequestAdvice({placement}: State, step: Step, {now}: DecisionContext): boolean {
	const advice = placement.advice.get(getStepId(step));
	return step.job.record.advice !== undefined && advice?.requested === undefined && now >= (advice?.retryAt ?? now) && countPendingCalls(placement) < maxPendingCalls;
}

/**
Requests advice for a step whose tasks cannot all be started on the endpoints with valid tickets.

@param renewable - Endpoints that may run the step and whose tickets are worth renewing.
@param others - Endpoints that have room for the step, best first; those that it is known not to be allowed on are left out.
@returns Nothing if there is nothing to ask about.
@internal
*/
export function requestAdvice({placement}: State, step: Step, {renewable, others}: {readonly renewable: readonly Candidate[]; readonly others: readonly Candidate[]}, {now}: DecisionContext): JobOutput[] {
	const {record} = step.job;
	const stepId = getStepId(step);
	const advice: StepAdvice = placement.advice.get(stepId) ?? {
		step, tickets: new Map(), barred: new Map(), requested: undefined, retryAt: now,
	};
	const expired = renewable.filter(candidate => (findTicket(advice, candidate)?.validUntil ?? now) <= now);
	const unknown = others.filter(candidate => findTicket(advice, candidate) === undefined && !isBarred(advice, candidate));
	const callSize = Math.min(expired.length > 0 ? maxEndpointsPerCall : getUsualCallSize(advice), Math.max(1, Math.floor(maxNamingMs / Math.max(1, record.advice?.eachMs ?? 0))));
	const named = (expired.length > 0 ? expired : unknown).slice(0, callSize);
	if (named.length === 0) {
		return [];
	}

	advice.requested = new Map(named.map(({endpoint}) => [endpoint.id, endpoint.startedAt]));
	placement.advice.set(stepId, advice);
	return [
		emitEffect({
			kind: 'ask-advice', pool: record.pool, stepId, endpointIds: [...advice.requested.keys()],
		}),
		emitCount('advice_requests_total'),
	];
}

/** Whether a step is known not to be allowed on any of the candidates. @internal */
export function isBarredEverywhere({placement}: State, step: Step, candidates: readonly Candidate[]): boolean {
	if (step.job.record.advice === undefined) {
		return false;
	}

	const advice = placement.advice.get(getStepId(step));
	return advice !== undefined && candidates.every(candidate => isBarred(advice, candidate));
}

/** Records which endpoints may run a step and which may not. @internal */
export function recordAdvice({placement}: State, {
	pool, stepId, endpointIds, tickets, validMs, isComplete,
}: JobEventOf<'advice-answered'>, {now}: DecisionContext): JobOutput[] {
	const advice = placement.advice.get(stepId);
	const requested = advice?.requested;
	if (advice === undefined || requested?.size !== endpointIds.length || !endpointIds.every(id => requested.has(id))) {
		// The answer to a call from before the pool was lost and loaded again.
		return [];
	}

	advice.requested = undefined;
	placement.blockedSteps.delete(advice.step);
	advice.retryAt = isComplete ? now : now + retryDelayMs;
	if (tickets === undefined) {
		return [emitCount('advice_requests_failed_total')];
	}

	const validUntil = now + validMs - Math.min(ticketMarginMs, validMs / 2);
	for (const [endpointId, startedAt] of requested) {
		const ticket = tickets.get(endpointId);
		if (ticket !== undefined) {
			advice.tickets.set(endpointId, {ticket, startedAt, validUntil});
			advice.barred.delete(endpointId);
		} else if (isComplete) {
			advice.tickets.delete(endpointId);
			advice.barred.set(endpointId, startedAt);
		}
	}

	return [emitLog('info', 'advice on endpoints for step received', {
		step: stepId, pool, asked: requested.size, allowed: tickets.size, allowedInTotal: advice.tickets.size, barredInTotal: advice.barred.size, validMs,
	})];
}

/** Ends the validity of a ticket that an endpoint has refused. @internal */
export function expireTicket({placement}: State, step: Step, endpointId: string, {now}: DecisionContext): void {
	const ticket = placement.advice.get(getStepId(step))?.tickets.get(endpointId);
	if (ticket !== undefined) {
		ticket.validUntil = Math.min(ticket.validUntil, now);
	}
}

/** Removes the advice on steps that are done, or whose job has ended or is no longer this entry's. @internal */
export function removeUnusedAdvice({placement, ledger}: State & LedgerView): void {
	for (const [stepId, {step}] of placement.advice) {
		const {job} = step;
		const isOpen = isActive(job) && !isStepDone(step);
		if (!isOpen || ledger.pools.get(job.record.pool)?.jobs.get(job.record.id) !== job) {
			placement.advice.delete(stepId);
		}
	}
}

/** Finds the last ticket for an endpoint's present process. */
function findTicket(advice: StepAdvice, {endpoint}: Candidate): Ticket | undefined {
	const ticket = advice.tickets.get(endpoint.id);
	return ticket?.startedAt === endpoint.startedAt ? ticket : undefined;
}

function isBarred({barred}: StepAdvice, {endpoint}: Candidate): boolean {
	return barred.get(endpoint.id) === endpoint.startedAt;
}

function countPendingCalls(placement: PlacementState): number {
	let count = 0;
	for (const {requested} of placement.advice.values()) {
		count += requested === undefined ? 0 : 1;
	}

	return count;
}

/** Returns the maximum number of endpoints in a call about endpoints of which nothing is known: more once the policy is known to allow few. */
function getUsualCallSize({tickets, barred}: StepAdvice): number {
	return barred.size > 3 * tickets.size ? maxEndpointsPerCall : usualEndpointsPerCall;
}
