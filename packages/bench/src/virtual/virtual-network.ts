import {type InputEvent, type PeerMessage} from '@pistachiogauge/model';
import {
	getBetween, type VirtualEntry, type VirtualNetwork, type Simulation,
} from './world.js';

/** One direction of a connection. Messages arrive in order, however long they take. */
type Lane = {
	readonly from: VirtualEntry;
	readonly to: VirtualEntry;
	readonly waiting: Array<{readonly message: PeerMessage; readonly readyAt: number}>;
	isDraining: boolean;
};

type Connection = {
	readonly ends: readonly [client: VirtualEntry, server: VirtualEntry];
	readonly lanes: readonly [forward: Lane, backward: Lane];
	readonly lastHeard: Map<VirtualEntry, number>;
};

type WantedLink = {
	readonly address: string;
	isWanted: boolean;
	failures: number;
};

const connectMs = 2;
const idleLimitMs = 2000;
const idleCheckMs = 500;
const stallCheckMs = 20;
const reconnectMinMs = 50;
const reconnectMaxMs = 1000;

/**
Creates the links between the entries of a run.

A blocked path holds messages back, as TCP does, and delivers them late when it opens again before the link has been given up.

@public
*/
export function createVirtualNetwork(world: Simulation): VirtualNetwork {
	const {queue, random, conditions} = world;
	const links = new Map<VirtualEntry, Map<string, Connection>>();
	const wanted = new Map<VirtualEntry, Map<string, WantedLink>>();
	const passing = new Map<string, {readonly connection: Connection; readonly since: number}>();

	function isPassing(from: VirtualEntry, to: VirtualEntry): boolean {
		return !conditions.blockedPaths.has(`${from.name}>${to.name}`);
	}

	function getLinks(entry: VirtualEntry): Map<string, Connection> {
		const known = links.get(entry) ?? new Map<string, Connection>();
		links.set(entry, known);
		return known;
	}

	function getOther(connection: Connection, end: VirtualEntry): VirtualEntry {
		return connection.ends[0] === end ? connection.ends[1] : connection.ends[0];
	}

	function registerLink(end: VirtualEntry, connection: Connection): void {
		const other = getOther(connection, end);
		const former = getLinks(end).get(other.id);
		if (former !== undefined) {
			removeLink(end, former);
		}

		getLinks(end).set(other.id, connection);
		connection.lastHeard.set(end, queue.now);
		world.deliver(end, {kind: 'link-up', entryId: other.id});
		watchSilence(end, connection);
	}

	function removeLink(end: VirtualEntry, connection: Connection): void {
		const other = getOther(connection, end);
		if (getLinks(end).get(other.id) !== connection) {
			return;
		}

		getLinks(end).delete(other.id);
		world.deliver(end, {kind: 'link-down', entryId: other.id});
		queue.add(conditions.linkDelayMs, () => {
			// The close is lost on a blocked path; the other end then finds out by silence.
			if (isPassing(end, other)) {
				removeLink(other, connection);
			}
		});
		const link = connection.ends[0] === end ? wanted.get(end)?.get(other.id) : undefined;
		if (link !== undefined) {
			retryLink(end, other.id, link);
		}
	}

	function watchSilence(end: VirtualEntry, connection: Connection): void {
		queue.add(idleCheckMs, () => {
			if (!end.isAlive || getLinks(end).get(getOther(connection, end).id) !== connection) {
				return;
			}

			if (!end.isPaused && queue.now - connection.lastHeard.get(end)! > idleLimitMs) {
				removeLink(end, connection);
				return;
			}

			watchSilence(end, connection);
		});
	}

	function retryLink(client: VirtualEntry, entryId: string, link: WantedLink): void {
		const pauseMs = Math.min(reconnectMinMs * (2 ** link.failures), reconnectMaxMs) * getBetween(random, 0.5, 1.5);
		link.failures += 1;
		queue.add(pauseMs, () => {
			connect(client, entryId, link);
		});
	}

	function connect(client: VirtualEntry, entryId: string, link: WantedLink): void {
		if (!link.isWanted || !client.isAlive) {
			return;
		}

		const server = world.entries.get(entryId);
		if (client.isPaused || !server?.isAlive || server.address !== link.address) {
			retryLink(client, entryId, link);
			return;
		}

		const connection = createConnection(client, server, queue.now);
		const isHeard = isPassing(client, server) && !server.isPaused;
		queue.add(connectMs + conditions.linkDelayMs, () => {
			if (isHeard && server.isAlive) {
				registerLink(server, connection);
			}
		});
		const isAnswered = isHeard && isPassing(server, client);
		queue.add(isAnswered ? (connectMs + conditions.linkDelayMs) * 2 : idleLimitMs, () => {
			if (!client.isAlive || !link.isWanted) {
				return;
			}

			if (isAnswered && server.isAlive) {
				link.failures = 0;
				registerLink(client, connection);
				return;
			}

			removeLink(server, connection);
			retryLink(client, entryId, link);
		});
	}

	function runLane(lane: Lane, connection: Connection): void {
		lane.isDraining = true;
		const [head] = lane.waiting;
		if (head === undefined) {
			lane.isDraining = false;
			return;
		}

		const isStalled = !isPassing(lane.from, lane.to);
		queue.add(isStalled ? stallCheckMs : head.readyAt - queue.now, () => {
			if (!isPassing(lane.from, lane.to)) {
				runLane(lane, connection);
				return;
			}

			if (head.readyAt <= queue.now) {
				lane.waiting.shift();
				receiveMessage(lane, connection, head.message);
			}

			runLane(lane, connection);
		});
	}

	function receiveMessage({from, to}: Lane, connection: Connection, message: PeerMessage): void {
		if (getLinks(to).get(from.id) === connection) {
			connection.lastHeard.set(to, queue.now);
			world.deliver(to, {kind: `peer-${message.kind}`, from: from.id, message} as InputEvent);
		}
	}

	function removeEntry(entry: VirtualEntry): void {
		for (const connection of getLinks(entry).values()) {
			const other = getOther(connection, entry);
			queue.add(conditions.linkDelayMs, () => {
				if (isPassing(entry, other)) {
					removeLink(other, connection);
				}
			});
		}

		links.delete(entry);
		wanted.delete(entry);
	}

	return {
		removeEntry,
		openLink(from, entryId, address) {
			const link: WantedLink = {address, isWanted: true, failures: 0};
			const own = wanted.get(from) ?? new Map<string, WantedLink>();
			wanted.set(from, own);
			own.set(entryId, link);
			connect(from, entryId, link);
		},
		closeLink(from, entryId) {
			const link = wanted.get(from)?.get(entryId);
			if (link !== undefined) {
				link.isWanted = false;
				wanted.get(from)!.delete(entryId);
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

			const lane = connection.lanes.find(item => item.from === from)!;
			lane.waiting.push({message, readyAt: queue.now + (conditions.linkDelayMs * getBetween(random, 0.5, 1.5))});
			if (!lane.isDraining) {
				runLane(lane, connection);
			}
		},
		cutLinks(left, right) {
			for (const [entry, connections] of links) {
				for (const connection of connections.values()) {
					if (entry.name === left && getOther(connection, entry).name === right) {
						removeLink(entry, connection);
					}
				}
			}
		},
		getPassingSince(from, to) {
			const key = `${from.id}>${to.id}`;
			const connection = getLinks(from).get(to.id);
			if (connection === undefined || getLinks(to).get(from.id) !== connection || !isPassing(from, to)) {
				passing.delete(key);
				return undefined;
			}

			const known = passing.get(key);
			const since = known?.connection === connection ? known.since : queue.now;
			passing.set(key, {connection, since});
			return since;
		},
	};
}

function createConnection(client: VirtualEntry, server: VirtualEntry, now: number): Connection {
	const createLane = (from: VirtualEntry, to: VirtualEntry): Lane => ({
		from, to, waiting: [], isDraining: false,
	});
	return {
		ends: [client, server], lanes: [createLane(client, server), createLane(server, client)], lastHeard: new Map([[client, now], [server, now]]),
	};
}
