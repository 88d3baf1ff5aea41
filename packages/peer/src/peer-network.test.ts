import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {type InputEvent, type PeerMessage} from '@pistachiogauge/model';
import {createPeerNetwork} from './peer-network.js';
import {type PeerNetwork} from './peer-network-options.js';

type TestEntry = {
	readonly network: PeerNetwork;
	readonly address: string;
	readonly events: InputEvent[];
	readonly counts: string[];
};

const idleTimeoutMs = 400;
const heartbeat: PeerMessage = {
	kind: 'heartbeat', askedAt: 1, adoptedEpoch: 1, bundleVersion: 1, suspects: [],
};
const malformed = {kind: 'heartbeat', askedAt: 'soon'} as unknown as PeerMessage;

let entries: TestEntry[];
let relays: Relay[];

beforeEach(() => {
	entries = [];
	relays = [];
});
afterEach(async () => {
	await Promise.all(entries.map(async ({network}) => network.stop()));
	for (const relay of relays) {
		relay.close();
	}
});

async function findFreePort(): Promise<number> {
	const probe = createServer().listen(0, '127.0.0.1');
	await once(probe, 'listening');
	const {port} = probe.address() as AddressInfo;
	probe.close();
	await once(probe, 'close');
	return port;
}

async function startEntry(id: string, secret = 'secret'): Promise<TestEntry> {
	const address = `127.0.0.1:${await findFreePort()}`;
	const events: InputEvent[] = [];
	const counts: string[] = [];
	const network = createPeerNetwork({
		id,
		address,
		secret,
		idleTimeoutMs,
		pushEvent(event) {
			events.push(event);
		},
		log: () => undefined,
		count(metric) {
			counts.push(metric);
		},
	});
	await network.start();
	const node = {
		network, address, events, counts,
	};
	entries.push(node);
	return node;
}

/** TCP relay between two entries. */
type Relay = {
	readonly address: string;
	/** Stops forwarding on the open connections and leaves them open; new connections work. */
	stopForwarding(): void;
	close(): void;
};

async function startRelay(target: string): Promise<Relay> {
	const sockets = new Set<Socket>();
	const server: Server = createServer(socket => {
		const upstream = connect(Number(target.split(':')[1]), '127.0.0.1');
		socket.pipe(upstream);
		upstream.pipe(socket);
		for (const side of [socket, upstream]) {
			sockets.add(side);
			side.on('error', () => undefined);
		}
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const relay: Relay = {
		address: `127.0.0.1:${port}`,
		stopForwarding() {
			for (const socket of sockets) {
				socket.unpipe();
				socket.pause();
			}
		},
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
	relays.push(relay);
	return relay;
}

function countEvents(node: TestEntry, kind: InputEvent['kind']): number {
	return node.events.filter(event => event.kind === kind).length;
}

function countMetric(node: TestEntry, metric: string): number {
	return node.counts.filter(item => item === metric).length;
}

async function waitFor(what: string, isMet: () => boolean): Promise<void> {
	await expect.poll(isMet, {timeout: 10_000, message: what}).toBe(true);
}

type LinkCase = {
	readonly name: string;
	readonly run: () => Promise<void>;
};

const cases: readonly LinkCase[] = [
	{
		// Guards against a malformed frame that closes the link and loses the messages in transit.
		name: 'a malformed frame is dropped and counted, and the link stays open',
		async run() {
			const [a, b] = [await startEntry('a'), await startEntry('b')];
			a.network.openLink('b', b.address);
			await waitFor('the link is up', () => countEvents(a, 'link-up') === 1 && countEvents(b, 'link-up') === 1);
			a.network.sendMessage('b', malformed);
			a.network.sendMessage('b', heartbeat);
			await waitFor('the next frame arrives', () => countEvents(b, 'peer-heartbeat') === 1);
			expect(countMetric(b, 'peer_frames_malformed_total')).toBe(1);
			expect(countMetric(b, 'peer_frames_received_total')).toBe(2);
			expect(countEvents(b, 'link-down')).toBe(0);
		},
	},
	{
		// Guards against processes that join the cluster without knowing the shared secret.
		name: 'a wrong secret is refused and counted',
		async run() {
			const [a, b] = [await startEntry('a', 'guessed'), await startEntry('b')];
			a.network.openLink('b', b.address);
			await waitFor('the refusal is counted', () => countMetric(b, 'peer_links_refused_total') > 0);
			expect([countEvents(a, 'link-up'), countEvents(b, 'link-up')]).toEqual([0, 0]);
		},
	},
	{
		// Guards against a restarted process that receives messages addressed to its previous incarnation.
		name: 'a link to another incarnation is refused',
		async run() {
			const [a, b] = [await startEntry('a'), await startEntry('b.2')];
			a.network.openLink('b.1', b.address);
			await waitFor('the refusal is counted', () => countMetric(b, 'peer_links_refused_total') > 0);
			expect([countEvents(a, 'link-up'), countEvents(b, 'link-up')]).toEqual([0, 0]);
		},
	},
	{
		// Guards against staying on a connection that no longer carries data while new connections work.
		name: 'a link on which nothing arrives is closed and opened again',
		async run() {
			const [a, b] = [await startEntry('a'), await startEntry('b')];
			const relay = await startRelay(b.address);
			a.network.openLink('b', relay.address);
			await waitFor('the link is up', () => countEvents(a, 'link-up') === 1);
			const heartbeatTimer = setInterval(() => {
				a.network.sendMessage('b', heartbeat);
				b.network.sendMessage('a', heartbeat);
			}, idleTimeoutMs / 8);
			try {
				relay.stopForwarding();
				await waitFor('the link is down', () => countEvents(a, 'link-down') === 1);
				const before = countEvents(b, 'peer-heartbeat');
				await waitFor('frames arrive again', () => countEvents(a, 'link-up') === 2 && countEvents(b, 'peer-heartbeat') > before);
			} finally {
				clearInterval(heartbeatTimer);
			}
		},
	},
	{
		// Guards against losing frames, such as results, that are still queued when a process shuts down as planned.
		name: 'frames sent right before the shutdown arrive',
		async run() {
			const [a, b] = [await startEntry('a'), await startEntry('b')];
			a.network.openLink('b', b.address);
			await waitFor('the link is up', () => countEvents(a, 'link-up') === 1 && countEvents(b, 'link-up') === 1);
			a.network.sendMessage('b', heartbeat);
			b.network.sendMessage('a', heartbeat);
			await Promise.all([a.network.stop(), b.network.stop()]);
			await waitFor('the frames arrive', () => countEvents(a, 'peer-heartbeat') === 1 && countEvents(b, 'peer-heartbeat') === 1);
		},
	},
];

describe('peer links', () => {
	it.each(cases)('$name', async ({run}) => {
		await run();
	});
});
