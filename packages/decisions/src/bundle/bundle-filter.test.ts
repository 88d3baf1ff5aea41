import {describe, expect, it} from 'vitest';
import {
	defaultTimings, storeKeys, type Bundle, type EffectOf, type EntryEvent, type EventOf, type SignedBundle,
} from '@pistachiogauge/model';
import {runChain, type Filter} from '../chain.js';
import {createRandomSource} from '../context.js';
import {createEntryState, type EntryState} from '../entry-state.js';
import {bundleFilter} from './bundle-filter.js';

type BundleOptions = {readonly pools?: readonly string[]; readonly services?: Readonly<Record<string, string>>; readonly expiresAt?: number};

const wallTime = 1_700_000_000_000;
const bundles = new Map<string, Bundle>();

/** Creates a signed bundle and registers its content under its text, from which `readBundle` returns it. */
function createSignedBundle(version: number, options: BundleOptions = {}, signedBy = 'ana'): SignedBundle {
	const {pools = ['p'], services = {}, expiresAt} = options;
	const text = JSON.stringify({version, options});
	bundles.set(text, {
		schemaVersion: 1,
		version,
		expiresAt,
		pools: Object.fromEntries(pools.map(pool => [pool, {
			budget: 1, maintenancePeriodDays: 35, isSpare: false, minInstances: 1, slotsPerInstance: 8,
		}])),
		services: Object.fromEntries(Object.entries(services).map(([service, pool]) => [service, {
			pool, defaultClass: 'normal', shares: {urgent: 1, normal: 1, deferrable: 1}, queueLimit: 1, notExecutedStatuses: [], defaultDeadlineMs: 1000,
		}])),
		teams: {},
	});
	return {
		version, text, signedBy, signature: `${signedBy}${version}`,
	};
}

type BundleHarness = {
	readonly state: EntryState;
	readonly pairs: Map<string, {value: string; revision: number}>;
	readonly answers: Array<EventOf<'operator-answered'>>;
	readonly auditEvents: Array<EventOf<'audit-event'>>;
	/** Called before each write takes effect; returns whether the answer arrives. */
	onWrite: (effect: EffectOf<'write-store'>) => boolean;
	now: number;
	push(event: EntryEvent): void;
	apply(bundle: SignedBundle, callId?: string): void;
	writeHead(bundle: SignedBundle): void;
	getHead(): SignedBundle;
};

function createHarness(): BundleHarness {
	const state = createEntryState({
		id: 'entry', zone: 'z', peerAddress: '127.0.0.1:1', timings: defaultTimings, verifyBundle: ({text}) => ({kind: 'valid', bundle: bundles.get(text)!}),
	});
	state.membership.isStoreReached = true;
	let revision = 10;
	const collector: Filter = {
		name: 'collector', handlers: {
			'operator-answered'(_state, answer) {
				harness.answers.push(answer);
				return [];
			},
			'audit-event'(_state, auditEvent) {
				harness.auditEvents.push(auditEvent);
				return [];
			},
		},
	};
	const write = (effect: EffectOf<'write-store'>) => {
		const isAnswered = harness.onWrite(effect);
		const {condition, key, value, operationId} = effect;
		const current = harness.pairs.get(key);
		const isMet = condition.kind === 'always' || (condition.kind === 'absent' ? current === undefined : current?.revision === condition.revision);
		if (isMet) {
			revision += 1;
			harness.pairs.set(key, {value, revision});
		}

		const result = isMet ? 'applied' as const : 'conflict' as const;
		harness.push({
			kind: 'store-answered', operationId, result: isAnswered ? result : 'failed', entries: isAnswered && isMet ? [{key, value, revision}] : [],
		});
	};

	const harness: BundleHarness = {
		state,
		pairs: new Map(),
		answers: [],
		auditEvents: [],
		onWrite: () => true,
		now: 0,
		push(event) {
			for (const effect of runChain([bundleFilter, collector], state, event, {now: harness.now, wallTime, random: createRandomSource(1)})) {
				if (effect.kind === 'write-store') {
					write(effect);
				} else if (effect.kind === 'read-store') {
					const entries = [...harness.pairs].filter(([key]) => effect.isPrefix ? key.startsWith(effect.key) : key === effect.key).map(([key, pair]) => ({key, ...pair}));
					harness.push({
						kind: 'store-answered', operationId: effect.operationId, result: 'applied', entries,
					});
				}
			}
		},
		apply(bundle, callId = 'call') {
			harness.push({
				kind: 'operator-called', callId, operator: bundle.signedBy, command: {command: 'bundle-apply', bundle, nonce: `nonce-${callId}`},
			});
		},
		writeHead(bundle) {
			revision += 1;
			harness.pairs.set(storeKeys.bundleHead, {value: JSON.stringify({...bundle, nonce: 'other'}), revision});
		},
		getHead: () => JSON.parse(harness.pairs.get(storeKeys.bundleHead)!.value) as SignedBundle,
	};
	harness.push({kind: 'store-reached'});
	return harness;
}

function addInstance(state: EntryState, id: string, pool: string): void {
	state.fleet.instances.set(id, {
		listed: undefined,
		wasLeaving: false,
		unlistedAt: undefined,
		record: {pool, moves: 0},
		recordRevision: 1,
		recordReceivedAt: 0,
		isRewritingRecord: false,
		quarantinedUntil: undefined,
		nextRecordWriteAt: 0,
	});
}

const serviceInPool = {services: {s: 'p'}};

// Guards against a bundle that leaves instances without a pool or lets a request with an idempotency key run twice, and against refusals without a reason.
const applyCases: Array<{name: string; prepare?: (harness: BundleHarness) => void; bundle: SignedBundle; status: number; message?: RegExp}> = [
	{name: 'a higher version', bundle: createSignedBundle(2, serviceInPool), status: 200},
	{
		name: 'the same version', bundle: createSignedBundle(1), status: 409, message: /not above 1, signed by ana/u,
	},
	{
		name: 'an expired bundle', bundle: createSignedBundle(2, {expiresAt: wallTime}), status: 422, message: /expired/u,
	},
	{
		name: 'a pool is removed that still has instances', prepare({state}) {
			addInstance(state, 'p1', 'p');
		}, bundle: createSignedBundle(2, {pools: ['q']}), status: 409, message: /pool p still has instances: p1/u,
	},
	{name: 'an empty pool is removed', bundle: createSignedBundle(2, {pools: ['q']}), status: 200},
	{name: 'a service moves to another pool', bundle: createSignedBundle(2, {pools: ['p', 'q'], services: {s: 'q'}}), status: 200},
	{name: 'a service is removed', bundle: createSignedBundle(2), status: 200},
	{
		name: 'the answer to the write is lost', prepare(harness) {
			harness.onWrite = ({key}) => key !== storeKeys.bundleHead;
		}, bundle: createSignedBundle(2, serviceInPool), status: 200,
	},
	{
		name: 'another operator was first', prepare(harness) {
			harness.onWrite = ({key}) => {
				if (key === storeKeys.bundleHead && harness.getHead().version === 1) {
					harness.writeHead(createSignedBundle(2, serviceInPool, 'can'));
				}

				return true;
			};
		}, bundle: createSignedBundle(2, serviceInPool), status: 409, message: /version 2 by can was accepted first/u,
	},
];

describe('bundle-apply', () => {
	it.each(applyCases)('$name', ({prepare, bundle, status, message}) => {
		const harness = createHarness();
		harness.apply(createSignedBundle(1, serviceInPool), 'first');
		prepare?.(harness);
		harness.apply(bundle);
		expect(harness.answers.at(-1)).toMatchObject({callId: 'call', status});
		expect(harness.answers.at(-1)!.body).toMatchObject(message === undefined ? {} : {message: expect.stringMatching(message) as string});
		expect(harness.auditEvents.at(-1)).toMatchObject({action: 'bundle-apply', result: status === 200 ? 'done' : 'refused'});
	});
});

// Guards against an applied bundle that entries started later never see, because the store was restored from an older copy.
const restoreCases: Array<{name: string; restore: (harness: BundleHarness) => void; event: EntryEvent}> = [
	{
		name: 'the store is reached again', restore(harness) {
			harness.writeHead(createSignedBundle(1));
		}, event: {kind: 'store-reached'},
	},
	{
		name: 'a watch shows the older head', restore(harness) {
			harness.writeHead(createSignedBundle(1));
		}, event: {
			kind: 'store-changed', key: storeKeys.bundleHead, value: JSON.stringify({...createSignedBundle(1), nonce: 'other'}), revision: 99,
		},
	},
	{
		name: 'the head record is missing', restore(harness) {
			harness.pairs.delete(storeKeys.bundleHead);
		}, event: {kind: 'store-reached'},
	},
	{
		name: 'the revisions restart', restore(harness) {
			harness.pairs.set(storeKeys.bundleHead, {value: JSON.stringify({...createSignedBundle(1), nonce: 'other'}), revision: 2});
		}, event: {kind: 'store-reached'},
	},
];

describe('a store with an older head record', () => {
	it.each(restoreCases)('gets back the newer one: $name', ({restore, event}) => {
		const harness = createHarness();
		harness.apply(createSignedBundle(1), 'first');
		harness.apply(createSignedBundle(2), 'second');
		restore(harness);
		harness.push(event);
		expect(harness.getHead().version).toBe(2);
		expect(harness.state.bundle.current?.version).toBe(2);
		harness.apply(createSignedBundle(3), 'third');
		expect(harness.answers.at(-1)?.status).toBe(200);
	});
});

describe('bundle-history', () => {
	it('keeps every accepted version with its signer, and its text', () => {
		const harness = createHarness();
		for (const version of [1, 2, 3]) {
			harness.apply(createSignedBundle(version));
		}

		harness.push({
			kind: 'operator-called', callId: 'history', operator: 'ana', command: {command: 'bundle-history'},
		});
		expect(harness.answers.at(-1)?.body).toMatchObject({versions: [{version: 3, signedBy: 'ana'}, {version: 2}, {version: 1}]});
		harness.push({
			kind: 'operator-called', callId: 'text', operator: 'ana', command: {command: 'bundle-text', version: 2},
		});
		expect(harness.answers.at(-1)?.body).toMatchObject({version: 2, text: createSignedBundle(2).text});
		harness.push({
			kind: 'operator-called', callId: 'text', operator: 'ana', command: {command: 'bundle-text', version: 9},
		});
		expect(harness.answers.at(-1)?.status).toBe(404);
	});

	// Guards against a history that lacks a version because the entry that accepted it ended right afterwards.
	it('adds the previous version, which another entry accepted', () => {
		const harness = createHarness();
		harness.writeHead(createSignedBundle(1));
		harness.push({kind: 'store-reached'});
		harness.apply(createSignedBundle(2));
		expect([...harness.pairs.keys()].filter(key => key.startsWith(storeKeys.bundleTextsPrefix))).toHaveLength(2);
	});
});

// Guards against a restarted entry that has no bundle for long because its first read of the head record failed (soak seed 1003).
it('retries a failed read of the head record soon', () => {
	const harness = createHarness();
	harness.push({kind: 'tick'});
	harness.writeHead(createSignedBundle(1));
	harness.push({
		kind: 'store-answered', operationId: 'bundle:head', result: 'failed', entries: [],
	});
	harness.now += 600;
	harness.push({kind: 'tick'});
	expect(harness.state.bundle.current?.version).toBe(1);
});

// Guards against a rollout that transfers the bundle once for each pair of entries, and against an entry that waits forever for one peer.
const requestCases: Array<{name: string; versions: readonly number[]; pauseMs: number; asked: number}> = [
	{
		name: 'a peer with a higher version is asked', versions: [2], pauseMs: 0, asked: 1,
	},
	{
		name: 'a second peer is not asked at the same time', versions: [2, 2], pauseMs: 50, asked: 1,
	},
	{
		name: 'another peer is asked when the first one does not answer', versions: [2, 2], pauseMs: 400, asked: 2,
	},
	{
		name: 'a peer with the same or a lower version is not asked', versions: [1, 0], pauseMs: 400, asked: 0,
	},
];

it.each(requestCases)('$name', ({versions, pauseMs, asked}) => {
	const harness = createHarness();
	harness.writeHead(createSignedBundle(1));
	harness.push({kind: 'store-reached'});
	let count = 0;
	for (const [index, bundleVersion] of versions.entries()) {
		const event: EntryEvent = {
			kind: 'peer-heartbeat', from: `peer-${index}`, message: {
				kind: 'heartbeat', askedAt: 0, adoptedEpoch: 1, bundleVersion, suspects: [],
			},
		};
		const effects = runChain([bundleFilter], harness.state, event, {now: harness.now, wallTime, random: createRandomSource(1)});
		count += effects.filter(effect => effect.kind === 'send-peer' && effect.message.kind === 'bundle-wanted').length;
		harness.now += pauseMs;
	}

	expect(count).toBe(asked);
});

// Guards against a rollout in which operators cannot see which entries are behind.
it('shows which entries are behind', () => {
	const harness = createHarness();
	harness.writeHead(createSignedBundle(2));
	harness.push({kind: 'store-reached'});
	harness.state.membership.record = {
		epoch: 1, members: ['entry', 'a', 'b', 'c'].map(id => ({id, address: '127.0.0.1:1', zone: 'z'})), pools: {}, previousMembers: [], previousPools: {}, forced: false, proposer: 'a',
	};
	for (const [from, bundleVersion] of [['a', 2], ['b', 1]] as const) {
		harness.push({
			kind: 'peer-heartbeat', from, message: {
				kind: 'heartbeat', askedAt: 0, adoptedEpoch: 1, bundleVersion, suspects: [],
			},
		});
	}

	harness.push({
		kind: 'operator-called', callId: 'call', operator: 'ana', command: {command: 'bundle-status'},
	});
	expect(harness.answers.at(-1)?.body).toMatchObject({
		version: 2, others: [{entry: 'a', isBehind: false}, {entry: 'b', isBehind: true}, {entry: 'c', isBehind: true}],
	});
});
