import {type EffectOf, type KeyValue, type StoreResult} from '@pistachiogauge/model';

/** Call of an entry to the key-value store. */
export type StoreEffect = EffectOf<'read-store'> | EffectOf<'write-store'> | EffectOf<'delete-store'>;
/** Answer of the virtual store to a call. */
export type StoreReply = {
	readonly result: StoreResult;
	readonly entries: readonly KeyValue[];
};
/** Change of a key as a watch delivers it; without a value if the key was deleted. */
export type StoreChange = {readonly key: string; readonly value?: string; readonly revision: number};

/** In-memory key-value store with revisions, compare-and-swap on single keys, and snapshots. */
export type VirtualStore = {
	readonly pairs: Map<string, KeyValue>;
	handleCall(effect: StoreEffect): {reply: StoreReply; changes: StoreChange[]};
	/** Saves the contents and the revision; returns a function that restores them. */
	createSnapshot(): () => void;
};

/** Creates an empty store. */
export function createVirtualStore(): VirtualStore {
	const pairs = new Map<string, KeyValue>();
	let revision = 0;

	function isConditionMet({key, condition}: EffectOf<'write-store'>): boolean {
		const current = pairs.get(key)?.revision ?? 0;
		return condition.kind === 'always' || (condition.kind === 'absent' ? current === 0 : condition.revision === current);
	}

	const callHandlers: {readonly [Kind in StoreEffect['kind']]: (effect: EffectOf<Kind>) => {reply: StoreReply; changes: StoreChange[]}} = {
		'read-store': ({key, isPrefix}) => ({
			reply: {result: 'applied', entries: [...pairs.values()].filter(pair => isPrefix ? pair.key.startsWith(key) : pair.key === key)},
			changes: [],
		}),
		'write-store'(effect) {
			if (!isConditionMet(effect)) {
				return {reply: {result: 'conflict', entries: []}, changes: []};
			}

			revision += 1;
			const entry = {key: effect.key, value: effect.value, revision};
			pairs.set(effect.key, entry);
			return {reply: {result: 'applied', entries: [entry]}, changes: [entry]};
		},
		'delete-store'({key}) {
			revision += 1;
			pairs.delete(key);
			return {reply: {result: 'applied', entries: []}, changes: [{key, revision}]};
		},
	};

	return {
		pairs,
		handleCall: effect => (callHandlers[effect.kind] as (value: StoreEffect) => {reply: StoreReply; changes: StoreChange[]})(effect),
		createSnapshot() {
			const saved = [...pairs];
			const savedRevision = revision;
			return () => {
				pairs.clear();
				for (const [key, entry] of saved) {
					pairs.set(key, entry);
				}

				revision = savedRevision;
			};
		},
	};
}
