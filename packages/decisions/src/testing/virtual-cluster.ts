import {
	defaultTimings, storeKeys, type Effect, type EffectKind, type EffectOf, type EntryEvent, type EntryId,
	type EntryTimings, type PeerMessage, type RequestResult, type ServiceRequest,
} from '@pistachiogauge/model';
import {applyEvent} from '../apply-event.js';
import {createRandomSource, type DecisionContext} from '../context.js';
import {createEntryState, type EntryState} from '../entry-state.js';
import {getPoolPermissionExpiry} from '../membership/index.js';
import {createTestBundle} from './test-bundle.js';
import {createVirtualStore, type StoreEffect, type VirtualStore} from './virtual-store.js';

/** One entry of the cluster. */
export type VirtualEntry = {
	readonly state: EntryState;
	readonly id: EntryId;
	/** Offset of its wall clock from virtual time. */
	wallOffsetMs: number;
	isPaused: boolean;
	hasExited: boolean;
	isStoreUnreachable: boolean;
	/** Delivered when the entry is resumed. */
	readonly eventsDuringPause: EntryEvent[];
};

/** A request that reached an endpoint. */
export type EndpointSend = {
	readonly at: number;
	readonly entryId: EntryId;
	readonly attemptId: string;
	readonly request: ServiceRequest;
};

/** Options of a cluster. */
export type ClusterOptions = {
	readonly entries: ReadonlyArray<{readonly id: EntryId; readonly zone: string}>;
	readonly services?: Readonly<Record<string, string>>;
	readonly timings?: Partial<EntryTimings>;
	/** Service time of endpoints; undefined if they never answer. */
	readonly answerMs?: number;
	/** Seed of all random numbers in the cluster; 1 by default. */
	readonly seed?: number;
};

/** Several entries in virtual time, with a simulated store, links and endpoints. */
export type VirtualCluster = ReturnType<typeof createVirtualCluster>;

const tickIntervalMs = 50;
const listIntervalMs = 1000;
const linkDelayMs = 1;
const storeDelayMs = 2;
const startWallTime = 1_800_000_000_000;

/** Creates a cluster; time advances only in `runFor`. */
export function createVirtualCluster(options: ClusterOptions) {
	const store: VirtualStore = createVirtualStore();
	const entries = new Map<EntryId, VirtualEntry>();
	const queue: Array<{at: number; order: number; run: () => void}> = [];
	const cutLinks = new Set<string>();
	const sends: EndpointSend[] = [];
	const results = new Map<string, RequestResult[]>();
	const operatorAnswers: Array<EffectOf<'answer-operator'>> = [];
	const effects: Array<{at: number; by: EntryId; effect: Effect}> = [];
	const random = createRandomSource(options.seed ?? 1);
	let now = 0;
	let order = 0;
	/** Functions that decide whether a message or a store answer is lost; tests replace them. */
	const faults = {
		isDropped: (_from: EntryId, _to: EntryId, _message: PeerMessage): boolean => false,
		isAnswerLost: (_by: EntryId, _effect: StoreEffect): boolean => false,
	};

	function schedule(delayMs: number, run: () => void): void {
		order += 1;
		queue.push({at: now + delayMs, order, run});
	}

	function pushEvent(id: EntryId, event: EntryEvent): void {
		const entry = entries.get(id);
		if (entry === undefined || entry.hasExited) {
			return;
		}

		if (entry.isPaused) {
			entry.eventsDuringPause.push(event);
			return;
		}

		// The monotonic clock of the entries starts at 5 s, not at 0.
		const context: DecisionContext = {now: now + 5000, wallTime: startWallTime + now + entry.wallOffsetMs, random};
		for (const effect of applyEvent(entry.state, event, context)) {
			effects.push({at: now, by: id, effect});
			(effectHandlers[effect.kind] as ((from: VirtualEntry, value: Effect) => void) | undefined)?.(entry, effect);
		}
	}

	function isDisconnected(from: EntryId, to: EntryId): boolean {
		return cutLinks.has(`${from}>${to}`) || entries.get(to)?.hasExited !== false;
	}

	function callStore(entry: VirtualEntry, effect: StoreEffect): void {
		const {operationId} = effect;
		schedule(storeDelayMs, () => {
			if (entry.isStoreUnreachable) {
				pushEvent(entry.id, {
					kind: 'store-answered', operationId, result: 'failed', entries: [],
				});
				return;
			}

			const {reply, changes} = store.handleCall(effect);
			const answer = faults.isAnswerLost(entry.id, effect) ? {result: 'failed' as const, entries: []} : reply;
			schedule(storeDelayMs, () => {
				pushEvent(entry.id, {kind: 'store-answered', operationId, ...answer});
			});
			for (const watcher of entries.values()) {
				for (const change of watcher.isStoreUnreachable ? [] : changes) {
					schedule(storeDelayMs, () => {
						pushEvent(watcher.id, {kind: 'store-changed', ...change});
					});
				}
			}
		});
	}

	const effectHandlers: {readonly [Kind in EffectKind]?: (entry: VirtualEntry, effect: EffectOf<Kind>) => void} = {
		'read-store': callStore,
		'write-store': callStore,
		'delete-store': callStore,
		'send-peer'(entry, {to, message}) {
			if (!isDisconnected(entry.id, to) && !faults.isDropped(entry.id, to, message)) {
				schedule(linkDelayMs, () => {
					if (!isDisconnected(entry.id, to)) {
						pushEvent(to, {kind: `peer-${message.kind}`, from: entry.id, message} as EntryEvent);
					}
				});
			}
		},
		'open-link'(entry, {entryId}) {
			schedule(linkDelayMs, () => {
				openLink(entry.id, entryId);
			});
		},
		'send-endpoint'(entry, {attemptId, request}) {
			sends.push({
				at: now, entryId: entry.id, attemptId, request,
			});
			if (options.answerMs !== undefined) {
				schedule(options.answerMs, () => {
					pushEvent(entry.id, {
						kind: 'endpoint-answered', attemptId, status: 200, headers: [], body: new Uint8Array([1]),
					});
				});
			}
		},
		'probe-endpoint'(entry, {instanceId}) {
			schedule(linkDelayMs, () => {
				pushEvent(entry.id, {kind: 'probe-ended', instanceId, isHealthy: true});
			});
		},
		'answer-caller'(_entry, {requestId, result}) {
			results.set(requestId, [...results.get(requestId) ?? [], result]);
		},
		'answer-operator'(_entry, effect) {
			operatorAnswers.push(effect);
		},
		'stop-process'(entry) {
			killEntry(entry.id);
		},
	};

	function openLink(left: EntryId, right: EntryId): void {
		if (!isDisconnected(left, right) && !isDisconnected(right, left)) {
			pushEvent(left, {kind: 'link-up', entryId: right});
			pushEvent(right, {kind: 'link-up', entryId: left});
		}
	}

	function startEntry(id: EntryId, zone: string, address = `127.0.0.1:${7000 + entries.size}`): void {
		const verifyBundle = ({version, text}: {version: number; text: string}) => ({kind: 'valid' as const, bundle: createTestBundle(version, JSON.parse(text) as Record<string, string>)});
		const state = createEntryState({
			id, zone, peerAddress: address, timings: {...defaultTimings, ...options.timings}, verifyBundle,
		});
		entries.set(id, {
			id, state, wallOffsetMs: 0, isPaused: false, hasExited: false, isStoreUnreachable: false, eventsDuringPause: [],
		});
		const pools = new Set(Object.values(options.services ?? {}));
		const instances = [...pools].map((pool, index) => ({
			id: `w-${pool}`, address: `127.0.0.1:${9000 + index}`, zone: 'z1', rack: 'r1', pool, state: 'live' as const,
		}));
		schedule(0, () => {
			pushEvent(id, {kind: 'store-reached'});
		});
		const listInstances = () => {
			pushEvent(id, {kind: 'instances-listed', instances});
			schedule(listIntervalMs, listInstances);
		};

		const tick = () => {
			pushEvent(id, {kind: 'tick'});
			schedule(tickIntervalMs, tick);
		};

		schedule(0, listInstances);
		schedule(1 + random.getInteger(tickIntervalMs), tick);
	}

	function killEntry(id: EntryId): void {
		entries.get(id)!.hasExited = true;
		for (const other of entries.keys()) {
			pushEvent(other, {kind: 'link-down', entryId: id});
		}
	}

	function setLink(left: EntryId, right: EntryId, isUp: boolean): void {
		for (const [from, to] of [[left, right], [right, left]] as const) {
			if (isUp) {
				cutLinks.delete(`${from}>${to}`);
			} else {
				cutLinks.add(`${from}>${to}`);
				pushEvent(from, {kind: 'link-down', entryId: to});
			}
		}

		if (isUp) {
			openLink(left, right);
		}
	}

	function setBundle(version: number, services: Readonly<Record<string, string>>): void {
		const value = JSON.stringify({
			version, text: JSON.stringify(services), signedBy: 'test', signature: '', nonce: String(version),
		});
		const {changes} = store.handleCall({
			kind: 'write-store', operationId: '', key: storeKeys.bundleHead, value, condition: {kind: 'always'}, isLeased: false,
		});
		for (const {id, isStoreUnreachable} of entries.values()) {
			if (!isStoreUnreachable) {
				pushEvent(id, {kind: 'store-changed', ...changes[0]!});
			}
		}
	}

	setBundle(1, options.services ?? {});
	for (const {id, zone} of options.entries) {
		startEntry(id, zone);
	}

	return {
		store, entries, cutLinks, sends, results, operatorAnswers, effects, faults, startEntry, killEntry, setLink, setBundle, pushEvent, schedule,
		getNow: () => now,
		getWallTime: () => startWallTime + now,
		/** Cuts or restores the links between the given entries and all others; the links among them stay. */
		setLinksToOthers(ids: readonly EntryId[], isUp: boolean): void {
			for (const left of ids) {
				for (const right of entries.keys()) {
					if (!ids.includes(right)) {
						setLink(left, right, isUp);
					}
				}
			}
		},
		setStoreConnection(id: EntryId, isUp: boolean): void {
			entries.get(id)!.isStoreUnreachable = !isUp;
			pushEvent(id, {kind: isUp ? 'store-reached' : 'store-lost'});
		},
		resumeEntry(id: EntryId): void {
			const entry = entries.get(id)!;
			entry.isPaused = false;
			for (const event of entry.eventsDuringPause.splice(0)) {
				pushEvent(id, event);
			}
		},
		/** Lists the entries that may start new work for a pool now. */
		listActingOwners: (pool: string): EntryId[] => [...entries.values()]
			.filter(entry => !entry.hasExited && getPoolPermissionExpiry(entry.state, pool, now + 5000) !== undefined)
			.map(entry => entry.id),
		/** Runs the cluster for the given time and calls `check` after every event. */
		runFor(durationMs: number, check?: () => void): void {
			const end = now + durationMs;
			for (;;) {
				let next: (typeof queue)[number] | undefined;
				for (const item of queue) {
					if (next === undefined || item.at < next.at || (item.at === next.at && item.order < next.order)) {
						next = item;
					}
				}

				if (next === undefined || next.at > end) {
					break;
				}

				queue.splice(queue.indexOf(next), 1);
				now = next.at;
				next.run();
				check?.();
			}

			now = end;
		},
	};
}
