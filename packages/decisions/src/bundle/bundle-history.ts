import {
	signedBundleSchema, storeKeys, type EventOf, type SignedBundle,
} from '@pistachiogauge/model';
import {z} from 'zod';
import {emitEffect, restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';

/** @internal */
export const historyWritePrefix = 'bundle:text:';
/** @internal */
export const historyReadPrefix = 'bundle:history:';

const retryDelayMs = 1000;
/** Number of versions kept in the history. */
const maxHistoryVersions = 200;
const versionDigits = 10;

const historySchema = signedBundleSchema.extend({
	/** Unix time in milliseconds; absent when the entry that accepted the version ended before it wrote the history. */
	acceptedAt: z.number().optional(),
	acceptedBy: z.string().optional(),
});

/** @internal */
export function getHistoryKey(version: number): string {
	return `${storeKeys.bundleTextsPrefix}${String(version).padStart(versionDigits, '0')}`;
}

/** @internal */
export function parseHistory(text: string): z.infer<typeof historySchema> | undefined {
	return historySchema.safeParse(parseJson(text)).data;
}

/** Adds an accepted version to the history. Adds the previous one too, in case the entry that accepted it ended before it could do so. @internal */
export function addToHistory(state: EntryState, signed: SignedBundle, acceptance: {readonly acceptedAt: number; readonly acceptedBy: string}): void {
	const {unwrittenHistory, signed: former} = state.bundle;
	if (former !== undefined && former.version < signed.version) {
		unwrittenHistory.set(getHistoryKey(former.version), JSON.stringify(former));
	}

	unwrittenHistory.set(getHistoryKey(signed.version), JSON.stringify({...signed, ...acceptance}));
	state.bundle.nextHistoryWriteAt = 0;
}

/** Writes the history records that the store has not confirmed yet. An existing record of a version is not overwritten. @internal */
export function writeHistory(state: EntryState, context: DecisionContext): Output[] {
	const {bundle, membership} = state;
	if (bundle.unwrittenHistory.size === 0 || context.now < bundle.nextHistoryWriteAt || !membership.isStoreReached) {
		return [];
	}

	bundle.nextHistoryWriteAt = context.now + retryDelayMs;
	return [...bundle.unwrittenHistory].map(([key, value]) => emitEffect({
		kind: 'write-store', operationId: `${historyWritePrefix}${key}`, key, value, condition: {kind: 'absent'}, isLeased: false,
	}));
}

/** Handles the answer to a history write, and deletes the version that exceeds the limit of the history. @internal */
export function handleHistoryWriteAnswer(state: EntryState, key: string, answer: EventOf<'store-answered'>): Output[] {
	if (answer.result === 'failed') {
		return [];
	}

	state.bundle.unwrittenHistory.delete(key);
	const version = Number(key.slice(storeKeys.bundleTextsPrefix.length));
	return version <= maxHistoryVersions
		? []
		: [emitEffect({
			kind: 'delete-store', operationId: `${historyWritePrefix}drop`, key: getHistoryKey(version - maxHistoryVersions),
		})];
}

/** Reads the whole history or one version of it for an operator. @internal */
export function requestHistory(state: EntryState, callId: string, version?: number): Output[] {
	state.bundle.operationCount += 1;
	const operationId = `${historyReadPrefix}${state.bundle.operationCount}`;
	state.bundle.historyCalls.set(operationId, {callId, version});
	return [emitEffect({
		kind: 'read-store', operationId, key: version === undefined ? storeKeys.bundleTextsPrefix : getHistoryKey(version), isPrefix: version === undefined,
	})];
}

/** Answers an operator's call for the history or for the text of one version. @internal */
export function answerHistoryCall(state: EntryState, answer: EventOf<'store-answered'>): Output[] {
	const call = state.bundle.historyCalls.get(answer.operationId);
	if (call === undefined) {
		return [];
	}

	state.bundle.historyCalls.delete(answer.operationId);
	const {callId, version} = call;
	if (answer.result !== 'applied') {
		return [answerCall(callId, 503, {outcome: 'refused', message: 'the store does not answer'})];
	}

	const records = answer.entries.map(entry => parseHistory(entry.value)).filter(record => record !== undefined);
	if (version !== undefined) {
		const [record] = records;
		return [record === undefined
			? answerCall(callId, 404, {outcome: 'refused', message: `version ${version} is not in the history`})
			: answerCall(callId, 200, record)];
	}

	const versions = records
		.map(({version: accepted, signedBy, acceptedAt, acceptedBy}) => ({
			version: accepted, signedBy, acceptedAt, acceptedBy,
		}))
		.sort((left, right) => right.version - left.version);
	return [answerCall(callId, 200, {inForce: state.bundle.current?.version ?? 0, versions})];
}

function answerCall(callId: string, status: number, body: unknown): Output {
	return restartEvent({
		kind: 'operator-answered', callId, status, body,
	});
}
