import {storeKeys} from '@pistachiogauge/model';
import {
	emitEffect, restartEvent, type Filter, type Output,
} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getVoucherExpiry, isHandingOver} from '../membership/index.js';

/** A graceful shutdown that is not finished after this time is aborted with exit code 1. */
const shutdownTimeoutMs = 30_000;
/** Time for the load balancer to see the failed readiness check, during which further requests may arrive; the shutdown takes at least this long. */
const loadBalancerDelayMs = 500;

/**
Forwards results and operator answers, updates the readiness, and stops the process after a graceful shutdown.

@public
*/
export const replyFilter: Filter = {
	name: 'reply',
	handlers: {
		'request-ended': (_state, event) => [
			restartEvent({
				kind: 'result-ready', requestId: event.requestId, receiver: event.receiver, result: event.result,
			}),
		],
		'peer-operator-forward'(state, event) {
			const {callId, operator, command} = event.message;
			state.reply.callOrigins.set(callId, event.from);
			return [restartEvent({
				kind: 'operator-called', callId, operator, command,
			})];
		},
		'peer-operator-result'(_state, event) {
			const {callId, status, body} = event.message;
			return [emitEffect({
				kind: 'answer-operator', callId, status, body,
			})];
		},
		'operator-answered'(state, event) {
			const {callId, status, body} = event;
			const origin = state.reply.callOrigins.get(callId);
			if (origin === undefined) {
				return [emitEffect({
					kind: 'answer-operator', callId, status, body,
				})];
			}

			state.reply.callOrigins.delete(callId);
			return [emitEffect({
				kind: 'send-peer', to: origin, message: {
					kind: 'operator-result', callId, status, body,
				},
			})];
		},
		'operator-called': (state, event) => event.command.command === 'status'
			? [restartEvent({
				kind: 'operator-answered', callId: event.callId, status: 200, body: createStatus(state),
			})]
			: [],
		tick: (state, _event, context) => [...updateReadiness(state, context), ...finishShutdown(state, context)],
		'shutdown-requested'(state, _event, context) {
			state.reply.shutdownAt ??= context.now;
			return updateReadiness(state, context);
		},
		'store-answered': (_state, event) => event.operationId === 'reply:departed' ? [emitEffect({kind: 'stop-process', exitCode: 0})] : [],
	},
};

function updateReadiness(state: EntryState, context: DecisionContext): Output[] {
	const voucherExpiry = getVoucherExpiry(state, context.now) ?? 0;
	const isReady = state.reply.shutdownAt === undefined && state.bundle.current !== undefined && voucherExpiry > context.now;
	if (isReady === state.reply.isReady) {
		return [];
	}

	state.reply.isReady = isReady;
	return [emitEffect({kind: 'set-readiness', isReady})];
}

function finishShutdown(state: EntryState, context: DecisionContext): Output[] {
	const {reply, dispatch, routing, config} = state;
	if (reply.shutdownAt === undefined || reply.hasStopped || context.now - reply.shutdownAt < loadBalancerDelayMs) {
		return [];
	}

	const isIdle = dispatch.attempts.size === 0 && routing.requests.size === 0 && !isHandingOver(state, context.now);
	const hasTimedOut = context.now - reply.shutdownAt > shutdownTimeoutMs;
	if (!isIdle && !hasTimedOut) {
		return [];
	}

	reply.hasStopped = true;
	if (hasTimedOut || !state.membership.isStoreReached) {
		return [emitEffect({kind: 'stop-process', exitCode: isIdle ? 0 : 1})];
	}

	return [emitEffect({
		kind: 'write-store', operationId: 'reply:departed', key: `${storeKeys.departedPrefix}${config.id}`, value: JSON.stringify({by: config.id}), condition: {kind: 'always'}, isLeased: false,
	})];
}

function createStatus(state: EntryState): unknown {
	const {membership, bundle, config} = state;
	return {
		entry: config.id,
		zone: config.zone,
		epoch: membership.record?.epoch ?? 0,
		isActive: membership.isActive,
		isReady: state.reply.isReady,
		isStoreReached: membership.isStoreReached,
		members: membership.record?.members ?? [],
		pools: membership.record?.pools ?? {},
		bundleVersion: bundle.current?.version ?? 0,
		requests: {routed: state.routing.requests.size, running: state.dispatch.attempts.size},
	};
}
