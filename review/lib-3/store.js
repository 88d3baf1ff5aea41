/** Stand-in for the platform's metadata store: items with revisions, leases, watches and transactions. */
import {Buffer} from 'node:buffer';
import {readJson, sendJson, startServer} from './http.js';

const maxPageItems = 500;
const maxPageBytes = 1_000_000;
const historyMs = 20_000;

export async function startStore({valueBytes = 1_048_576, answerMs = 1} = {}) {
	const items = new Map();
	const leases = new Map();
	const history = [];
	const watchers = new Set();
	let revision = 100;
	let nextLease = 1;
	let discardedRevision = revision;

	function publish(event) {
		history.push({event, at: performance.now()});
		while (history.length > 0 && history[0].at < performance.now() - historyMs) {
			discardedRevision = history.shift().event.Revision;
		}
	}

	function wakeWatchers() {
		for (const watcher of watchers) {
			watcher();
		}
	}

	function removeItem(key) {
		const item = items.get(key);
		if (item === undefined) {
			return;
		}

		items.delete(key);
		leases.get(item.Lease)?.keys.delete(key);
		publish({Key: key, Revision: revision, Tombstone: true});
	}

	function putItem(key, value, lease = 0) {
		const before = items.get(key);
		if (before !== undefined) {
			leases.get(before.Lease)?.keys.delete(key);
		}

		const item = {
			Key: key, Value: value, Revision: revision, CreatedRev: before?.CreatedRev ?? revision, Lease: lease,
		};
		items.set(key, item);
		leases.get(lease)?.keys.add(key);
		publish(item);
	}

	/** Writes as the operator or a worker does; `value` undefined deletes. */
	function write(key, value) {
		revision += 1;
		if (value === undefined) {
			removeItem(key);
		} else {
			putItem(key, Buffer.from(JSON.stringify(value)).toString('base64'));
		}

		wakeWatchers();
	}

	function endLease(id) {
		const lease = leases.get(id);
		if (lease === undefined) {
			return false;
		}

		leases.delete(id);
		revision += 1;
		for (const key of lease.keys) {
			removeItem(key);
		}

		wakeWatchers();
		return true;
	}

	const expiry = setInterval(() => {
		for (const [id, lease] of leases) {
			if (performance.now() > lease.until) {
				endLease(id);
			}
		}
	}, 20);
	expiry.unref();

	function applyTransaction({ExpectedRev = [], Puts = [], Remove = []}) {
		if (ExpectedRev.length + Puts.length + Remove.length > 32 || Puts.some(put => Buffer.from(put.Value, 'base64').length > valueBytes || put.Key.length > 200)) {
			return [400, {Error: 'not valid'}];
		}

		if (Puts.some(put => (put.Lease ?? 0) !== 0 && !leases.has(put.Lease))) {
			return [404, {Error: 'no such lease'}];
		}

		if (ExpectedRev.some(({Key, Revision}) => (items.get(Key)?.Revision ?? 0) !== Revision)) {
			return [412, {items: ExpectedRev.map(({Key}) => items.get(Key) ?? {Key, Revision: 0})}];
		}

		revision += 1;
		for (const put of Puts) {
			putItem(put.Key, put.Value, put.Lease ?? 0);
		}

		for (const key of Remove) {
			removeItem(key);
		}

		wakeWatchers();
		return [200, {Revision: revision}];
	}

	function listRange(query) {
		const prefix = query.get('Prefix') ?? '';
		const after = query.get('After') ?? '';
		const keys = [...items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
		const page = [];
		let bytes = 0;
		for (const key of keys) {
			const item = items.get(key);
			if (page.length >= maxPageItems || (page.length > 0 && bytes + item.Value.length > maxPageBytes)) {
				break;
			}

			bytes += item.Value.length;
			page.push(item);
		}

		return [200, {items: page, MorePages: page.length < keys.length, AsOf: revision}];
	}

	function watch(query, request, response) {
		const prefix = query.get('Prefix') ?? '';
		const after = Number(query.get('After'));
		const collect = () => history.filter(({event}) => event.Revision > after && event.Key.startsWith(prefix)).map(({event}) => event);
		if (after < discardedRevision) {
			sendJson(response, 410, {});
			return;
		}

		const finish = () => {
			clearTimeout(timer);
			watchers.delete(check);
			sendJson(response, 200, {events: collect(), AsOf: revision});
		};

		const check = () => {
			if (collect().length > 0) {
				finish();
			}
		};

		const timer = setTimeout(finish, Number(query.get('WaitMs') ?? 0));
		response.on('close', () => {
			clearTimeout(timer);
			watchers.delete(check);
		});
		watchers.add(check);
		check();
	}

	async function handle(request, response) {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		const body = request.method === 'POST' ? await readJson(request) : undefined;
		await new Promise(resolve => {
			setTimeout(resolve, answerMs);
		});
		const [call, id] = pathname.split('/').slice(2);
		(handlers[call] ?? handleUnknown)({
			query: searchParams, body, id: Number(id), request, response,
		});
	}

	function handleUnknown({response}) {
		sendJson(response, 404, {});
	}

	const handlers = {
		'kv-key'({query, response}) {
			const item = items.get(query.get('Key'));
			sendJson(response, item === undefined ? 404 : 200, {...item, AsOf: revision});
		},
		'kv-range'({query, response}) {
			sendJson(response, ...listRange(query));
		},
		'kv-watch'({query, request, response}) {
			watch(query, request, response);
		},
		'kv-txn'({body, response}) {
			sendJson(response, ...applyTransaction(body));
		},
		'kv-lease'({body, response}) {
			const lease = nextLease;
			nextLease += 1;
			leases.set(lease, {ttlMs: body.TtlMs, until: performance.now() + body.TtlMs, keys: new Set()});
			sendJson(response, 200, {Lease: lease, TtlMs: body.TtlMs});
		},
		'kv-keep'({id, response}) {
			const lease = leases.get(id);
			if (lease !== undefined) {
				lease.until = performance.now() + lease.ttlMs;
			}

			sendJson(response, lease === undefined ? 404 : 200, {TtlMs: lease?.ttlMs});
		},
		'kv-lease-end'({id, response}) {
			sendJson(response, endLease(id) ? 200 : 404, {});
		},
	};

	const server = await startServer(handle);
	return {
		address: server.address,
		write,
		read(key) {
			const item = items.get(key);
			return item === undefined ? undefined : JSON.parse(Buffer.from(item.Value, 'base64').toString('utf8'));
		},
		getRevision: key => items.get(key)?.Revision,
		listKeys: prefix => [...items.keys()].filter(key => key.startsWith(prefix)),
		stop() {
			clearInterval(expiry);
			server.stop();
		},
	};
}
