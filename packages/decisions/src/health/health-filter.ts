import {type EventOf, type InstanceId} from '@pistachiogauge/model';
import {getServiceTimes} from '../admission/index.js';
import {emitEffect, type Filter, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {isNotExecutedStatus} from '../retry/index.js';
import {dropJobFailures, recordJobFailure} from './failing-jobs.js';
import {type InstanceHealth} from './health-state.js';
import {
	getHealth, recordFailure, recordProbe, recordSuccess,
} from './trust.js';

const serverErrorStatus = 500;
/** Probes without a result are given up after this time. */
const probeLimitMs = 5000;
/** An endpoint that answers probes but lets this many requests in a row time out is at fault itself. */
const maxTimeoutsInRow = 5;

/**
Judges instances by the answers of their endpoints, relative to their peers, and jobs by the workers at which they failed.

@public
*/
export const healthFilter: Filter = {
	name: 'health',
	handlers: {
		'attempt-ended'(state, event, context) {
			const verdict = judgeEnding(state, event, context);
			return verdict === 'neutral' ? [] : verdictHandlers[verdict](state, event, getHealth(state, event.instanceId, event.work.pool), context);
		},
		'probe-ended'(state, event, context) {
			const health = state.health.instances.get(event.instanceId);
			if (health === undefined) {
				return [];
			}

			health.probeUntil = 0;
			if (health.stage === 'distrusted') {
				recordProbe(health, event.isHealthy, context);
				return [];
			}

			return settleTimeouts(state, event.instanceId, event.isHealthy, context);
		},
		'pool-lost'(state, event) {
			for (const [id, health] of state.health.instances) {
				if (health.pool === event.pool) {
					state.health.instances.delete(id);
				}
			}

			return [];
		},
		tick(state, _event, context) {
			const outputs: Output[] = [];
			for (const [id, health] of state.health.instances) {
				if (state.fleet.instances.get(id)?.listed === undefined) {
					state.health.instances.delete(id);
					continue;
				}

				if (health.stage === 'distrusted' && context.now >= health.nextTryAt) {
					outputs.push(...probeInstance(state, id, health, context));
				}
			}

			return outputs;
		},
	},
};

type Verdict = 'success' | 'failure' | 'timeout' | 'neutral';
type VerdictHandler = (state: EntryState, event: EventOf<'attempt-ended'>, health: InstanceHealth, context: DecisionContext) => Output[];

const verdictHandlers: Readonly<Record<Exclude<Verdict, 'neutral'>, VerdictHandler>> = {
	success(state, event, health) {
		dropJobFailures(state, event.work.request);
		recordSuccess(health);
		return [];
	},
	failure(state, event, health, context) {
		const {ending, work, instanceId} = event;
		if (ending.kind === 'answered' || ending.failure !== 'not-sent') {
			recordJobFailure(state, work.request, instanceId, context);
		}

		return recordFailure(state, instanceId, health, context);
	},
	timeout(state, event, health, context) {
		recordJobFailure(state, event.work.request, event.instanceId, context);
		health.timeoutsInRow += 1;
		health.unjudgedTimeouts += 1;
		return probeInstance(state, event.instanceId, health, context);
	},
};

/** A refusal for lack of slots says nothing about health: the endpoint answers and protects itself. Nor does a deadline that left less time than such work may take. */
function judgeEnding(state: EntryState, {ending, work, durationMs}: EventOf<'attempt-ended'>, context: DecisionContext): Verdict {
	if (ending.kind === 'failed') {
		const isShort = durationMs < (getServiceTimes(state, work.request, context)?.p99Ms ?? 0);
		return ending.failure === 'answer-timeout' ? (isShort ? 'neutral' : 'timeout') : 'failure';
	}

	if (isNotExecutedStatus(state, work.request.service, ending.status)) {
		return 'neutral';
	}

	return ending.status >= serverErrorStatus ? 'failure' : 'success';
}

/** The probe uses a fresh connection: when it succeeds, the time-outs were the old connection's or the job's. */
function settleTimeouts(state: EntryState, instanceId: InstanceId, isHealthy: boolean, context: DecisionContext): Output[] {
	const health = state.health.instances.get(instanceId)!;
	const failures = isHealthy && health.timeoutsInRow < maxTimeoutsInRow ? 0 : health.unjudgedTimeouts;
	health.unjudgedTimeouts = 0;
	const outputs: Output[] = [];
	for (let count = 0; count < failures; count += 1) {
		outputs.push(...recordFailure(state, instanceId, health, context));
	}

	return outputs;
}

function probeInstance(state: EntryState, instanceId: InstanceId, health: InstanceHealth, context: DecisionContext): Output[] {
	const address = state.fleet.instances.get(instanceId)?.listed?.address;
	if (address === undefined || context.now < health.probeUntil) {
		return [];
	}

	health.probeUntil = context.now + probeLimitMs;
	return [emitEffect({kind: 'probe-endpoint', instanceId, address})];
}
