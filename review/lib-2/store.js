import {Buffer} from 'node:buffer';
import {startJsonServer} from './json-server.js';

const answerMs = 4;
const pageSize = 500;
const maxWatchMs = 30_000;
const minTtlMs = 1000;
const maxTtlMs = 600_000;
const maxTransactionEntries = 32;

/**
Stand-in for the platform's store. Each entry gets an address of its own, so that a call can be told by its sender.

@param chooseFault - Called for each call with the entry and the call; returns `undefined` for a call that is carried out and answered, or `{lateMs}` for one that is not answered and carried out after that time.
*/
export function createStore(chooseFault = () => undefined) {
	const items = new Map();
	const history = [];
	const leases = new Map();
	const watchers = new Set();
	const servers = [];
	let revision = 100;
	let lastLease = 5000;

	function notify() {
		for (const check of watchers) {
			check();
		}
	}

	function apply({ExpectedRev: expected = [], Puts: puts = [], Remove: removed = []}) {
		if (expected.length + puts.length + removed.length > maxTransactionEntries) {
			return {status: 400};
		}

		if (puts.some(({Lease: lease = 0}) => lease !== 0 && !leases.has(lease))) {
			return {status: 404};
		}

		if (expected.some(({Key: key, Revision: wanted}) => (items.get(key)?.Revision ?? 0) !== wanted)) {
			return {status: 412, items: expected.map(({Key: key}) => items.get(key) ?? {Key: key, Revision: 0})};
		}

		revision += 1;
		for (const {Key: key, Value: value, Lease: lease = 0} of puts) {
			const item = {
				Key: key, Value: value, Revision: revision, CreatedRev: items.get(key)?.CreatedRev ?? revision, Lease: lease,
			};
			items.set(key, item);
			history.push(item);
		}

		for (const key of removed) {
			if (items.delete(key)) {
				history.push({Key: key, Revision: revision, Tombstone: true});
			}
		}

		notify();
		return {status: 200};
	}

	function endLease(id) {
		const lease = leases.get(id);
		if (lease !== undefined) {
			clearTimeout(lease.timer);
			leases.delete(id);
			apply({Remove: [...items.values()].filter(item => item.Lease === id).map(item => item.Key)});
		}
	}

	function renewLease(id) {
		const lease = leases.get(id);
		if (lease === undefined) {
			return undefined;
		}

		clearTimeout(lease.timer);
		lease.timer = setTimeout(endLease, lease.ttlMs, id);
		return lease.ttlMs;
	}

	function watchPrefix(call) {
		const prefix = call.query.get('Prefix') ?? '';
		const after = Number(call.query.get('After'));
		const finish = () => {
			clearTimeout(timer);
			watchers.delete(check);
		};

		const check = () => {
			const first = history.findLastIndex(event => event.Revision <= after) + 1;
			const events = history.slice(first).filter(event => event.Key.startsWith(prefix));
			if (events.length > 0) {
				finish();
				call.answer(200, {events, AsOf: revision});
			}
		};

		const timer = setTimeout(() => {
			finish();
			call.answer(200, {events: [], AsOf: revision});
		}, Math.min(Number(call.query.get('WaitMs')), maxWatchMs));
		watchers.add(check);
		call.response.on('close', finish);
		check();
	}

	const handlers = {
		'GET kv-key'(call) {
			const item = items.get(call.query.get('Key') ?? '');
			call.answer(item === undefined ? 404 : 200, {...item, AsOf: revision});
		},
		'GET kv-range'(call) {
			const prefix = call.query.get('Prefix') ?? '';
			const after = call.query.get('After') ?? '';
			const keys = [...items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
			call.answer(200, {items: keys.slice(0, pageSize).map(key => items.get(key)), MorePages: keys.length > pageSize, AsOf: revision});
		},
		'GET kv-watch': watchPrefix,
		'POST kv-txn'(call) {
			const isForbidden = [...(call.body.Puts ?? []).map(({Key: key}) => key), ...call.body.Remove ?? []].some(key => key.startsWith('op/') || key.startsWith('servers/'));
			const result = isForbidden ? {status: 403} : apply(call.body);
			call.answer(result.status, result.status === 200 ? {Revision: revision} : {items: result.items});
		},
		'POST kv-lease'(call) {
			const ttlMs = Math.min(maxTtlMs, Math.max(minTtlMs, Number(call.body.TtlMs)));
			lastLease += 1;
			leases.set(lastLease, {ttlMs, timer: undefined});
			renewLease(lastLease);
			call.answer(200, {Lease: lastLease, TtlMs: ttlMs});
		},
		'POST kv-keep'(call) {
			const ttlMs = renewLease(Number(call.path[1]));
			call.answer(ttlMs === undefined ? 404 : 200, {TtlMs: ttlMs});
		},
		'DELETE kv-lease-end'(call) {
			endLease(Number(call.path[1]));
			call.answer(200);
		},
	};

	return {
		/** Opens the address for an entry. */
		async listen(entry) {
			const server = await startJsonServer(call => {
				const name = `${call.method} ${call.path[0] ?? ''}`;
				const handle = handlers[name];
				if (handle === undefined) {
					call.answer(400);
					return;
				}

				const fault = chooseFault(entry, name, call.body);
				if (fault === undefined) {
					setTimeout(handle, name === 'GET kv-watch' ? 0 : answerMs, call);
					return;
				}

				setTimeout(handle, fault.lateMs, {...call, answer: () => undefined});
			});
			servers.push(server);
			return server.address;
		},
		/** Writes as the operator or as a worker. */
		write(key, value) {
			apply({Puts: [{Key: key, Value: Buffer.from(JSON.stringify(value)).toString('base64')}]});
		},
		erase(key) {
			apply({Remove: [key]});
		},
		/** Reads a record as JSON. */
		read(key) {
			const item = items.get(key);
			return item === undefined ? undefined : JSON.parse(Buffer.from(item.Value, 'base64').toString('utf8'));
		},
		listKeys: prefix => [...items.keys()].filter(key => key.startsWith(prefix)),
		close() {
			for (const lease of leases.values()) {
				clearTimeout(lease.timer);
			}

			for (const server of servers) {
				server.close();
			}
		},
	};
}
