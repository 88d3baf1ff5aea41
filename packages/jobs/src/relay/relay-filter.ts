import {
	appendItems, emitEffect, restartEvent, type DecisionContext,
} from '@pistachiogauge/chain';
import {
	emitCount, emitLog, type JobFilter, type JobOutput,
} from '../filter.js';
import {type PendingRequest, type RelayableRequest} from '../intake/index.js';
import {
	type CallerAction, type CallerAnswer, type JobEventOf, type Member, type RelayResult,
} from '../model/index.js';
import {type Relay, type RelayState} from './relay-state.js';

type State = {
	readonly authority: {readonly node: string; readonly members: ReadonlyMap<string, Member>};
	readonly intake: {readonly pendingRequests: ReadonlyMap<string, PendingRequest>};
	readonly relay: RelayState;
};

/** Time without an answer of the store after which a peer is asked; above the quarter of a second that slow answers of the store take. */
const storeWaitMs = 600;
/** Share of the caller's time after which a peer is asked if that is earlier. */
const storeWaitShare = 0.25;
/** Time before the caller's deadline at which the answer is sent. */
const answerReserveMs = 150;
const maxPeers = 2;
/** Longest time that one peer is given, so that a silent one leaves time for the next. */
const maxAttemptMs = 1000;
/** A shorter attempt would mostly end without an answer while the peer goes on with the request. */
const minAttemptMs = 150;
/** Time for which a peer that did not reach the store or did not answer is not asked again. */
const peerPauseMs = 1000;
/** Time for which a peer that has decided a request counts as one that reaches the store. */
const provenMs = 3000;
/** After so many peers in a row without a decision, all entries may have lost the store, and no peer is asked for `peerPauseMs`. */
const maxFailuresInRow = 6;
/** Limit on the requests that wait for peers. */
const maxOpenRelays = 64;

/** Whether an action changes the store, so that an attempt without an answer leaves it undecided. */
const isWriteByAction: Readonly<Record<CallerAction, boolean>> = {
	submit: true, cancel: true, get: false, count: false,
};

/** Whether an answer of a peer is the store's decision; with the others, the next peer is asked. */
const isDecisionByAnswer: Readonly<Record<CallerAnswer['kind'], boolean>> = {
	accepted: true, status: true, waiting: true, cancelled: true, 'unknown-job': true, 'unknown-queue': false, unauthorized: false, invalid: false, refused: false, undecided: false,
};

/**
Asks peers about callers' requests that this entry cannot decide, as it does not reach the store.

It only chooses the answer: the intake filter gives it to the caller, and decides alone if the entry's own store call is answered first.

@public
*/
export const relayFilter: JobFilter<State> = {
	name: 'relay',
	handlers: {
		tick: (state, _event, context) => [...startDueRelays(state, context), ...endDueRelays(state, context)],
		'request-unanswered'(state, {requestId, cause, answer}, context) {
			const relay = state.relay.relays.get(requestId);
			if (relay !== undefined) {
				relay.ownAnswer = answer;
				return relay.awaitedNode === undefined ? callNextPeer(state, requestId, relay, context) : [];
			}

			const ended = restartEvent({kind: 'relay-ended', requestId, answer});
			if (cause === 'store-refused') {
				// The store has decided. With another entry in between, its refusals under load would become more calls.
				return [ended];
			}

			const outputs = startRelay(state, requestId, answer, context);
			return outputs.length > 0 ? outputs : [emitCount('relays_total{outcome="no-peer"}'), ended];
		},
		'relay-answered': handleRelayAnswer,
	},
};

/** Asks peers about the requests whose own store call has not been answered in time. */
function startDueRelays(state: State, context: DecisionContext): JobOutput[] {
	const outputs: JobOutput[] = [];
	for (const [requestId, {receivedAt, relayable}] of state.intake.pendingRequests) {
		const answerBy = relayable?.origin.answerBy;
		if (answerBy === undefined || state.relay.relays.has(requestId)) {
			continue;
		}

		if (context.now >= receivedAt + Math.min(storeWaitMs, (answerBy - receivedAt) * storeWaitShare)) {
			appendItems(outputs, startRelay(state, requestId, undefined, context));
		}
	}

	return outputs;
}

/** Answers the relayed requests whose callers will not wait longer, and forgets those that were answered without a peer. */
function endDueRelays(state: State, context: DecisionContext): JobOutput[] {
	const outputs: JobOutput[] = [];
	for (const [requestId, relay] of state.relay.relays) {
		const answerBy = state.intake.pendingRequests.get(requestId)?.relayable?.origin.answerBy;
		if (answerBy === undefined) {
			if (relay.awaitedNode === undefined) {
				state.relay.relays.delete(requestId);
			}

			continue;
		}

		if (context.now >= answerBy - answerReserveMs) {
			appendItems(outputs, endRelay(state, requestId, relay, chooseAnswer(state, requestId, relay), context));
		}
	}

	return outputs;
}

/** @returns Nothing if no peer can be asked. */
function startRelay(state: State, requestId: string, ownAnswer: CallerAnswer | undefined, context: DecisionContext): JobOutput[] {
	const {relays, pausedUntil} = state.relay;
	if (relays.size >= maxOpenRelays || context.now < pausedUntil) {
		return [];
	}

	const relay: Relay = {
		startedAt: context.now, askedNodes: new Set(), awaitedNode: undefined, ownAnswer, peerAnswer: undefined, mayBeDone: false,
	};
	const outputs = sendToPeer(state, requestId, relay, context);
	if (outputs.length > 0) {
		relays.set(requestId, relay);
	}

	return outputs;
}

/** Sends the request to a peer that has not been asked. @returns Nothing if there is none, or too little time. */
function sendToPeer(state: State, requestId: string, relay: Relay, context: DecisionContext): JobOutput[] {
	const request = getRelayableRequest(state, requestId);
	const attemptsLeft = maxPeers - relay.askedNodes.size;
	if (request === undefined || attemptsLeft === 0 || context.now < state.relay.pausedUntil) {
		return [];
	}

	const leftMs = request.origin.answerBy - answerReserveMs - context.now;
	const node = leftMs < minAttemptMs ? undefined : choosePeer(state, relay, context);
	if (node === undefined) {
		return [];
	}

	const timeoutMs = Math.round(Math.min(maxAttemptMs, Math.max(minAttemptMs, leftMs / attemptsLeft)));
	relay.askedNodes.add(node);
	relay.awaitedNode = node;
	const {action, spec, keyHash, jobId, queue, origin: {host, path}} = request;
	return [
		emitLog('info', 'request relayed to peer', {
			request: requestId, action, job: jobId, queue, node, timeoutMs, ownAnswer: relay.ownAnswer?.kind,
		}),
		emitEffect({
			kind: 'relay-request', requestId, node, timeoutMs, request: {
				action, host, path, spec, keyHash,
			},
		}),
	];
}

/** Chooses a peer at random; after a first one in vain, one that has decided a request lately, if there is one. */
function choosePeer({authority, relay: {pausedPeers, decidedAt}}: State, {askedNodes}: Relay, {now, random}: DecisionContext): string | undefined {
	const nodes: string[] = [];
	for (const {node, peerServer} of authority.members.values()) {
		if (peerServer !== undefined && node !== authority.node && !askedNodes.has(node) && now >= (pausedPeers.get(node) ?? 0)) {
			nodes.push(node);
		}
	}

	const provenNodes = askedNodes.size === 0 ? [] : nodes.filter(node => now < (decidedAt.get(node) ?? Number.NEGATIVE_INFINITY) + provenMs);
	const candidates = provenNodes.length === 0 ? nodes : provenNodes;
	return candidates.length === 0 ? undefined : candidates[random.getInteger(candidates.length)];
}

function handleRelayAnswer(state: State, {requestId, node, result}: JobEventOf<'relay-answered'>, context: DecisionContext): JobOutput[] {
	const relay = state.relay.relays.get(requestId);
	if (relay?.awaitedNode !== node) {
		return [];
	}

	relay.awaitedNode = undefined;
	recordPeerResult(state.relay, node, result, context.now);
	const request = getRelayableRequest(state, requestId);
	const counts = [emitCount(`relay_attempts_total{result="${result.kind}"}`)];
	if (request === undefined) {
		// The entry's own store call was answered first, or the caller's time was up.
		state.relay.relays.delete(requestId);
		return counts;
	}

	if (result.kind === 'answered' && isDecisionByAnswer[result.answer.kind]) {
		return [...counts, ...endRelay(state, requestId, relay, result.answer, context)];
	}

	relay.mayBeDone ||= result.kind === 'silent' || (result.kind === 'answered' && result.answer.kind === 'undecided');
	if (result.kind === 'answered' && result.answer.kind !== 'undecided') {
		relay.peerAnswer = result.answer;
	}

	return [
		...counts,
		emitLog('info', 'relayed request not decided by peer', {
			request: requestId, job: request.jobId, node, result: result.kind, ...(result.kind === 'answered' && {answer: result.answer}), tookMs: Math.round(context.now - relay.startedAt),
		}),
		...callNextPeer(state, requestId, relay, context),
	];
}

/** Asks the next peer; if there is none, the request waits for the entry's own store call, or gets its answer once that has ended. */
function callNextPeer(state: State, requestId: string, relay: Relay, context: DecisionContext): JobOutput[] {
	const outputs = sendToPeer(state, requestId, relay, context);
	return outputs.length > 0 || relay.ownAnswer === undefined ? outputs : endRelay(state, requestId, relay, chooseAnswer(state, requestId, relay), context);
}

/** Keeps requests from peers that cannot decide them, and from all peers if none can. */
function recordPeerResult(relayState: RelayState, node: string, result: RelayResult, now: number): void {
	if (result.kind === 'answered' && result.answer.kind !== 'undecided') {
		relayState.failuresInRow = 0;
		relayState.decidedAt.set(node, now);
		return;
	}

	// Several requests that one peer leaves open say no more about the other peers than a single one.
	relayState.failuresInRow += now < (relayState.pausedPeers.get(node) ?? 0) ? 0 : 1;
	relayState.pausedPeers.set(node, now + peerPauseMs);
	if (relayState.failuresInRow >= maxFailuresInRow) {
		relayState.pausedUntil = now + peerPauseMs;
	}
}

/** Chooses the answer if no peer has decided the request: a refusal only if nothing may have been done, neither here nor at a peer. */
function chooseAnswer(state: State, requestId: string, {awaitedNode, ownAnswer, peerAnswer, mayBeDone}: Relay): CallerAnswer {
	const isWrite = isWriteByAction[getRelayableRequest(state, requestId)?.action ?? 'submit'];
	if (isWrite && (mayBeDone || awaitedNode !== undefined || ownAnswer === undefined || ownAnswer.kind === 'undecided')) {
		return {kind: 'undecided', reason: 'neither the store nor another entry has decided the request'};
	}

	return peerAnswer ?? ownAnswer ?? {kind: 'refused', reason: 'the store cannot be read', retryAfterMs: peerPauseMs};
}

function endRelay({relay: {relays}, intake}: State, requestId: string, relay: Relay, answer: CallerAnswer, context: DecisionContext): JobOutput[] {
	if (relay.awaitedNode === undefined) {
		relays.delete(requestId);
	}

	return [
		emitCount(`relays_total{outcome="${answer.kind}"}`),
		emitLog('info', 'relayed request decided', {
			request: requestId, job: intake.pendingRequests.get(requestId)?.jobId, peers: [...relay.askedNodes], answer: answer.kind, ownAnswer: relay.ownAnswer?.kind, tookMs: Math.round(context.now - relay.startedAt),
		}),
		restartEvent({kind: 'relay-ended', requestId, answer}),
	];
}

function getRelayableRequest({intake}: State, requestId: string): RelayableRequest | undefined {
	return intake.pendingRequests.get(requestId)?.relayable;
}
