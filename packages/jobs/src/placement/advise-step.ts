import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {type JobOutput} from '../filter.js';
import {type Step} from '../ledger/index.js';
import {type Candidate} from './choose-endpoint.js';
import {type PlacementState} from './placement-state.js';

/** Endpoints asked about in one call for advice. */
const adviceCount = 30;
/** Time in ms after which unanswered advice is asked for again. */
const adviceTimeoutMs = 2000;

/** The candidates for a step, with their tickets where the queue has a policy. @internal */
export type Advised = {
	readonly candidates: readonly Candidate[];
	readonly tickets: ReadonlyMap<string, string> | undefined;
	readonly outputs: JobOutput[];
};

/** Narrows the candidates to those that the queue's policy allows, and asks for advice where it is not known. @internal */
export function adviseStep({placement}: {readonly placement: PlacementState}, step: Step, candidates: readonly Candidate[], context: DecisionContext): Advised {
	const {record} = step.job;
	if (record.advice === undefined) {
		return {candidates, tickets: undefined, outputs: []};
	}

	const stepId = `${record.id}.${step.key}`;
	const advice = placement.advice.get(stepId);
	if (advice !== undefined && context.now < advice.validUntil) {
		return {candidates: candidates.filter(({endpoint}) => advice.tickets.has(endpoint.id)), tickets: advice.tickets, outputs: []};
	}

	const askedAt = placement.adviceAsked.get(stepId);
	if (askedAt !== undefined && context.now < askedAt + adviceTimeoutMs) {
		return {candidates: [], tickets: undefined, outputs: []};
	}

	placement.adviceAsked.set(stepId, context.now);
	return {
		candidates: [],
		tickets: undefined,
		outputs: [emitEffect({
			kind: 'ask-advice', pool: record.pool, stepId, endpointIds: candidates.slice(0, adviceCount).map(({endpoint}) => endpoint.id),
		})],
	};
}
