import {setTimeout as delay} from 'node:timers/promises';
import {
	storeKeys, storePrefix, type Effect, type EffectOf, type InputEvent, type KeyValue, type WriteCondition,
} from '@pistachiogauge/model';
import {answerSchemas, Gateway, type GatewayKeyValue} from './gateway.js';
import {getRetryPauseMs} from './retry-pause.js';
import {StoreError} from './store-error.js';

/** @public */
export type StoreClientOptions = {
	/** IP numbers and ports of the key-value service. */
	readonly addresses: readonly string[];
	readonly leaseSeconds: number;
	readonly pushEvent: (event: InputEvent) => void;
	/** Counts each call by kind, and bytes; a waiting watch counts as one. */
	readonly count: (metric: string, by?: number) => void;
};

/** @public */
export type StoreClient = {
	start(): void;
	stop(): Promise<void>;
	/** Carries out a store effect; the answer comes as a `store-answered` event. */
	runOperation(effect: StoreEffect): void;
};

type StoreEffect = Extract<Effect, {kind: 'read-store' | 'write-store' | 'delete-store'}>;

const pollIntervalMs = 2000;
/** A watch that held this long starts the pauses anew. */
const steadyWatchMs = 3000;

/** Creates a client that keeps a watch and a lease, and reports when the service is reached or lost. @public */
export function createStoreClient(options: StoreClientOptions): StoreClient {
	const gateway = new Gateway(options.addresses, options.count);
	const stopping = new AbortController();
	let leaseId: string | undefined;
	let isReached = false;
	let watchedRevision = 0;
	let watchAbort = new AbortController();

	function setReached(shouldBeReached: boolean): void {
		if (isReached !== shouldBeReached) {
			isReached = shouldBeReached;
			options.pushEvent({kind: shouldBeReached ? 'store-reached' : 'store-lost'});
		}
	}

	async function readEntries({key, isPrefix}: EffectOf<'read-store'>): Promise<KeyValue[]> {
		options.count('store_reads_total');
		const range = {key: encodeText(key), ...(isPrefix && {range_end: encodeText(getPrefixEnd(key))})};
		const answer = await gateway.post('/v3/kv/range', range, answerSchemas.range);
		return answer.kvs.map(pair => decodePair(pair));
	}

	async function writeEntry({key, value, condition, isLeased}: EffectOf<'write-store'>): Promise<KeyValue | undefined> {
		options.count('store_writes_total');
		if (isLeased && leaseId === undefined) {
			throw new StoreError('there is no lease');
		}

		const answer = await gateway.post('/v3/kv/txn', {
			compare: createCompare(key, condition),
			success: [{request_put: {key: encodeText(key), value: encodeText(value), ...(isLeased && {lease: leaseId})}}],
		}, answerSchemas.txn);
		return answer.succeeded ? {key, value, revision: answer.header.revision} : undefined;
	}

	async function runSafely(operationId: string, run: () => Promise<readonly KeyValue[] | undefined>): Promise<void> {
		try {
			const entries = await run();
			options.pushEvent({
				kind: 'store-answered', operationId, result: entries === undefined ? 'conflict' : 'applied', entries: entries ?? [],
			});
		} catch {
			options.count('store_failures_total');
			options.pushEvent({
				kind: 'store-answered', operationId, result: 'failed', entries: [],
			});
		}
	}

	const operations: {readonly [Kind in StoreEffect['kind']]: (effect: EffectOf<Kind>) => Promise<readonly KeyValue[] | undefined>} = {
		'read-store': async effect => readEntries(effect),
		async 'write-store'(effect) {
			const entry = await writeEntry(effect);
			return entry === undefined ? undefined : [entry];
		},
		async 'delete-store'({key}) {
			options.count('store_writes_total');
			await gateway.post('/v3/kv/deleterange', {key: encodeText(key)}, answerSchemas.deleteRange);
			return [];
		},
	};

	async function watchChanges(): Promise<void> {
		watchAbort = new AbortController();
		options.count('store_watches_total');
		const create = {create_request: {key: encodeText(storePrefix), range_end: encodeText(getPrefixEnd(storePrefix)), progress_notify: true}};
		for await (const {header, events} of gateway.watch(create, AbortSignal.any([stopping.signal, watchAbort.signal]))) {
			watchedRevision = Math.max(watchedRevision, header.revision);
			// The first line only confirms the watch; from then on no change is missed, so records are read now.
			setReached(true);
			for (const {type, kv} of events) {
				const {key, value, revision} = decodePair(kv);
				if (!key.startsWith(storeKeys.auditPrefix)) {
					options.pushEvent({
						kind: 'store-changed', key, value: type === 'PUT' ? value : undefined, revision,
					});
				}
			}
		}
	}

	async function keepWatch(): Promise<void> {
		let failures = 0;
		while (!stopping.signal.aborted) {
			const startedAt = performance.now();
			// eslint-disable-next-line no-await-in-loop
			await watchChanges().catch(() => undefined);
			setReached(false);
			failures = performance.now() - startedAt > steadyWatchMs ? 1 : failures + 1;
			// eslint-disable-next-line no-await-in-loop
			await waitFor(getRetryPauseMs(failures, Math.random()));
		}
	}

	/** A watch can go silent without an error; a read that shows a newer revision than the watch has delivered reveals it. */
	async function pollRevision(): Promise<void> {
		let missedRevision = 0;
		while (!stopping.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await waitFor(pollIntervalMs * (0.75 + (Math.random() / 2)));
			if (!isReached) {
				continue;
			}

			try {
				options.count('store_reads_total');
				// eslint-disable-next-line no-await-in-loop
				const {header} = await gateway.post('/v3/kv/range', {key: encodeText(storeKeys.epoch), keys_only: true}, answerSchemas.range);
				const isBehind = missedRevision > watchedRevision;
				missedRevision = header.revision;
				if (isBehind) {
					watchAbort.abort();
				}
			} catch {
				setReached(false);
				watchAbort.abort();
			}
		}
	}

	async function keepLease(): Promise<void> {
		while (!stopping.signal.aborted) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await renewLease();
			} catch {
				options.count('store_failures_total');
			}

			// eslint-disable-next-line no-await-in-loop
			await waitFor((options.leaseSeconds * 1000) / 3);
		}
	}

	async function renewLease(): Promise<void> {
		options.count('store_writes_total');
		if (leaseId !== undefined) {
			const answer = await gateway.post('/v3/lease/keepalive', {ID: leaseId}, answerSchemas.leaseKeepAlive);
			if (answer.result.TTL > 0) {
				return;
			}
		}

		const answer = await gateway.post('/v3/lease/grant', {TTL: options.leaseSeconds}, answerSchemas.leaseGrant);
		const isRenewal = leaseId !== undefined;
		leaseId = answer.ID;
		if (isRenewal && isReached) {
			// Records under the lapsed lease are gone; reaching the store again writes them anew.
			options.pushEvent({kind: 'store-reached'});
		}
	}

	async function waitFor(delayMs: number): Promise<void> {
		await delay(delayMs, undefined, {signal: stopping.signal}).catch(() => undefined);
	}

	return {
		start() {
			void (async () => {
				await renewLease().catch(() => undefined);
				void keepLease();
				void keepWatch();
				void pollRevision();
			})();
		},
		async stop() {
			stopping.abort();
			await gateway.close();
		},
		runOperation(effect) {
			const run = operations[effect.kind] as (value: StoreEffect) => Promise<readonly KeyValue[] | undefined>;
			void runSafely(effect.operationId, async () => run(effect));
		},
	};
}

function createCompare(key: string, condition: WriteCondition): unknown[] {
	const creators: {readonly [Kind in WriteCondition['kind']]: (value: Extract<WriteCondition, {kind: Kind}>) => unknown[]} = {
		always: () => [],
		absent: () => [{
			key: encodeText(key), target: 'CREATE', result: 'EQUAL', create_revision: '0',
		}],
		unchanged: ({revision}) => [{
			key: encodeText(key), target: 'MOD', result: 'EQUAL', mod_revision: String(revision),
		}],
	};
	return (creators[condition.kind] as (value: WriteCondition) => unknown[])(condition);
}

function decodePair(pair: GatewayKeyValue): KeyValue {
	return {key: decodeText(pair.key), value: decodeText(pair.value), revision: pair.mod_revision};
}

function getPrefixEnd(prefix: string): string {
	const last = prefix.length - 1;
	return `${prefix.slice(0, last)}${String.fromCodePoint(prefix.codePointAt(last)! + 1)}`;
}

function encodeText(text: string): string {
	return Buffer.from(text).toString('base64');
}

function decodeText(text: string): string {
	return Buffer.from(text, 'base64').toString();
}
