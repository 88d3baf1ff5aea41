import {type InputEvent, type PeerMessage} from '@pistachiogauge/model';
import {
	getRandomBetween, type VirtualEntry, type VirtualNetwork, type Simulation,
} from './simulation.js';

/** One direction of a connection. Messages arrive in order, whatever their delays. */
type MessageStream = {
	readonly from: VirtualEntry;
	readonly to: VirtualEntry;
	readonly queuedMessages: Array<{readonly message: PeerMessage; readonly readyAt: number}>;
	isDelivering: boolean;
};

type Connection = {
	readonly ends: readonly [client: VirtualEntry, server: VirtualEntry];
	readonly streams: readonly [forward: MessageStream, backward: MessageStream];
	readonly lastReceivedAt: Map<VirtualEntry, number>;
};

type RequestedLink = {
	readonly address: string;
	isRequested: boolean;
	failureCount: number;
};

const connectMs = 2;
const idleLimitMs = 2000;
const idleCheckMs = 500;
const stallCheckMs = 20;
const reconnectMinMs = 50;
const reconnectMaxMs = 1000;

/**
Creates the links between the entries of a run.

A blocked path holds messages back, as TCP does. If it opens again before the link times out, they are delivered late.

@public
*/
export function createVirtualNetwork(simulation: Simulation): VirtualNetwork {
	const {queue, random, conditions} = simulation;
	const links = new Map<VirtualEntry, Map<string, Connection>>();
	const requestedLinks = new Map<VirtualEntry, Map<string, RequestedLink>>();
	const unblockedSince = new Map<string, {readonly connection: Connection; readonly since: number}>();

	function isPathOpen(from: VirtualEntry, to: VirtualEntry): boolean {
		return !conditions.blockedPaths.has(`${from.name}>${to.name}`);
	}

	function getLinks(entry: VirtualEntry): Map<string, Connection> {
		const known = links.get(entry) ?? new Map<string, Connection>();
		links.set(entry, known);
		return known;
	}

	function getOtherEnd(connection: Connection, end: VirtualEntry): VirtualEntry {
		return connection.ends[0] === end ? connection.ends[1] : connection.ends[0];
	}

	function registerLink(end: VirtualEntry, connection: Connection): void {
		const other = getOtherEnd(connection, end);
		const previous = getLinks(end).get(other.id);
		if (previous !== undefined) {
			removeLink(end, previous);
		}

		getLinks(end).set(other.id, connection);
		connection.lastReceivedAt.set(end, queue.now);
		simulation.deliver(end, {kind: 'link-up', entryId: other.id});
		scheduleIdleCheck(end, connection);
	}

	function removeLink(end: VirtualEntry, connection: Connection): void {
		const other = getOtherEnd(connection, end);
		if (getLinks(end).get(other.id) !== connection) {
			return;
		}

		getLinks(end).delete(other.id);
		simulation.deliver(end, {kind: 'link-down', entryId: other.id});
		queue.add(conditions.linkDelayMs, () => {
			// The close is lost on a blocked path; the other end then detects it by the idle timeout.
			if (isPathOpen(end, other)) {
				removeLink(other, connection);
			}
		});
		const link = connection.ends[0] === end ? requestedLinks.get(end)?.get(other.id) : undefined;
		if (link !== undefined) {
			retryLink(end, other.id, link);
		}
	}

	function scheduleIdleCheck(end: VirtualEntry, connection: Connection): void {
		queue.add(idleCheckMs, () => {
			if (!end.isAlive || getLinks(end).get(getOtherEnd(connection, end).id) !== connection) {
				return;
			}

			if (!end.isPaused && queue.now - connection.lastReceivedAt.get(end)! > idleLimitMs) {
				removeLink(end, connection);
				return;
			}

			scheduleIdleCheck(end, connection);
		});
	}

	function retryLink(client: VirtualEntry, entryId: string, link: RequestedLink): void {
		const backoffMs = Math.min(reconnectMinMs * (2 ** link.failureCount), reconnectMaxMs) * getRandomBetween(random, 0.5, 1.5);
		link.failureCount += 1;
		queue.add(backoffMs, () => {
			connect(client, entryId, link);
		});
	}

	function connect(client: VirtualEntry, entryId: string, link: RequestedLink): void {
		if (!link.isRequested || !client.isAlive) {
			return;
		}

		const server = simulation.entries.get(entryId);
		if (client.isPaused || !server?.isAlive || server.address !== link.address) {
			retryLink(client, entryId, link);
			return;
		}

		const connection = createConnection(client, server, queue.now);
		const isServerReached = isPathOpen(client, server) && !server.isPaused;
		queue.add(connectMs + conditions.linkDelayMs, () => {
			if (isServerReached && server.isAlive) {
				registerLink(server, connection);
			}
		});
		const isAnswered = isServerReached && isPathOpen(server, client);
		queue.add(isAnswered ? (connectMs + conditions.linkDelayMs) * 2 : idleLimitMs, () => {
			if (!client.isAlive || !link.isRequested) {
				return;
			}

			if (isAnswered && server.isAlive) {
				link.failureCount = 0;
				registerLink(client, connection);
				return;
			}

			removeLink(server, connection);
			retryLink(client, entryId, link);
		});
	}

	function deliverMessages(stream: MessageStream, connection: Connection): void {
		stream.isDelivering = true;
		const [head] = stream.queuedMessages;
		if (head === undefined) {
			stream.isDelivering = false;
			return;
		}

		const isStalled = !isPathOpen(stream.from, stream.to);
		queue.add(isStalled ? stallCheckMs : head.readyAt - queue.now, () => {
			if (!isPathOpen(stream.from, stream.to)) {
				deliverMessages(stream, connection);
				return;
			}

			if (head.readyAt <= queue.now) {
				stream.queuedMessages.shift();
				receiveMessage(stream, connection, head.message);
			}

			deliverMessages(stream, connection);
		});
	}

	function receiveMessage({from, to}: MessageStream, connection: Connection, message: PeerMessage): void {
		if (getLinks(to).get(from.id) === connection) {
			connection.lastReceivedAt.set(to, queue.now);
			simulation.deliver(to, {kind: `peer-${message.kind}`, from: from.id, message} as InputEvent);
		}
	}

	function removeEntry(entry: VirtualEntry): void {
		for (const connection of getLinks(entry).values()) {
			const other = getOtherEnd(connection, entry);
			queue.add(conditions.linkDelayMs, () => {
				if (isPathOpen(entry, other)) {
					removeLink(other, connection);
				}
			});
		}

		links.delete(entry);
		requestedLinks.delete(entry);
	}

	return {
		removeEntry,
		openLink(from, entryId, address) {
			const link: RequestedLink = {address, isRequested: true, failureCount: 0};
			const own = requestedLinks.get(from) ?? new Map<string, RequestedLink>();
			requestedLinks.set(from, own);
			own.set(entryId, link);
			connect(from, entryId, link);
		},
		closeLink(from, entryId) {
			const link = requestedLinks.get(from)?.get(entryId);
			if (link !== undefined) {
				link.isRequested = false;
				requestedLinks.get(from)!.delete(entryId);
			}

			const connection = getLinks(from).get(entryId);
			if (connection !== undefined) {
				removeLink(from, connection);
			}
		},
		sendMessage(from, to, message) {
			const connection = getLinks(from).get(to);
			if (connection === undefined) {
				return;
			}

			const stream = connection.streams.find(item => item.from === from)!;
			stream.queuedMessages.push({message, readyAt: queue.now + (conditions.linkDelayMs * getRandomBetween(random, 0.5, 1.5))});
			if (!stream.isDelivering) {
				deliverMessages(stream, connection);
			}
		},
		cutLinks(left, right) {
			for (const [entry, connections] of links) {
				for (const connection of connections.values()) {
					if (entry.name === left && getOtherEnd(connection, entry).name === right) {
						removeLink(entry, connection);
					}
				}
			}
		},
		getUnblockedSince(from, to) {
			const key = `${from.id}>${to.id}`;
			const connection = getLinks(from).get(to.id);
			if (connection === undefined || getLinks(to).get(from.id) !== connection || !isPathOpen(from, to)) {
				unblockedSince.delete(key);
				return undefined;
			}

			const known = unblockedSince.get(key);
			const since = known?.connection === connection ? known.since : queue.now;
			unblockedSince.set(key, {connection, since});
			return since;
		},
	};
}

function createConnection(client: VirtualEntry, server: VirtualEntry, now: number): Connection {
	const createStream = (from: VirtualEntry, to: VirtualEntry): MessageStream => ({
		from, to, queuedMessages: [], isDelivering: false,
	});
	return {
		ends: [client, server], streams: [createStream(client, server), createStream(server, client)], lastReceivedAt: new Map([[client, now], [server, now]]),
	};
}
