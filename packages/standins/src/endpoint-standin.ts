import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {listen, readJson, sendJson} from './http-helpers.js';

/**
Fault that the endpoint simulates.

- `none`: answers normally.
- `fail`: answers with status 500 at once.
- `freeze`: accepts requests and never answers; its health check fails.
- `cut`: closes the connection after running the request.
- `truncate`: sends fewer bytes than its Content-Length and closes the connection.
- `silent`: gives no more answers on the connections that are open when the fault is set; new connections work.

@public
*/
export const endpointFaultSchema = z.enum(['none', 'fail', 'freeze', 'cut', 'truncate', 'silent']);
/** @public */
export type EndpointFault = z.infer<typeof endpointFaultSchema>;

/** @public */
export type EndpointStandinOptions = {
	/** IP address and port to listen on. */
	readonly address: string;
	/** Requests that run at the same time; further ones are answered with status 503. */
	readonly slots: number;
	/** Open connections; further ones are closed at once. */
	readonly connectionLimit: number;
	/** Run time of a request in milliseconds, unless the request sets it in the header `x-run-ms`. */
	readonly runMs: number;
};

/** Statistics of the endpoint since its start. @public */
export type EndpointRecord = {
	/** Number of runs by request body, which shows duplicates. */
	readonly runs: Record<string, number>;
	/** Unix time in milliseconds of the last request received. */
	readonly lastArrivalAt: number;
	/** Highest number of requests that ran at the same time. */
	readonly maxBusy: number;
	readonly maxConnections: number;
	/** Requests whose connection was closed while they ran. */
	readonly cutOff: number;
};

/** @public */
export type EndpointStandin = {
	start(): Promise<void>;
	stop(): void;
	setFault(fault: EndpointFault): void;
	getRecord(): EndpointRecord;
};

const overloadedStatus = 503;

/** Creates a stand-in for the endpoint of an instance, with slots, a connection limit and simulated faults. @public */
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

	const faultHandlers: Readonly<Record<EndpointFault, (message: IncomingMessage, response: ServerResponse, text: string) => void>> = {
		none(message, response, text) {
			sendJson(response, 200, {path: message.url, echo: text});
		},
		fail(_message, response) {
			sendJson(response, 500, {error: 'broken'});
		},
		freeze() {
			// The endpoint never answers.
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
			faultHandlers.none(message, response, text);
		},
	};

	async function handleRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
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
			sendJson(response, overloadedStatus, {error: 'every slot is busy'});
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
			faultHandlers[fault](message, response, text);
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
		handleRequest(message, response).catch(() => {
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
			await listen(server, options.address);
		},
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}
