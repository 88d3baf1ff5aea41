import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {listenOn, readJson, sendJson} from './read-json.js';

/**
How an endpoint misbehaves.

- `none`: it answers.
- `fail`: it answers 500 at once.
- `freeze`: it takes requests and never answers.
- `cut`: it closes the connection after it has run the request.
- `truncate`: it announces more bytes than it sends and closes.
- `silent`: connections that are open now get no more answers; new ones work.

@public
*/
export const endpointFaultSchema = z.enum(['none', 'fail', 'freeze', 'cut', 'truncate', 'silent']);
/** @public */
export type EndpointFault = z.infer<typeof endpointFaultSchema>;

/** @public */
export type EndpointStandinOptions = {
	/** IP number and port. */
	readonly address: string;
	readonly slots: number;
	readonly connectionLimit: number;
	/** Run time of a request in milliseconds, unless the request names one in `x-run-ms`. */
	readonly runMs: number;
};

/** What the endpoint has seen. @public */
export type EndpointRecord = {
	/** Runs of each request body, for counting duplicates. */
	readonly runs: Record<string, number>;
	/** Unix time of the last request that arrived. */
	readonly lastArrivalAt: number;
	readonly maxBusy: number;
	readonly maxConnections: number;
	readonly cutOff: number;
};

/** @public */
export type EndpointStandin = {
	start(): Promise<void>;
	stop(): void;
	setFault(fault: EndpointFault): void;
	getRecord(): EndpointRecord;
};

const fullStatus = 503;

/** Creates a stand-in for a worker's endpoint with slots, a connection limit and faults. @public */
export function createEndpointStandin(options: EndpointStandinOptions): EndpointStandin {
	const runs: Record<string, number> = {};
	const silentSockets = new WeakSet<Socket>();
	const openSockets = new Set<Socket>();
	let fault: EndpointFault = 'none';
	let busy = 0;
	let maxBusy = 0;
	let maxConnections = 0;
	let lastArrivalAt = 0;
	let cutOff = 0;

	const answers: Readonly<Record<EndpointFault, (message: IncomingMessage, response: ServerResponse, text: string) => void>> = {
		none(message, response, text) {
			sendJson(response, 200, {path: message.url, echo: text});
		},
		fail(_message, response) {
			sendJson(response, 500, {error: 'broken'});
		},
		freeze() {
			// No answer on purpose.
		},
		cut(message) {
			message.socket.destroy();
		},
		truncate(message, response, text) {
			response.writeHead(200, {'content-length': String(text.length + 100)});
			response.write(text);
			setImmediate(() => {
				message.socket.destroy();
			});
		},
		silent(message, response, text) {
			answers.none(message, response, text);
		},
	};

	async function accept(message: IncomingMessage, response: ServerResponse): Promise<void> {
		if (message.url === '/healthz') {
			sendJson(response, fault === 'freeze' ? 503 : 200, {busy});
			return;
		}

		if (message.url === '/standin/fault') {
			setFault(z.object({fault: endpointFaultSchema}).parse(await readJson(message)).fault);
			sendJson(response, 200, {fault});
			return;
		}

		if (message.url === '/standin/record') {
			sendJson(response, 200, getRecord());
			return;
		}

		lastArrivalAt = Date.now();
		await runRequest(message, response);
	}

	async function runRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const chunks: Uint8Array[] = [];
		for await (const chunk of message) {
			chunks.push(chunk as Uint8Array);
		}

		if (busy >= options.slots) {
			sendJson(response, fullStatus, {error: 'every slot is busy'});
			return;
		}

		const text = Buffer.concat(chunks).toString();
		busy += 1;
		maxBusy = Math.max(maxBusy, busy);
		runs[text] = (runs[text] ?? 0) + 1;
		const runMs = fault === 'fail' ? 0 : Number(message.headers['x-run-ms'] ?? options.runMs);
		await delay(runMs);
		busy -= 1;
		if (message.socket.destroyed) {
			cutOff += 1;
			return;
		}

		if (!silentSockets.has(message.socket)) {
			answers[fault](message, response, text);
		}
	}

	function setFault(next: EndpointFault): void {
		fault = next;
		if (next === 'silent') {
			for (const socket of openSockets) {
				silentSockets.add(socket);
			}
		}
	}

	function getRecord(): EndpointRecord {
		return {
			runs, lastArrivalAt, maxBusy, maxConnections, cutOff,
		};
	}

	const server = createServer((message, response) => {
		accept(message, response).catch(() => {
			message.socket.destroy();
		});
	});
	server.on('connection', socket => {
		if (openSockets.size >= options.connectionLimit) {
			socket.destroy();
			return;
		}

		openSockets.add(socket);
		maxConnections = Math.max(maxConnections, openSockets.size);
		socket.on('close', () => openSockets.delete(socket));
	});
	return {
		setFault,
		getRecord,
		async start() {
			await listenOn(server, options.address);
		},
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}
