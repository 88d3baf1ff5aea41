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
	acceptanceOperationPrefixes, requestAcceptance, handleHistoryAnswer, handleReadBack, handleWriteAnswer,
} from './accept-bundle.js';
import {
	applyBundle, applyHead, applyWatchedHead, readHead, headReadOperation, headRestoreOperation,
} from './bundle-head.js';
import {
	answerHistoryCall, historyReadPrefix, historyWritePrefix, requestHistory, handleHistoryWriteAnswer, writeHistory,
} from './bundle-history.js';

/** Interval of periodic reads of the head record. They detect a store that was restored from an older copy without a notification from the watch. */
const headReadIntervalMs = 30_000;
/** Delay before a failed read of the head record is retried. */
const headReadRetryDelayMs = 500;
/** Time to wait for a requested bundle before another entry is asked for it. */
const bundleRequestIntervalMs = 300;

type CallHandlers = {
	readonly [Name in OperatorCommandName]?: (
		state: EntryState,
		command: Extract<OperatorCommand, {command: Name}>,
		call: {readonly callId: string; readonly operator: string},
		context: DecisionContext,
	) => Output[];
};

const callHandlers: CallHandlers = {
	'bundle-apply': (state, {bundle, nonce}, {callId, operator}, context) => requestAcceptance(state, {
		callId, operator, signed: bundle, nonce,
	}, context),
	'bundle-status': (state, _command, {callId}, context) => [restartEvent({
		kind: 'operator-answered', callId, status: 200, body: getBundleStatus(state, context),
	})],
	'bundle-history': (state, _command, {callId}) => requestHistory(state, callId),
	'bundle-text': (state, {version}, {callId}) => requestHistory(state, callId, version),
};

type AnswerHandler = (state: EntryState, operationSuffix: string, answer: EventOf<'store-answered'>, context: DecisionContext) => Output[];

/** Handlers of store answers by prefix of the operation id; the rest of the id is passed as `operationSuffix`. */
const answerHandlers: Readonly<Record<string, AnswerHandler>> = {
	[headReadOperation]: handleHeadAnswer,
	[headRestoreOperation]: (_state, _operationSuffix, answer) => answer.result === 'failed' ? [] : [readHead()],
	[acceptanceOperationPrefixes.write]: handleWriteAnswer,
	[acceptanceOperationPrefixes.readHead]: handleReadBack,
	[acceptanceOperationPrefixes.readHistory]: handleHistoryAnswer,
	[historyWritePrefix]: handleHistoryWriteAnswer,
	[historyReadPrefix]: (state, _operationSuffix, answer) => answerHistoryCall(state, answer),
};

/**
Applies the newest accepted bundle and sends it to entries that have an older one.

A lower version is never applied, whatever the store or a peer sends.

@public
*/
export const bundleFilter: Filter = {
	name: 'bundle',
	handlers: {
		'store-reached': () => [readHead()],
		'store-changed': (state, event, context) => event.key === storeKeys.bundleHead && event.value !== undefined
			? applyWatchedHead(state, {value: event.value, revision: event.revision}, context)
			: [],
		'peer-heartbeat': requestBundle,
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

			state.bundle.nextHeadReadAt = context.now + headReadIntervalMs;
			return [...outputs, readHead()];
		},
	},
};

/** Requests the bundle from the sender of a heartbeat that announces a higher version. Only one peer is asked at a time, so a new bundle costs one transfer for each entry that is behind. */
function requestBundle(state: EntryState, event: EventOf<'peer-heartbeat'>, context: DecisionContext): Output[] {
	const {bundle} = state;
	bundle.peerVersions.set(event.from, {version: event.message.bundleVersion, receivedAt: context.now});
	if (event.message.bundleVersion <= (bundle.current?.version ?? 0) || context.now < bundle.nextBundleRequestAt) {
		return [];
	}

	bundle.nextBundleRequestAt = context.now + bundleRequestIntervalMs;
	return [emitEffect({kind: 'send-peer', to: event.from, message: {kind: 'bundle-wanted'}})];
}

function handleHeadAnswer(state: EntryState, _operationSuffix: string, answer: EventOf<'store-answered'>, context: DecisionContext): Output[] {
	if (answer.result === 'applied') {
		return applyHead(state, answer.entries[0], context);
	}

	// Without this retry, an entry that has just started would have no bundle until the next periodic read.
	state.bundle.nextHeadReadAt = Math.min(state.bundle.nextHeadReadAt, context.now + headReadRetryDelayMs);
	return [];
}

/** Describes the version and age of the bundle at this entry, and the versions that the other members last reported. */
function getBundleStatus(state: EntryState, context: DecisionContext): unknown {
	const {bundle, config, membership} = state;
	const version = bundle.current?.version ?? 0;
	const others = (membership.record?.members ?? []).filter(member => member.id !== config.id).map(({id}) => {
		const reported = bundle.peerVersions.get(id);
		return {
			entry: id, version: reported?.version, heardSecondsAgo: reported && Math.round((context.now - reported.receivedAt) / 1000), isBehind: reported === undefined || reported.version < version,
		};
	});
	return {
		entry: config.id, version, signedBy: bundle.signed?.signedBy, inForceSeconds: Math.round((context.now - bundle.appliedAt) / 1000), others,
	};
}
