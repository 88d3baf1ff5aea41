import {signedBundleSchema, storeKeys, type SignedBundle} from '@pistachiogauge/model';
import {z} from 'zod';
import {emitEffect, passEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';

/** @internal */
export const headReadOperation = 'bundle:head';
/** @internal */
export const headRestoreOperation = 'bundle:restore';

/** Head record: the latest accepted bundle and the nonce of the call that wrote it. */
const headSchema = signedBundleSchema.extend({nonce: z.string()});
/** @internal */
export type BundleHead = z.infer<typeof headSchema>;

type HeadEntry = {readonly value: string; readonly revision: number};

/** @internal */
export function readHead(): Output {
	return emitEffect({
		kind: 'read-store', operationId: headReadOperation, key: storeKeys.bundleHead, isPrefix: false,
	});
}

/** @internal */
export function parseHead(entry: HeadEntry | undefined): BundleHead | undefined {
	return entry === undefined ? undefined : headSchema.safeParse(parseJson(entry.value)).data;
}

/**
Applies the head record as read from the store. Its revision is adopted even if it is lower than before, because a restored store may restart its revisions.

@internal
*/
export function applyHead(state: EntryState, entry: HeadEntry | undefined, context: DecisionContext): Output[] {
	const {bundle} = state;
	bundle.headRevision = entry?.revision ?? 0;
	const head = parseHead(entry);
	const version = head?.version ?? 0;
	if (bundle.signed !== undefined && version < bundle.signed.version) {
		return [restoreHead(state, bundle.signed)];
	}

	return head === undefined ? [] : applyBundle(state, head, context);
}

/** Writes the applied bundle to a store that was restored from an older copy. If several entries do so, only one succeeds. */
function restoreHead(state: EntryState, signed: SignedBundle): Output {
	const revision = state.bundle.headRevision ?? 0;
	return emitEffect({
		kind: 'write-store',
		operationId: headRestoreOperation,
		key: storeKeys.bundleHead,
		value: JSON.stringify({...signed, nonce: `restored by ${state.config.id}`}),
		condition: revision === 0 ? {kind: 'absent'} : {kind: 'unchanged', revision},
		isLeased: false,
	});
}

/** Applies a change of the head record reported by a watch. Watches can deliver late, so an older version is confirmed by a read first. @internal */
export function applyWatchedHead(state: EntryState, entry: HeadEntry, context: DecisionContext): Output[] {
	const head = parseHead(entry);
	if (head === undefined || head.version < (state.bundle.current?.version ?? 0)) {
		return [readHead()];
	}

	state.bundle.headRevision = Math.max(entry.revision, state.bundle.headRevision ?? 0);
	return applyBundle(state, head, context);
}

/** Applies a bundle if its version is higher than the current one and its signature is valid. @internal */
export function applyBundle(state: EntryState, signed: SignedBundle, context: DecisionContext): Output[] {
	const {bundle, config} = state;
	if (signed.version <= (bundle.current?.version ?? 0)) {
		return [];
	}

	const result = config.verifyBundle(signed);
	if (result.kind === 'invalid') {
		return [
			emitEffect({kind: 'count', metric: 'bundles_refused_total', by: 1}),
			passEvent({
				kind: 'audit-event', by: signed.signedBy, action: 'bundle-receive', subject: `version ${signed.version}`, result: 'refused', detail: result.reason,
			}),
		];
	}

	bundle.current = result.bundle;
	bundle.signed = {
		version: signed.version, text: signed.text, signedBy: signed.signedBy, signature: signed.signature,
	};
	bundle.appliedAt = context.now;
	return [
		emitEffect({
			kind: 'log', level: 'info', message: 'bundle applied', fields: {version: signed.version, signedBy: signed.signedBy},
		}),
		passEvent({kind: 'bundle-applied', version: signed.version}),
	];
}
