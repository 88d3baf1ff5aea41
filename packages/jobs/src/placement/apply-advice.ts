import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {type JobOutput} from '../filter.js';
import {type Step} from '../ledger/index.js';
import {type Candidate} from './choose-endpoint.js';
import {type PlacementState} from './placement-state.js';

/** Maximum number of endpoints in one call to the advice service. */
const maxAdvisedEndpoints = 30;
/** Unanswered advice is requested again after this time. */
const adviceTimeoutMs = 2000;

/** The candidates allowed for a step, with their tickets if the queue requires advice. @internal */
export type AdvisedCandidates = {
	readonly candidates: readonly Candidate[];
	readonly tickets: ReadonlyMap<string, string> | undefined;
	readonly outputs: JobOutput[];
};

/** Limits the candidates to those that the advice service allows, and requests advice if there is no valid one. @internal */
export function applyAdvice({placement}: {readonly placement: PlacementState}, step: Step, candidates: readonly Candidate[], context: DecisionContext): AdvisedCandidates {
	const {record} = step.job;
	if (record.advice === undefined) {
		return {candidates, tickets: undefined, outputs: []};
	}

	const stepId = `${record.id}.${step.key}`;
	const advice = placement.advice.get(stepId);
	if (advice !== undefined && context.now < advice.validUntil) {
		return {candidates: candidates.filter(({endpoint}) => advice.tickets.has(endpoint.id)), tickets: advice.tickets, outputs: []};
	}

	const requestedAt = placement.adviceRequestedAt.get(stepId);
	if (requestedAt !== undefined && context.now < requestedAt + adviceTimeoutMs) {
		return {candidates: [], tickets: undefined, outputs: []};
	}

	placement.adviceRequestedAt.set(stepId, context.now);
	return {
		candidates: [],
		tickets: undefined,
		outputs: [emitEffect({
			kind: 'ask-advice', pool: record.pool, stepId, endpointIds: candidates.slice(0, maxAdvisedEndpoints).map(({endpoint}) => endpoint.id),
		})],
	};
}
