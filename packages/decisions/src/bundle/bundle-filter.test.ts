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

/** A signed bundle whose text stands for the given content. */
function createSigned(version: number, options: BundleOptions = {}, signedBy = 'ana'): SignedBundle {
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

type Rig = {
	readonly state: EntryState;
	readonly pairs: Map<string, {value: string; revision: number}>;
	readonly answers: Array<EventOf<'operator-answered'>>;
	readonly changes: Array<EventOf<'audit-event'>>;
	/** Called before each write takes effect, and says whether its answer arrives. */
	onWrite: (effect: EffectOf<'write-store'>) => boolean;
	now: number;
	push(event: EntryEvent): void;
	apply(bundle: SignedBundle, callId?: string): void;
	writeHead(bundle: SignedBundle): void;
	getHead(): SignedBundle;
};

function createRig(): Rig {
	const state = createEntryState({
		id: 'entry', zone: 'z', peerAddress: '127.0.0.1:1', timings: defaultTimings, readBundle: ({text}) => ({kind: 'valid', bundle: bundles.get(text)!}),
	});
	state.membership.isStoreReached = true;
	let revision = 10;
	const collector: Filter = {
		name: 'collector', handlers: {
			'operator-answered'(_state, answer) {
				rig.answers.push(answer);
				return [];
			},
			'audit-event'(_state, change) {
				rig.changes.push(change);
				return [];
			},
		},
	};
	const write = (effect: EffectOf<'write-store'>) => {
		const isAnswered = rig.onWrite(effect);
		const {condition, key, value, operationId} = effect;
		const current = rig.pairs.get(key);
		const isMet = condition.kind === 'always' || (condition.kind === 'absent' ? current === undefined : current?.revision === condition.revision);
		if (isMet) {
			revision += 1;
			rig.pairs.set(key, {value, revision});
		}

		const result = isMet ? 'applied' as const : 'conflict' as const;
		rig.push({
			kind: 'store-answered', operationId, result: isAnswered ? result : 'failed', entries: isAnswered && isMet ? [{key, value, revision}] : [],
		});
	};

	const rig: Rig = {
		state,
		pairs: new Map(),
		answers: [],
		changes: [],
		onWrite: () => true,
		now: 0,
		push(event) {
			for (const effect of runChain([bundleFilter, collector], state, event, {now: rig.now, wallTime, random: createRandomSource(1)})) {
				if (effect.kind === 'write-store') {
					write(effect);
				} else if (effect.kind === 'read-store') {
					const entries = [...rig.pairs].filter(([key]) => effect.isPrefix ? key.startsWith(effect.key) : key === effect.key).map(([key, pair]) => ({key, ...pair}));
					rig.push({
						kind: 'store-answered', operationId: effect.operationId, result: 'applied', entries,
					});
				}
			}
		},
		apply(bundle, callId = 'call') {
			rig.push({
				kind: 'operator-called', callId, operator: bundle.signedBy, command: {command: 'bundle-apply', bundle, nonce: `nonce-${callId}`},
			});
		},
		writeHead(bundle) {
			revision += 1;
			rig.pairs.set(storeKeys.bundleHead, {value: JSON.stringify({...bundle, nonce: 'other'}), revision});
		},
		getHead: () => JSON.parse(rig.pairs.get(storeKeys.bundleHead)!.value) as SignedBundle,
	};
	rig.push({kind: 'store-reached'});
	return rig;
}

function addInstance(state: EntryState, id: string, pool: string): void {
	state.fleet.instances.set(id, {
		listed: undefined, wasLeaving: false, unlistedAt: undefined, record: {pool, moves: 0}, recordRevision: 1, recordAt: 0, isRestoring: false, doubtUntil: undefined, nextWriteAt: 0,
	});
}

const one = {services: {s: 'p'}};

// Guards against a change that leaves instances without a pool or lets a key run twice, and against answers without a reason.
const applyCases: Array<{name: string; prepare?: (rig: Rig) => void; bundle: SignedBundle; status: number; message?: RegExp}> = [
	{name: 'a higher version', bundle: createSigned(2, one), status: 200},
	{
		name: 'the same version', bundle: createSigned(1), status: 409, message: /not above 1, signed by ana/u,
	},
	{
		name: 'an expired bundle', bundle: createSigned(2, {expiresAt: wallTime}), status: 422, message: /expired/u,
	},
	{
		name: 'a pool is removed that still has instances', prepare({state}) {
			addInstance(state, 'p1', 'p');
		}, bundle: createSigned(2, {pools: ['q']}), status: 409, message: /pool p still has instances: p1/u,
	},
	{name: 'an empty pool is removed', bundle: createSigned(2, {pools: ['q']}), status: 200},
	{name: 'a service moves to another pool', bundle: createSigned(2, {pools: ['p', 'q'], services: {s: 'q'}}), status: 200},
	{name: 'a service is removed', bundle: createSigned(2), status: 200},
	{
		name: 'the answer to the write is lost', prepare(rig) {
			rig.onWrite = ({key}) => key !== storeKeys.bundleHead;
		}, bundle: createSigned(2, one), status: 200,
	},
	{
		name: 'another operator was faster', prepare(rig) {
			rig.onWrite = ({key}) => {
				if (key === storeKeys.bundleHead && rig.getHead().version === 1) {
					rig.writeHead(createSigned(2, one, 'can'));
				}

				return true;
			};
		}, bundle: createSigned(2, one), status: 409, message: /version 2 by can was accepted first/u,
	},
];

describe('bundle-apply', () => {
	it.each(applyCases)('$name', ({prepare, bundle, status, message}) => {
		const rig = createRig();
		rig.apply(createSigned(1, one), 'first');
		prepare?.(rig);
		rig.apply(bundle);
		expect(rig.answers.at(-1)).toMatchObject({callId: 'call', status});
		expect(rig.answers.at(-1)!.body).toMatchObject(message === undefined ? {} : {message: expect.stringMatching(message) as string});
		expect(rig.changes.at(-1)).toMatchObject({action: 'bundle-apply', result: status === 200 ? 'done' : 'refused'});
	});
});

// Guards against a bundle in force that is lost for entries that start later, because the store was restored from a copy.
const restoreCases: Array<{name: string; restore: (rig: Rig) => void; event: EntryEvent}> = [
	{
		name: 'the store is reached again', restore(rig) {
			rig.writeHead(createSigned(1));
		}, event: {kind: 'store-reached'},
	},
	{
		name: 'a watch shows the older head', restore(rig) {
			rig.writeHead(createSigned(1));
		}, event: {
			kind: 'store-changed', key: storeKeys.bundleHead, value: JSON.stringify({...createSigned(1), nonce: 'other'}), revision: 99,
		},
	},
	{
		name: 'the head is gone', restore(rig) {
			rig.pairs.delete(storeKeys.bundleHead);
		}, event: {kind: 'store-reached'},
	},
	{
		name: 'revisions begin anew', restore(rig) {
			rig.pairs.set(storeKeys.bundleHead, {value: JSON.stringify({...createSigned(1), nonce: 'other'}), revision: 2});
		}, event: {kind: 'store-reached'},
	},
];

describe('a store with an older head', () => {
	it.each(restoreCases)('gets the newer one back: $name', ({restore, event}) => {
		const rig = createRig();
		rig.apply(createSigned(1), 'first');
		rig.apply(createSigned(2), 'second');
		restore(rig);
		rig.push(event);
		expect(rig.getHead().version).toBe(2);
		expect(rig.state.bundle.current?.version).toBe(2);
		rig.apply(createSigned(3), 'third');
		expect(rig.answers.at(-1)?.status).toBe(200);
	});
});

describe('bundle-history', () => {
	it('keeps every accepted version with its signer, and its text', () => {
		const rig = createRig();
		for (const version of [1, 2, 3]) {
			rig.apply(createSigned(version));
		}

		rig.push({
			kind: 'operator-called', callId: 'history', operator: 'ana', command: {command: 'bundle-history'},
		});
		expect(rig.answers.at(-1)?.body).toMatchObject({versions: [{version: 3, signedBy: 'ana'}, {version: 2}, {version: 1}]});
		rig.push({
			kind: 'operator-called', callId: 'text', operator: 'ana', command: {command: 'bundle-text', version: 2},
		});
		expect(rig.answers.at(-1)?.body).toMatchObject({version: 2, text: createSigned(2).text});
		rig.push({
			kind: 'operator-called', callId: 'text', operator: 'ana', command: {command: 'bundle-text', version: 9},
		});
		expect(rig.answers.at(-1)?.status).toBe(404);
	});

	// Guards against a history without the version that was accepted by an entry that ended right after.
	it('adds the version before, which another entry accepted', () => {
		const rig = createRig();
		rig.writeHead(createSigned(1));
		rig.push({kind: 'store-reached'});
		rig.apply(createSigned(2));
		expect([...rig.pairs.keys()].filter(key => key.startsWith(storeKeys.bundleTextsPrefix))).toHaveLength(2);
	});
});

// Guards against a restarted entry that stays without a bundle because its first read of the head failed (soak seed 1003).
it('reads the head again soon after a failed read', () => {
	const rig = createRig();
	rig.push({kind: 'tick'});
	rig.writeHead(createSigned(1));
	rig.push({
		kind: 'store-answered', operationId: 'bundle:head', result: 'failed', entries: [],
	});
	rig.now += 600;
	rig.push({kind: 'tick'});
	expect(rig.state.bundle.current?.version).toBe(1);
});

// Guards against a roll-out that costs a copy of the bundle for each pair of entries, and against an entry that waits for one peer without end.
const askCases: Array<{name: string; versions: readonly number[]; pauseMs: number; asked: number}> = [
	{
		name: 'a peer with a higher version is asked', versions: [2], pauseMs: 0, asked: 1,
	},
	{
		name: 'a second peer is not asked at the same time', versions: [2, 2], pauseMs: 50, asked: 1,
	},
	{
		name: 'another peer is asked when no answer has come', versions: [2, 2], pauseMs: 400, asked: 2,
	},
	{
		name: 'a peer with the same or a lower version is not asked', versions: [1, 0], pauseMs: 400, asked: 0,
	},
];

it.each(askCases)('$name', ({versions, pauseMs, asked}) => {
	const rig = createRig();
	rig.writeHead(createSigned(1));
	rig.push({kind: 'store-reached'});
	let count = 0;
	for (const [index, bundleVersion] of versions.entries()) {
		const event: EntryEvent = {
			kind: 'peer-heartbeat', from: `peer-${index}`, message: {
				kind: 'heartbeat', askedAt: 0, adoptedEpoch: 1, bundleVersion, suspects: [],
			},
		};
		const effects = runChain([bundleFilter], rig.state, event, {now: rig.now, wallTime, random: createRandomSource(1)});
		count += effects.filter(effect => effect.kind === 'send-peer' && effect.message.kind === 'bundle-wanted').length;
		rig.now += pauseMs;
	}

	expect(count).toBe(asked);
});

// Guards against a roll-out whose stragglers no operator can see.
it('shows which entries are behind', () => {
	const rig = createRig();
	rig.writeHead(createSigned(2));
	rig.push({kind: 'store-reached'});
	rig.state.membership.record = {
		epoch: 1, members: ['entry', 'a', 'b', 'c'].map(id => ({id, address: '127.0.0.1:1', zone: 'z'})), pools: {}, previousMembers: [], previousPools: {}, forced: false, proposer: 'a',
	};
	for (const [from, bundleVersion] of [['a', 2], ['b', 1]] as const) {
		rig.push({
			kind: 'peer-heartbeat', from, message: {
				kind: 'heartbeat', askedAt: 0, adoptedEpoch: 1, bundleVersion, suspects: [],
			},
		});
	}

	rig.push({
		kind: 'operator-called', callId: 'call', operator: 'ana', command: {command: 'bundle-status'},
	});
	expect(rig.answers.at(-1)?.body).toMatchObject({
		version: 2, others: [{entry: 'a', isBehind: false}, {entry: 'b', isBehind: true}, {entry: 'c', isBehind: true}],
	});
});
