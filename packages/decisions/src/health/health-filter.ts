import {appendItems} from '@pistachiogauge/chain';
import {type EventOf, type InstanceId} from '@pistachiogauge/model';
import {getServiceTimes} from '../admission/index.js';
import {emitEffect, type Filter, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {isNotExecutedStatus} from '../retry/index.js';
import {clearRequestFailures, recordRequestFailure} from './poison-requests.js';
import {type InstanceHealth} from './health-state.js';
import {
	getOrCreateHealth, recordFailure, recordProbeResult, recordSuccess,
} from './instance-trust.js';

const serverErrorStatus = 500;
/** A probe without a result by then may be sent again. */
const probeTimeoutMs = 5000;
/** After this many consecutive timeouts the endpoint itself is at fault, even if it answers probes. */
const maxConsecutiveTimeouts = 5;

/**
Detects unhealthy instances by the answers of their endpoints compared with their peers, and poison requests by the instances at which they failed.

@public
*/
export const healthFilter: Filter = {
	name: 'health',
	handlers: {
		'attempt-ended'(state, event, context) {
			const signal = classifyResult(state, event, context);
			return signal === 'neutral' ? [] : signalHandlers[signal](state, event, getOrCreateHealth(state, event.instanceId, event.work.pool), context);
		},
		'probe-ended'(state, event, context) {
			const health = state.health.instances.get(event.instanceId);
			if (health === undefined) {
				return [];
			}

			health.probeDeadlineAt = 0;
			if (health.stage === 'distrusted') {
				recordProbeResult(health, event.isHealthy, context);
				return [];
			}

			return attributeTimeouts(state, event.instanceId, event.isHealthy, context);
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

				if (health.stage === 'distrusted' && context.now >= health.backoffUntil) {
					appendItems(outputs, probeInstance(state, id, health, context));
				}
			}

			return outputs;
		},
	},
};

type HealthSignal = 'success' | 'failure' | 'timeout' | 'neutral';
type HealthSignalHandler = (state: EntryState, event: EventOf<'attempt-ended'>, health: InstanceHealth, context: DecisionContext) => Output[];

const signalHandlers: Readonly<Record<Exclude<HealthSignal, 'neutral'>, HealthSignalHandler>> = {
	success(state, event, health) {
		clearRequestFailures(state, event.work.request);
		recordSuccess(health);
		return [];
	},
	failure(state, event, health, context) {
		const {result, work, instanceId} = event;
		if (result.kind === 'answered' || result.failure !== 'not-sent') {
			recordRequestFailure(state, work.request, instanceId, context);
		}

		return recordFailure(state, instanceId, health, context);
	},
	timeout(state, event, health, context) {
		recordRequestFailure(state, event.work.request, event.instanceId, context);
		health.consecutiveTimeouts += 1;
		health.unattributedTimeouts += 1;
		return probeInstance(state, event.instanceId, health, context);
	},
};

/** Classifies how an attempt ended. Refusals for lack of slots are neutral, as the endpoint answers and sheds load; so are timeouts after less than the 99th percentile of the service time. */
function classifyResult(state: EntryState, {result, work, durationMs}: EventOf<'attempt-ended'>, context: DecisionContext): HealthSignal {
	if (result.kind === 'failed') {
		const isBelowUsualTime = durationMs < (getServiceTimes(state, work.request, context)?.p99Ms ?? 0);
		return result.failure === 'answer-timeout' ? (isBelowUsualTime ? 'neutral' : 'timeout') : 'failure';
	}

	if (isNotExecutedStatus(state, work.request.service, result.status)) {
		return 'neutral';
	}

	return result.status >= serverErrorStatus ? 'failure' : 'success';
}

/** Counts pending timeouts as failures or drops them. The probe uses a new connection: if it succeeds, the old connection or the requests caused the timeouts. */
function attributeTimeouts(state: EntryState, instanceId: InstanceId, isHealthy: boolean, context: DecisionContext): Output[] {
	const health = state.health.instances.get(instanceId)!;
	const failures = isHealthy && health.consecutiveTimeouts < maxConsecutiveTimeouts ? 0 : health.unattributedTimeouts;
	health.unattributedTimeouts = 0;
	const outputs: Output[] = [];
	for (let count = 0; count < failures; count += 1) {
		appendItems(outputs, recordFailure(state, instanceId, health, context));
	}

	return outputs;
}

function probeInstance(state: EntryState, instanceId: InstanceId, health: InstanceHealth, context: DecisionContext): Output[] {
	const address = state.fleet.instances.get(instanceId)?.listed?.address;
	if (address === undefined || context.now < health.probeDeadlineAt) {
		return [];
	}

	health.probeDeadlineAt = context.now + probeTimeoutMs;
	return [emitEffect({kind: 'probe-endpoint', instanceId, address})];
}
