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

/** The owner answers at the deadline; the receiver waits this much longer for that answer to arrive. */
const answerGraceMs = 150;

/**
Brings callers' requests to the owner of their pool and the results back.

A request stays here until its result is known, so it can be sent again to a new owner when its owner is lost.

@public
*/
export const routingFilter: Filter = {
	name: 'routing',
	handlers: {
		'request-received': handleRequest,
		'peer-forward'(state, event, context) {
			const {pool, request} = event.message;
			// An owner that runs a service for a pool which the bundle has taken it from would not know the keys of the new pool.
			const isAssigned = getPool(state, request.service) === pool;
			if (!isAssigned || getPoolPermissionExpiry(state, pool, context.now) === undefined) {
				const epoch = state.membership.record?.epoch ?? 0;
				return [emitEffect({kind: 'send-peer', to: event.from, message: {kind: 'not-owner', requestId: request.requestId, epoch}})];
			}

			return [offerRequest(request, event.from, pool)];
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
			// A former holder can no longer tell what did not run, but a whole answer is one.
			const isAnswer = result.outcome === 'completed' && routed?.formerHolders.includes(event.from) === true;
			return isAnswer || routed?.heldBy === event.from ? finishRequest(state, requestId, result) : [];
		},
		'request-returned'(state, event) {
			const {receiver, requestId} = event;
			if (state.idempotency.awaitingKeyRelease.has(requestId)) {
				// Goes back once the new owner has freed the key.
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
					loseHolder(routed);
					outputs.push(...routeRequest(state, routed, context));
				}
			}

			return outputs;
		},
		'epoch-adopted': (state, _event, context) => routeHeldElsewhere(state, context),
		'pool-acquired': (state, _event, context) => routeHeldElsewhere(state, context),
		tick(state, _event, context) {
			const outputs: Output[] = [];
			for (const [requestId, routed] of state.routing.requests) {
				if (context.now >= routed.deadlineAt + (routed.heldBy === undefined ? 0 : answerGraceMs)) {
					outputs.push(...finishRequest(state, requestId, createDeadlineResult(routed)));
					continue;
				}

				if (routed.heldBy === undefined) {
					outputs.push(...routeRequest(state, routed, context));
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
		return [emitEffect({kind: 'respond-caller', requestId, result: createNotRunResult('shutting-down', 0)})];
	}

	if (current === undefined) {
		return [emitEffect({kind: 'respond-caller', requestId, result: createNotRunResult('entry-not-ready', 1000)})];
	}

	const pool = current.services[request.service]?.pool;
	if (pool === undefined) {
		return [emitEffect({kind: 'respond-caller', requestId, result: createNotRunResult('unknown-service')})];
	}

	if (request.timeLeftMs <= 0) {
		return [emitEffect({kind: 'respond-caller', requestId, result: createNotRunResult('deadline-passed')})];
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
		return [offerRequest(request, owner, routed.pool)];
	}

	if (!state.membership.links.has(owner)) {
		return [];
	}

	routed.heldBy = owner;
	return [emitEffect({kind: 'send-peer', to: owner, message: {kind: 'forward', pool: routed.pool, request}})];
}

/** What a request becomes at the owner of its pool. */
const offerKinds = {direct: 'request-submitted', task: 'task-submitted', 'task-status': 'task-status-requested'} as const;

function offerRequest(request: ServiceRequest, receiver: EntryId, pool: PoolName): Output {
	return passEvent({
		kind: offerKinds[request.mode], request, receiver, pool,
	});
}

function getPool(state: EntryState, service: string): string | undefined {
	return state.bundle.current?.services[service]?.pool;
}

/** Sends requests again whose pool has changed hands since they were forwarded. */
function routeHeldElsewhere(state: EntryState, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	for (const routed of state.routing.requests.values()) {
		const owner = state.membership.record?.pools[routed.pool]?.owner;
		if (routed.heldBy === owner) {
			continue;
		}

		// A former owner that is still linked finishes what it has; its result is as good.
		if (routed.heldBy !== undefined && state.membership.links.has(routed.heldBy)) {
			continue;
		}

		if (routed.heldBy !== undefined) {
			loseHolder(routed);
		}

		outputs.push(...routeRequest(state, routed, context));
	}

	return outputs;
}

function loseHolder(routed: RoutedRequest): void {
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
	// The new owner's refusal says nothing about an idempotent request's run at the lost one; for a keyed request the new owner has checked the key.
	// When the same entry had the request before, its refusal may be of the earlier forward while the later one still runs.
	const hasReturned = routed.heldBy !== undefined && routed.formerHolders.includes(routed.heldBy);
	const isUnproven = routed.request.isIdempotent || routed.request.mode === 'task' || result.reason === 'pool-unavailable' || hasReturned;
	const isRefusalUncertain = result.outcome === 'not-run' && routed.mayHaveRun && isUnproven;
	return [emitEffect({kind: 'respond-caller', requestId, result: isRefusalUncertain ? createUnknownResult('connection-lost') : result})];
}

function createDeadlineResult(routed: RoutedRequest): RequestResult {
	return routed.heldBy === undefined && !routed.mayHaveRun
		? createNotRunResult('owner-unreachable', 1000)
		: createUnknownResult('answer-timeout');
}
