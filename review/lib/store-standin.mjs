/* eslint-disable promise/prefer-await-to-then */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {readJson, sendJson} from './http-helpers.mjs';

/** Number of changes that the history keeps. */
const historyLimit = 100_000;

/**
Creates a stand-in for the platform's metadata store. Each entry has an address of its own, so that one entry can be cut off.
*/
export function createStoreStandin() {
	const items = new Map();
	const leases = new Map();
	const history = [];
	const waiting = new Set();
	const servers = [];
	/** Entries that the store does not answer: their calls are lost. */
	const cutNodes = new Set();
	/** Entry whose transaction led to a revision. */
	const nodeByRevision = new Map();
	let revision = 100;
	let lastLease = 5000;

	function publish(event) {
		history.push(event);
		if (history.length > historyLimit) {
			history.shift();
		}

		for (const check of waiting) {
			check();
		}
	}

	function put(key, value, lease = 0) {
		const known = items.get(key);
		const item = {
			Key: key, Value: value, Revision: revision, CreatedRev: known?.CreatedRev ?? revision, Lease: lease,
		};
		items.set(key, item);
		publish(item);
	}

	function remove(key) {
		if (items.delete(key)) {
			publish({Key: key, Revision: revision, Tombstone: true});
		}
	}

	function endLease(id) {
		const lease = leases.get(id);
		if (lease === undefined) {
			return;
		}

		clearTimeout(lease.timer);
		leases.delete(id);
		revision += 1;
		for (const item of items.values()) {
			if (item.Lease === id) {
				remove(item.Key);
			}
		}
	}

	function runLease(id, ttlMs) {
		clearTimeout(leases.get(id)?.timer);
		leases.set(id, {
			ttlMs,
			timer: setTimeout(() => {
				endLease(id);
			}, ttlMs),
		});
	}

	function applyTransaction(node, {ExpectedRev = [], Puts = [], Remove = []}, response) {
		if (Puts.some(({Lease = 0}) => Lease !== 0 && !leases.has(Lease))) {
			sendJson(response, 404, {});
			return;
		}

		if (ExpectedRev.some(({Key, Revision}) => (items.get(Key)?.Revision ?? 0) !== Revision)) {
			sendJson(response, 412, {items: ExpectedRev.map(({Key}) => items.get(Key) ?? {Key, Revision: 0})});
			return;
		}

		revision += 1;
		nodeByRevision.set(revision, node);
		for (const {Key, Value, Lease = 0} of Puts) {
			put(Key, Value, Lease);
		}

		for (const key of Remove) {
			remove(key);
		}

		sendJson(response, 200, {Revision: revision});
	}

	function watch(query, response) {
		const after = Number(query.get('After'));
		const prefix = query.get('Prefix');
		const findEvents = () => history.filter(event => event.Revision > after && event.Key.startsWith(prefix));
		if (history.length > 0 && history[0].Revision > after + 1 && history.length === historyLimit) {
			sendJson(response, 410, {});
			return;
		}

		const answer = events => {
			clearTimeout(timer);
			waiting.delete(check);
			sendJson(response, 200, {events, AsOf: revision});
		};

		const check = () => {
			const events = findEvents();
			if (events.length > 0) {
				// All changes of a transaction belong to one answer.
				setImmediate(() => {
					if (waiting.has(check)) {
						answer(findEvents());
					}
				});
			}
		};

		const timer = setTimeout(() => {
			answer([]);
		}, Number(query.get('WaitMs')));
		waiting.add(check);
		response.on('close', () => {
			clearTimeout(timer);
			waiting.delete(check);
		});
		check();
	}

	const handlers = {
		'GET kv-key'(_node, {query}, response) {
			const item = items.get(query.get('Key'));
			sendJson(response, item === undefined ? 404 : 200, item === undefined ? {AsOf: revision} : {...item, AsOf: revision});
		},
		'GET kv-range'(_node, {query}, response) {
			const keys = [...items.keys()].filter(key => key.startsWith(query.get('Prefix')) && key > (query.get('After') ?? '')).sort();
			sendJson(response, 200, {items: keys.slice(0, 500).map(key => items.get(key)), MorePages: keys.length > 500, AsOf: revision});
		},
		'GET kv-watch'(_node, {query}, response) {
			watch(query, response);
		},
		'POST kv-txn'(node, {body}, response) {
			applyTransaction(node, body, response);
		},
		'POST kv-lease'(_node, {body}, response) {
			lastLease += 1;
			const ttlMs = Math.max(1000, body.TtlMs);
			runLease(lastLease, ttlMs);
			sendJson(response, 200, {Lease: lastLease, TtlMs: ttlMs});
		},
		'POST kv-keep'(_node, {id}, response) {
			const lease = leases.get(id);
			if (lease === undefined) {
				sendJson(response, 404, {});
				return;
			}

			runLease(id, lease.ttlMs);
			sendJson(response, 200, {TtlMs: lease.ttlMs});
		},
		'DELETE kv-lease-end'(_node, {id}, response) {
			endLease(id);
			sendJson(response, 200, {});
		},
	};

	async function handleRequest(node, message, response) {
		const url = new URL(message.url, 'http://store');
		const [name, id] = url.pathname.split('/').slice(2);
		const body = message.method === 'POST' && name !== 'kv-keep' ? await readJson(message) : undefined;
		if (cutNodes.has(node)) {
			return;
		}

		const handler = handlers[`${message.method} ${name}`];
		// A call takes 4 ms, and a call that arrives during a cut is lost.
		setTimeout(() => {
			handler(node, {query: url.searchParams, body, id: Number(id)}, response);
		}, name === 'kv-watch' ? 0 : 4);
	}

	return {
		cutNodes,
		nodeByRevision,
		/** Opens an address for an entry. */
		async listen(node) {
			const server = createServer((message, response) => {
				handleRequest(node, message, response).catch(() => {
					response.destroy();
				});
			});
			servers.push(server);
			await new Promise(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			return `127.0.0.1:${server.address().port}`;
		},
		/** Writes as the operator or as a worker. */
		write(key, value) {
			revision += 1;
			put(key, Buffer.from(JSON.stringify(value)).toString('base64'));
		},
		erase(key) {
			revision += 1;
			remove(key);
		},
		close() {
			for (const {timer} of leases.values()) {
				clearTimeout(timer);
			}

			for (const server of servers) {
				server.close();
				server.closeAllConnections();
			}
		},
	};
}
