import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {KeyValueStore, type StoredChange, type StoredPair} from './key-value-store.js';
import {listen, readJson, sendJson} from './http-helpers.js';

/** Faults that the stand-in simulates. @public */
export const storeFaultsSchema = z.object({
	/** Closes the connection of every call and every watch without a response. */
	isDown: z.boolean().default(false),
	/** Delay of each response in milliseconds. */
	delayMs: z.number().nonnegative().default(0),
	/** Number of next writes that take effect and whose response is lost. */
	lostAnswers: z.number().int().nonnegative().default(0),
	/** Keeps watches open and delivers no changes. */
	isWatchSilent: z.boolean().default(false),
	/** Cancels the watches that are open now, as after a compaction; their streams stay open. */
	areWatchesCanceled: z.boolean().default(false),
});
/** @public */
export type StoreFaults = z.infer<typeof storeFaultsSchema>;

/** @public */
export type StoreStandin = {
	readonly store: KeyValueStore;
	/** Number of calls by path. */
	readonly calls: ReadonlyMap<string, number>;
	start(): Promise<void>;
	stop(): void;
	setFaults(faults: Partial<StoreFaults>): void;
};

const rangeSchema = z.object({key: z.string(), range_end: z.string().optional()});
const compareSchema = z.object({
	key: z.string(), target: z.enum(['CREATE', 'MOD']), result: z.literal('EQUAL'), create_revision: z.coerce.number().optional(), mod_revision: z.coerce.number().optional(),
});
const putSchema = z.object({key: z.string(), value: z.string().default(''), lease: z.coerce.string().optional()});
const txnSchema = z.object({compare: z.array(compareSchema).default([]), success: z.array(z.object({request_put: putSchema})).default([])});
const leaseExpiryIntervalMs = 200;

/** Creates a stand-in for the key-value service with the JSON gateway of etcd version 3. @public */
export function createStoreStandin(address: string): StoreStandin {
	const store = new KeyValueStore();
	const calls = new Map<string, number>();
	const watches = new Set<ServerResponse>();
	let faults = storeFaultsSchema.parse({});

	function createHeader(): {revision: string} {
		return {revision: String(store.revision)};
	}

	const handlers: Readonly<Record<string, (body: unknown) => unknown>> = {
		'/v3/kv/range'(body) {
			const {key, range_end: end} = rangeSchema.parse(body);
			const pairs = store.listPairs(decodeText(key), end === undefined ? undefined : decodeText(end));
			return {header: createHeader(), kvs: pairs.map(pair => encodePair(pair)), count: String(pairs.length)};
		},
		'/v3/kv/put'(body) {
			const {key, value, lease} = putSchema.parse(body);
			store.putPair(decodeText(key), decodeText(value), lease);
			return {header: createHeader()};
		},
		'/v3/kv/deleterange'(body) {
			store.deletePair(decodeText(rangeSchema.parse(body).key));
			return {header: createHeader()};
		},
		'/v3/kv/txn'(body) {
			const {compare, success} = txnSchema.parse(body);
			const areConditionsMet = compare.every(({key, target, ...revisions}) => {
				const pair = store.getPair(decodeText(key));
				return target === 'CREATE'
					? (pair?.createRevision ?? 0) === revisions.create_revision
					: (pair?.modRevision ?? 0) === revisions.mod_revision;
			});
			for (const {request_put: put} of areConditionsMet ? success : []) {
				store.putPair(decodeText(put.key), decodeText(put.value), put.lease);
			}

			return {header: createHeader(), ...(areConditionsMet && {succeeded: true})};
		},
		'/v3/lease/grant'(body) {
			const {TTL} = z.object({TTL: z.coerce.number()}).parse(body);
			return {header: createHeader(), ID: store.grantLease(TTL, Date.now()), TTL: String(TTL)};
		},
		'/v3/lease/keepalive'(body) {
			const {ID} = z.object({ID: z.coerce.string()}).parse(body);
			return {result: {header: createHeader(), ID, TTL: String(store.renewLease(ID, Date.now()))}};
		},
	};

	function openWatch(response: ServerResponse): void {
		response.writeHead(200, {'content-type': 'application/json'});
		response.write(`${JSON.stringify({result: {header: createHeader(), created: true}})}\n`);
		watches.add(response);
		const removeListener = store.addListener(change => {
			if (!faults.isWatchSilent) {
				response.write(`${JSON.stringify({result: {header: createHeader(), events: [encodeChange(change)]}})}\n`);
			}
		});
		response.on('close', () => {
			removeListener();
			watches.delete(response);
		});
	}

	async function handleRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const path = message.url ?? '';
		if (path === '/faults') {
			setFaults(z.object({}).loose().parse(await readJson(message)));
			sendJson(response, 200, faults);
			return;
		}

		calls.set(path, (calls.get(path) ?? 0) + 1);
		if (faults.isDown) {
			message.destroy();
			return;
		}

		if (path === '/v3/watch') {
			message.resume();
			openWatch(response);
			return;
		}

		const handler = handlers[path];
		if (handler === undefined) {
			sendJson(response, 404, {error: 'unknown path'});
			return;
		}

		const answer = handler(await readJson(message));
		if (path === '/v3/kv/txn' && faults.lostAnswers > 0) {
			faults = {...faults, lostAnswers: faults.lostAnswers - 1};
			message.destroy();
			return;
		}

		if (faults.delayMs > 0) {
			await delay(faults.delayMs);
		}

		sendJson(response, 200, answer);
	}

	function setFaults(changed: Partial<StoreFaults>): void {
		faults = storeFaultsSchema.parse({...faults, ...changed});
		if (faults.isDown) {
			for (const watch of watches) {
				watch.destroy();
			}
		}

		if (changed.areWatchesCanceled) {
			for (const watch of watches) {
				watch.write(`${JSON.stringify({result: {header: createHeader(), canceled: true}})}\n`);
			}
		}
	}

	const server = createServer((message, response) => {
		handleRequest(message, response).catch((error: unknown) => {
			sendJson(response, 400, {error: String(error)});
		});
	});
	let expiryTimer: NodeJS.Timeout;
	return {
		store,
		calls,
		setFaults,
		async start() {
			await listen(server, address);
			expiryTimer = setInterval(() => {
				store.expireLeases(Date.now());
			}, leaseExpiryIntervalMs);
		},
		stop() {
			clearInterval(expiryTimer);
			server.close();
			server.closeAllConnections();
		},
	};
}

function encodePair(pair: StoredPair): Record<string, string> {
	return {
		key: encodeText(pair.key), value: encodeText(pair.value), create_revision: String(pair.createRevision), mod_revision: String(pair.modRevision),
	};
}

function encodeChange({type, pair}: StoredChange): unknown {
	return {...(type === 'DELETE' && {type}), kv: encodePair(pair)};
}

function encodeText(text: string): string {
	return Buffer.from(text).toString('base64');
}

function decodeText(text: string): string {
	return Buffer.from(text, 'base64').toString();
}
