import {appendItems} from '@pistachiogauge/chain';
import {
	type EntryId, type EventOf, type PoolName, type RequestResult, type ServiceRequest,
} from '@pistachiogauge/model';
import {
	emitEffect, passEvent, type Filter, type Output,
} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getPoolPermissionExpiry} from '../membership/index.js';
import {createNotRunResult, createUnknownResult} from '../results.js';
import {type RoutedRequest} from './routing-state.js';

/** The owner answers at the deadline at the latest; the receiver waits this much longer, so that the answer can arrive. */
const answerGraceMs = 150;

/**
Routes callers' requests to the owner of their pool, and the results back to the callers.

The receiver keeps a request until its result is known, so that it can forward the request again when the pool gets a new owner.

@public
*/
export const routingFilter: Filter = {
	name: 'routing',
	handlers: {
		'request-received': handleRequest,
		'peer-forward'(state, event, context) {
			const {pool, request} = event.message;
			// The receiver may have an older bundle. If the service has moved to another pool since, only that pool's owner knows its keys.
			const isAssigned = getPool(state, request.service) === pool;
			if (!isAssigned || getPoolPermissionExpiry(state, pool, context.now) === undefined) {
				const epoch = state.membership.record?.epoch ?? 0;
				return [emitEffect({kind: 'send-peer', to: event.from, message: {kind: 'not-owner', requestId: request.requestId, epoch}})];
			}

			return [submitRequest(request, event.from, pool)];
		},
		'peer-not-owner'(state, event) {
			const routed = state.routing.requests.get(event.message.requestId);
			if (routed?.heldBy === event.from) {
				routed.heldBy = undefined;
			}

			return [];
		},
		'peer-result'(state, event) {
			const {requestId, result} = event.message;
			const routed = state.routing.requests.get(requestId);
			// A former holder can no longer prove that a request did not run, but a complete answer from it is valid.
			const isAnswer = result.outcome === 'completed' && routed?.formerHolders.includes(event.from) === true;
			return isAnswer || routed?.heldBy === event.from ? finishRequest(state, requestId, result) : [];
		},
		'request-returned'(state, event) {
			const {receiver, requestId} = event;
			if (state.idempotency.awaitingKeyRelease.has(requestId)) {
				// The request is returned once the new owner has released its key.
				return [];
			}

			if (receiver !== state.config.id) {
				return [emitEffect({kind: 'send-peer', to: receiver, message: {kind: 'not-owner', requestId, epoch: state.membership.record?.epoch ?? 0}})];
			}

			const routed = state.routing.requests.get(requestId);
			if (routed !== undefined) {
				routed.heldBy = undefined;
			}

			return [];
		},
		'result-ready'(state, event) {
			const {receiver, requestId, result} = event;
			return receiver === state.config.id
				? finishRequest(state, requestId, result)
				: [emitEffect({kind: 'send-peer', to: receiver, message: {kind: 'result', requestId, result}})];
		},
		'link-down'(state, event, context) {
			const outputs: Output[] = [];
			for (const routed of state.routing.requests.values()) {
				if (routed.heldBy === event.entryId) {
					markHolderLost(routed);
					appendItems(outputs, routeRequest(state, routed, context));
				}
			}

			return outputs;
		},
		'epoch-adopted': (state, _event, context) => rerouteRequests(state, context),
		'pool-acquired': (state, _event, context) => rerouteRequests(state, context),
		tick(state, _event, context) {
			const outputs: Output[] = [];
			for (const [requestId, routed] of state.routing.requests) {
				if (context.now >= routed.deadlineAt + (routed.heldBy === undefined ? 0 : answerGraceMs)) {
					appendItems(outputs, finishRequest(state, requestId, createDeadlineResult(routed)));
					continue;
				}

				if (routed.heldBy === undefined) {
					appendItems(outputs, routeRequest(state, routed, context));
				}
			}

			return outputs;
		},
		'caller-gone'(state, event) {
			const routed = state.routing.requests.get(event.requestId);
			state.routing.requests.delete(event.requestId);
			return routed?.heldBy === undefined || routed.heldBy === state.config.id
				? []
				: [emitEffect({kind: 'send-peer', to: routed.heldBy, message: {kind: 'cancel', requestId: event.requestId}})];
		},
	},
};

function handleRequest(state: EntryState, event: EventOf<'request-received'>, context: DecisionContext): Output[] {
	const {request} = event;
	const {requestId} = request;
	const {current} = state.bundle;
	if (state.membership.isLeaving) {
		return [emitEffect({kind: 'answer-caller', requestId, result: createNotRunResult('shutting-down', 0)})];
	}

	if (current === undefined) {
		return [emitEffect({kind: 'answer-caller', requestId, result: createNotRunResult('entry-not-ready', 1000)})];
	}

	const pool = current.services[request.service]?.pool;
	if (pool === undefined) {
		return [emitEffect({kind: 'answer-caller', requestId, result: createNotRunResult('unknown-service')})];
	}

	if (request.timeLeftMs <= 0) {
		return [emitEffect({kind: 'answer-caller', requestId, result: createNotRunResult('deadline-passed')})];
	}

	const routed: RoutedRequest = {
		request, pool, deadlineAt: context.now + request.timeLeftMs, heldBy: undefined, formerHolders: [], mayHaveRun: false,
	};
	state.routing.requests.set(requestId, routed);
	return routeRequest(state, routed, context);
}

function routeRequest(state: EntryState, routed: RoutedRequest, context: DecisionContext): Output[] {
	routed.pool = getPool(state, routed.request.service) ?? routed.pool;
	const owner = state.membership.record?.pools[routed.pool]?.owner;
	const request = {...routed.request, timeLeftMs: routed.deadlineAt - context.now};
	if (owner === undefined || request.timeLeftMs <= 0) {
		return [];
	}

	if (owner === state.config.id) {
		if (getPoolPermissionExpiry(state, routed.pool, context.now) === undefined) {
			return [];
		}

		routed.heldBy = owner;
		return [submitRequest(request, owner, routed.pool)];
	}

	if (!state.membership.links.has(owner)) {
		return [];
	}

	routed.heldBy = owner;
	return [emitEffect({kind: 'send-peer', to: owner, message: {kind: 'forward', pool: routed.pool, request}})];
}

/** Event that submits a request to the owner of its pool, by request mode. */
const submissionEventKinds = {direct: 'request-submitted', task: 'task-submitted', 'task-status': 'task-status-requested'} as const;

function submitRequest(request: ServiceRequest, receiver: EntryId, pool: PoolName): Output {
	return passEvent({
		kind: submissionEventKinds[request.mode], request, receiver, pool,
	});
}

function getPool(state: EntryState, service: string): string | undefined {
	return state.bundle.current?.services[service]?.pool;
}

/** Routes requests again that the owner of their pool does not hold, unless their holder is still linked. */
function rerouteRequests(state: EntryState, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	for (const routed of state.routing.requests.values()) {
		const owner = state.membership.record?.pools[routed.pool]?.owner;
		if (routed.heldBy === owner) {
			continue;
		}

		// A former owner that is still linked completes the requests that it holds, and its results are valid.
		if (routed.heldBy !== undefined && state.membership.links.has(routed.heldBy)) {
			continue;
		}

		if (routed.heldBy !== undefined) {
			markHolderLost(routed);
		}

		appendItems(outputs, routeRequest(state, routed, context));
	}

	return outputs;
}

function markHolderLost(routed: RoutedRequest): void {
	if (routed.heldBy !== undefined && !routed.formerHolders.includes(routed.heldBy)) {
		routed.formerHolders.push(routed.heldBy);
	}

	routed.heldBy = undefined;
	routed.mayHaveRun = true;
}

function finishRequest(state: EntryState, requestId: string, result: RequestResult): Output[] {
	const routed = state.routing.requests.get(requestId);
	if (routed === undefined) {
		return [];
	}

	state.routing.requests.delete(requestId);
	// A refusal by the new owner does not prove that an idempotent request or a task did not run at the lost owner. For a non-idempotent request it does, because the new owner has checked its key.
	// If the same entry held the request before, the refusal may answer the earlier forward while the request of the later forward still runs.
	const hasReturned = routed.heldBy !== undefined && routed.formerHolders.includes(routed.heldBy);
	const isUnproven = routed.request.isIdempotent || routed.request.mode === 'task' || result.reason === 'pool-unavailable' || hasReturned;
	const isRefusalUncertain = result.outcome === 'not-run' && routed.mayHaveRun && isUnproven;
	return [emitEffect({kind: 'answer-caller', requestId, result: isRefusalUncertain ? createUnknownResult('connection-lost') : result})];
}

function createDeadlineResult(routed: RoutedRequest): RequestResult {
	return routed.heldBy === undefined && !routed.mayHaveRun
		? createNotRunResult('owner-unreachable', 1000)
		: createUnknownResult('answer-timeout');
}
