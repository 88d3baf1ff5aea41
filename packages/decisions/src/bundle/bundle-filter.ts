import {
	storeKeys, type EventOf, type OperatorCommand, type OperatorCommandName,
} from '@pistachiogauge/model';
import {
	emitEffect, restartEvent, type Filter, type Output,
} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {isMember} from '../membership/index.js';
import {
	acceptPrefixes, requestAcceptance, settleHistory, settleRead, settleWrite,
} from './accept-bundle.js';
import {
	applyBundle, applyHead, applyWatchedHead, readHead, readOperation, restoreOperation,
} from './bundle-head.js';
import {
	answerHistory, historyReadPrefix, historyWritePrefix, requestHistory, settleHistoryWrite, writeHistory,
} from './bundle-history.js';

/** Finds a store that was restored from an older copy without the watch telling. */
const headReadMs = 30_000;
/** Pause before a failed read of the head is repeated. */
const headRetryMs = 500;
/** Time for an answer before another entry is asked for its bundle. */
const askAgainMs = 300;

type CallTable = {
	readonly [Name in OperatorCommandName]?: (
		state: EntryState,
		command: Extract<OperatorCommand, {command: Name}>,
		call: {readonly callId: string; readonly operator: string},
		context: DecisionContext,
	) => Output[];
};

const callHandlers: CallTable = {
	'bundle-apply': (state, {bundle, nonce}, {callId, operator}, context) => requestAcceptance(state, {
		callId, operator, signed: bundle, nonce,
	}, context),
	'bundle-status': (state, _command, {callId}, context) => [restartEvent({
		kind: 'operator-answered', callId, status: 200, body: getBundleStatus(state, context),
	})],
	'bundle-history': (state, _command, {callId}) => requestHistory(state, callId),
	'bundle-text': (state, {version}, {callId}) => requestHistory(state, callId, version),
};

type AnswerHandler = (state: EntryState, rest: string, answer: EventOf<'store-answered'>, context: DecisionContext) => Output[];

/** Handlers of store answers, by prefix of the operation id. */
const answerHandlers: Readonly<Record<string, AnswerHandler>> = {
	[readOperation]: finishHeadRead,
	[restoreOperation]: (_state, _rest, answer) => answer.result === 'failed' ? [] : [readHead()],
	[acceptPrefixes.write]: settleWrite,
	[acceptPrefixes.settle]: settleRead,
	[acceptPrefixes.find]: settleHistory,
	[historyWritePrefix]: settleHistoryWrite,
	[historyReadPrefix]: (state, _rest, answer) => answerHistory(state, answer),
};

/**
Keeps the newest accepted bundle in force and carries it to entries that are behind.

A lower version is never applied, whatever the store or a peer says.

@public
*/
export const bundleFilter: Filter = {
	name: 'bundle',
	handlers: {
		'store-reached': () => [readHead()],
		'store-changed': (state, event, context) => event.key === storeKeys.bundleHead && event.value !== undefined
			? applyWatchedHead(state, {value: event.value, revision: event.revision}, context)
			: [],
		'peer-heartbeat': askForBundle,
		'epoch-adopted'(state) {
			for (const id of state.bundle.peerVersions.keys()) {
				if (!isMember(state, id)) {
					state.bundle.peerVersions.delete(id);
				}
			}

			return [];
		},
		'peer-bundle-wanted'(state, event) {
			const {signed} = state.bundle;
			return signed === undefined ? [] : [emitEffect({kind: 'send-peer', to: event.from, message: {kind: 'bundle-sent', bundle: signed}})];
		},
		'peer-bundle-sent': (state, event, context) => applyBundle(state, event.message.bundle, context),
		'operator-called'(state, event, context) {
			const handler = callHandlers[event.command.command] as ((state: EntryState, command: OperatorCommand, call: typeof event, context: DecisionContext) => Output[]) | undefined;
			return handler?.(state, event.command, event, context) ?? [];
		},
		'store-answered'(state, event, context) {
			for (const [prefix, handler] of Object.entries(answerHandlers)) {
				if (event.operationId.startsWith(prefix)) {
					return [...handler(state, event.operationId.slice(prefix.length), event, context), ...writeHistory(state, context)];
				}
			}

			return [];
		},
		tick(state, _event, context) {
			const outputs = writeHistory(state, context);
			if (!state.membership.isStoreReached || context.now < state.bundle.nextHeadReadAt) {
				return outputs;
			}

			state.bundle.nextHeadReadAt = context.now + headReadMs;
			return [...outputs, readHead()];
		},
	},
};

/** Asks the sender of a heartbeat for its bundle when it names a higher version. One is asked at a time, so a change costs one copy for each entry that is behind. */
function askForBundle(state: EntryState, event: EventOf<'peer-heartbeat'>, context: DecisionContext): Output[] {
	const {bundle} = state;
	bundle.peerVersions.set(event.from, {version: event.message.bundleVersion, heardAt: context.now});
	if (event.message.bundleVersion <= (bundle.current?.version ?? 0) || context.now < bundle.nextAskAt) {
		return [];
	}

	bundle.nextAskAt = context.now + askAgainMs;
	return [emitEffect({kind: 'send-peer', to: event.from, message: {kind: 'bundle-wanted'}})];
}

function finishHeadRead(state: EntryState, _rest: string, answer: EventOf<'store-answered'>, context: DecisionContext): Output[] {
	if (answer.result === 'applied') {
		return applyHead(state, answer.entries[0], context);
	}

	// Without the head an entry that has just started would stay without a bundle until the next periodic read.
	state.bundle.nextHeadReadAt = Math.min(state.bundle.nextHeadReadAt, context.now + headRetryMs);
	return [];
}

/** Version and age here, and what the other members have last said about themselves. */
function getBundleStatus(state: EntryState, context: DecisionContext): unknown {
	const {bundle, config, membership} = state;
	const version = bundle.current?.version ?? 0;
	const others = (membership.record?.members ?? []).filter(member => member.id !== config.id).map(({id}) => {
		const heard = bundle.peerVersions.get(id);
		return {
			entry: id, version: heard?.version, heardSecondsAgo: heard && Math.round((context.now - heard.heardAt) / 1000), isBehind: heard === undefined || heard.version < version,
		};
	});
	return {
		entry: config.id, version, signedBy: bundle.signed?.signedBy, inForceSeconds: Math.round((context.now - bundle.appliedAt) / 1000), others,
	};
}
