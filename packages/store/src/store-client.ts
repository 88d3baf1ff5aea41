import {setTimeout as delay} from 'node:timers/promises';
import {
	storeKeys, storePrefix, type Effect, type EffectOf, type InputEvent, type KeyValue, type WriteCondition,
} from '@pistachiogauge/model';
import {answerSchemas, EtcdGateway, type EtcdKeyValue} from './etcd-gateway.js';
import {computeBackoffMs} from './backoff.js';
import {StoreError} from './store-error.js';

/** @public */
export type StoreClientOptions = {
	/** IP addresses and ports of the key-value service. */
	readonly addresses: readonly string[];
	readonly leaseSeconds: number;
	readonly pushEvent: (event: InputEvent) => void;
	/** Counts calls by kind, and bytes sent and received; an open watch counts as one call. */
	readonly count: (metric: string, by?: number) => void;
};

/** @public */
export type StoreClient = {
	start(): void;
	stop(): Promise<void>;
	/** Runs a store effect; its result is reported as a `store-answered` event. */
	runOperation(effect: StoreEffect): void;
};

type StoreEffect = Extract<Effect, {kind: 'read-store' | 'write-store' | 'delete-store'}>;

const pollIntervalMs = 2000;
/** The backoff starts from its minimum again after a watch that stayed open this long. */
const backoffResetMs = 3000;

/** Creates a client that keeps a watch open and a lease renewed, and reports when the service becomes reachable or unreachable. @public */
export function createStoreClient(options: StoreClientOptions): StoreClient {
	const gateway = new EtcdGateway(options.addresses, options.count);
	const stopController = new AbortController();
	let leaseId: string | undefined;
	let isReachable = false;
	let watchedRevision = 0;
	let watchController = new AbortController();

	function setReachable(isNowReachable: boolean): void {
		if (isReachable !== isNowReachable) {
			isReachable = isNowReachable;
			options.pushEvent({kind: isNowReachable ? 'store-reached' : 'store-lost'});
		}
	}

	async function readKeyValues({key, isPrefix}: EffectOf<'read-store'>): Promise<KeyValue[]> {
		options.count('store_reads_total');
		const range = {key: encodeText(key), ...(isPrefix && {range_end: encodeText(getPrefixEnd(key))})};
		const response = await gateway.post('/v3/kv/range', range, answerSchemas.range);
		return response.kvs.map(pair => decodeKeyValue(pair));
	}

	async function writeKeyValue({key, value, condition, isLeased}: EffectOf<'write-store'>): Promise<KeyValue | undefined> {
		options.count('store_writes_total');
		if (isLeased && leaseId === undefined) {
			throw new StoreError('no lease has been granted');
		}

		const answer = await gateway.post('/v3/kv/txn', {
			compare: createCompare(key, condition),
			success: [{request_put: {key: encodeText(key), value: encodeText(value), ...(isLeased && {lease: leaseId})}}],
		}, answerSchemas.txn);
		return answer.succeeded ? {key, value, revision: answer.header.revision} : undefined;
	}

	async function runAndReport(operationId: string, run: () => Promise<readonly KeyValue[] | undefined>): Promise<void> {
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
		'read-store': async effect => readKeyValues(effect),
		async 'write-store'(effect) {
			const keyValue = await writeKeyValue(effect);
			return keyValue === undefined ? undefined : [keyValue];
		},
		async 'delete-store'({key}) {
			options.count('store_writes_total');
			await gateway.post('/v3/kv/deleterange', {key: encodeText(key)}, answerSchemas.deleteRange);
			return [];
		},
	};

	async function watchChanges(): Promise<void> {
		watchController = new AbortController();
		options.count('store_watches_total');
		const create = {create_request: {key: encodeText(storePrefix), range_end: encodeText(getPrefixEnd(storePrefix)), progress_notify: true}};
		for await (const {header, events} of gateway.watch(create, AbortSignal.any([stopController.signal, watchController.signal]))) {
			watchedRevision = Math.max(watchedRevision, header.revision);
			// The first result only confirms the watch. No later change is missed, so the event makes the filters read the records now.
			setReachable(true);
			for (const {type, kv} of events) {
				const {key, value, revision} = decodeKeyValue(kv);
				if (!key.startsWith(storeKeys.auditPrefix)) {
					options.pushEvent({
						kind: 'store-changed', key, value: type === 'PUT' ? value : undefined, revision,
					});
				}
			}
		}
	}

	async function runWatch(): Promise<void> {
		let failures = 0;
		while (!stopController.signal.aborted) {
			const startedAt = performance.now();
			// eslint-disable-next-line no-await-in-loop
			await watchChanges().catch(() => undefined);
			setReachable(false);
			failures = performance.now() - startedAt > backoffResetMs ? 1 : failures + 1;
			// eslint-disable-next-line no-await-in-loop
			await waitUnlessStopped(computeBackoffMs(failures, Math.random()));
		}
	}

	/** Detects a watch that delivers nothing although it has no error: a poll has read a revision that the watch has not delivered by the next poll. */
	async function pollRevisions(): Promise<void> {
		let polledRevision = 0;
		while (!stopController.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await waitUnlessStopped(pollIntervalMs * (0.75 + (Math.random() / 2)));
			if (!isReachable) {
				continue;
			}

			try {
				options.count('store_reads_total');
				// eslint-disable-next-line no-await-in-loop
				const {header} = await gateway.post('/v3/kv/range', {key: encodeText(storeKeys.epoch), keys_only: true}, answerSchemas.range);
				const isBehind = polledRevision > watchedRevision;
				polledRevision = header.revision;
				if (isBehind) {
					watchController.abort();
				}
			} catch {
				setReachable(false);
				watchController.abort();
			}
		}
	}

	async function runLeaseRenewal(): Promise<void> {
		while (!stopController.signal.aborted) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await renewLease();
			} catch {
				options.count('store_failures_total');
			}

			// eslint-disable-next-line no-await-in-loop
			await waitUnlessStopped((options.leaseSeconds * 1000) / 3);
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
		const isReplacement = leaseId !== undefined;
		leaseId = answer.ID;
		if (isReplacement && isReachable) {
			// The records attached to the expired lease have been deleted; this event makes the filters write them again.
			options.pushEvent({kind: 'store-reached'});
		}
	}

	async function waitUnlessStopped(delayMs: number): Promise<void> {
		await delay(delayMs, undefined, {signal: stopController.signal}).catch(() => undefined);
	}

	return {
		start() {
			void (async () => {
				await renewLease().catch(() => undefined);
				void runLeaseRenewal();
				void runWatch();
				void pollRevisions();
			})();
		},
		async stop() {
			stopController.abort();
			await gateway.close();
		},
		runOperation(effect) {
			const run = operations[effect.kind] as (value: StoreEffect) => Promise<readonly KeyValue[] | undefined>;
			void runAndReport(effect.operationId, async () => run(effect));
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

function decodeKeyValue(pair: EtcdKeyValue): KeyValue {
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
