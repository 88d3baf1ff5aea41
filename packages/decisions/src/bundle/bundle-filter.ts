import {signedBundleSchema, storeKeys, type SignedBundle} from '@pistachiogauge/model';
import {z} from 'zod';
import {
	emitEffect, passEvent, restartEvent, type Filter, type Output,
} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {type PendingAcceptance} from './bundle-state.js';

const readOperation = 'bundle:head';
const applyOperationPrefix = 'bundle:apply:';
const settleOperationPrefix = 'bundle:settle:';

/** Head record: the accepted bundle and the nonce of the call that wrote it. */
const headSchema = signedBundleSchema.extend({nonce: z.string()});

/**
Keeps the newest accepted bundle in force and carries it to entries that are behind.

A lower version is never applied, whatever the store or a peer says.

@public
*/
export const bundleFilter: Filter = {
	name: 'bundle',
	handlers: {
		'store-reached': () => [emitEffect({
			kind: 'read-store', operationId: readOperation, key: storeKeys.bundleHead, isPrefix: false,
		})],
		'store-changed': (state, event, context) => event.key === storeKeys.bundleHead && event.value !== undefined
			? applyHead(state, event.value, event.revision, context)
			: [],
		'peer-heartbeat'(state, event) {
			const {signed} = state.bundle;
			return signed !== undefined && event.message.bundleVersion < signed.version
				? [emitEffect({kind: 'send-peer', to: event.from, message: {kind: 'bundle-sent', bundle: signed}})]
				: [];
		},
		'peer-bundle-wanted'(state, event) {
			const {signed} = state.bundle;
			return signed === undefined ? [] : [emitEffect({kind: 'send-peer', to: event.from, message: {kind: 'bundle-sent', bundle: signed}})];
		},
		'peer-bundle-sent': (state, event, context) => applyBundle(state, event.message.bundle, context),
		'operator-called'(state, event) {
			if (event.command.command === 'bundle-apply') {
				return requestApp(state, {
					callId: event.callId, operator: event.operator, signed: event.command.bundle, nonce: event.command.nonce,
				});
			}

			return event.command.command === 'bundle-status'
				? [restartEvent({
					kind: 'operator-answered', callId: event.callId, status: 200, body: getBundleStatus(state),
				})]
				: [];
		},
		'store-answered'(state, event, context) {
			const {bundle} = state;
			if (event.operationId === readOperation && event.result === 'applied') {
				const [head] = event.entries;
				bundle.headRevision = head?.revision ?? 0;
				return head === undefined ? [] : applyHead(state, head.value, head.revision, context);
			}

			if (event.operationId.startsWith(applyOperationPrefix)) {
				// The answer alone does not tell: a failed call may have taken effect. The nonce in the record does.
				const settleId = `${settleOperationPrefix}${event.operationId.slice(applyOperationPrefix.length)}`;
				return [emitEffect({
					kind: 'read-store', operationId: settleId, key: storeKeys.bundleHead, isPrefix: false,
				})];
			}

			if (event.operationId.startsWith(settleOperationPrefix)) {
				return settleApp(state, event.operationId.slice(settleOperationPrefix.length), event, context);
			}

			return [];
		},
	},
};

function requestApp(state: EntryState, app: PendingAcceptance): Output[] {
	const {bundle} = state;
	const reading = state.config.readBundle(app.signed);
	if (reading.kind === 'invalid') {
		return refuse(app, 422, reading.reason);
	}

	const currentVersion = bundle.current?.version ?? 0;
	if (reading.bundle.version <= currentVersion) {
		return refuse(app, 409, `version ${reading.bundle.version} is not above ${currentVersion}, signed by ${bundle.signed?.signedBy ?? 'nobody'}`);
	}

	if (bundle.headRevision === undefined) {
		return refuse(app, 503, 'the store has not been reached yet');
	}

	bundle.operationCount += 1;
	const id = String(bundle.operationCount);
	bundle.pending.set(id, app);
	return [emitEffect({
		kind: 'write-store',
		operationId: `${applyOperationPrefix}${id}`,
		key: storeKeys.bundleHead,
		value: JSON.stringify({...app.signed, nonce: app.nonce}),
		condition: bundle.headRevision === 0 ? {kind: 'absent'} : {kind: 'unchanged', revision: bundle.headRevision},
		isLeased: false,
	})];
}

function settleApp(
	state: EntryState,
	id: string,
	answer: {readonly result: string; readonly entries: ReadonlyArray<{readonly value: string; readonly revision: number}>},
	context: DecisionContext,
): Output[] {
	const app = state.bundle.pending.get(id);
	if (app === undefined) {
		return [];
	}

	state.bundle.pending.delete(id);
	if (answer.result !== 'applied') {
		return [restartEvent({
			kind: 'operator-answered', callId: app.callId, status: 504, body: {outcome: 'unknown', message: 'the store does not answer; ask for the bundle status later'},
		})];
	}

	const [head] = answer.entries;
	const record = head === undefined ? undefined : headSchema.safeParse(parseJson(head.value)).data;
	const outputs = head === undefined ? [] : applyHead(state, head.value, head.revision, context);
	if (record?.nonce !== app.nonce) {
		return [...outputs, ...refuse(app, 409, `version ${record?.version ?? 0} by ${record?.signedBy ?? 'nobody'} was accepted first`)];
	}

	return [
		...outputs,
		passEvent({
			kind: 'change-made', by: app.operator, action: 'bundle-apply', subject: `version ${record.version}`, result: 'done', detail: '',
		}),
		restartEvent({
			kind: 'operator-answered', callId: app.callId, status: 200, body: {outcome: 'accepted', version: record.version},
		}),
	];
}

function refuse(app: PendingAcceptance, status: number, reason: string): Output[] {
	return [
		passEvent({
			kind: 'change-made', by: app.operator, action: 'bundle-apply', subject: `version ${app.signed.version}`, result: 'refused', detail: reason,
		}),
		restartEvent({
			kind: 'operator-answered', callId: app.callId, status, body: {outcome: 'refused', message: reason},
		}),
	];
}

function applyHead(state: EntryState, text: string, revision: number, context: DecisionContext): Output[] {
	state.bundle.headRevision = Math.max(revision, state.bundle.headRevision ?? 0);
	const head = headSchema.safeParse(parseJson(text));
	return head.success ? applyBundle(state, head.data, context) : [];
}

function applyBundle(state: EntryState, signed: SignedBundle, context: DecisionContext): Output[] {
	const {bundle, config, membership} = state;
	if (signed.version <= (bundle.current?.version ?? 0)) {
		return [];
	}

	const reading = config.readBundle(signed);
	if (reading.kind === 'invalid') {
		return [
			emitEffect({kind: 'count', metric: 'bundles_refused_total', by: 1}),
			passEvent({
				kind: 'change-made', by: signed.signedBy, action: 'bundle-receive', subject: `version ${signed.version}`, result: 'refused', detail: reading.reason,
			}),
		];
	}

	bundle.current = reading.bundle;
	bundle.signed = {
		version: signed.version, text: signed.text, signedBy: signed.signedBy, signature: signed.signature,
	};
	bundle.appliedAt = context.now;
	return [
		emitEffect({
			kind: 'log', level: 'info', message: 'bundle in force', fields: {version: signed.version, signedBy: signed.signedBy},
		}),
		...[...membership.links].map(to => emitEffect({kind: 'send-peer', to, message: {kind: 'bundle-sent', bundle: bundle.signed!}})),
		passEvent({kind: 'bundle-applied', version: signed.version}),
	];
}

function getBundleStatus(state: EntryState): unknown {
	const {bundle, config} = state;
	return {entry: config.id, version: bundle.current?.version ?? 0, signedBy: bundle.signed?.signedBy};
}
