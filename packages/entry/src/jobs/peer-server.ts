import {createHash, timingSafeEqual} from 'node:crypto';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {HttpRequestError, listen, readBody} from '@pistachiogauge/http';
import {type CallerAnswer} from '@pistachiogauge/jobs';
import {type Logger} from '@pistachiogauge/telemetry';
import {
	decodeRelayMessage, maxRelayBytes, relayPath, relaySecretHeader, type RelayMessage,
} from './relay-messages.js';

/** @internal */
export type PeerServerOptions = {
	readonly address: string;
	/** Random text that other entries read in this entry's registration. */
	readonly secret: string;
	readonly formatMetrics: () => string;
	/** Whether this entry can decide requests: it reaches the store and has a configuration. */
	readonly isReady: () => boolean;
	/** Handles a relayed request; its answer comes through `answerRequest`. */
	readonly receiveRequest: (message: RelayMessage) => void;
	readonly log: Logger;
	readonly count: (metric: string) => void;
};

/** HTTP server for other entries and for monitoring. @internal */
export type PeerServer = {
	start(): Promise<void>;
	/** Answers a relayed request. @returns Whether the request is a relayed one. */
	answerRequest(requestId: string, answer: CallerAnswer): boolean;
	stop(): void;
};

/** What became of a relayed request before the decisions see it. With any status but 200, nothing is done. */
type Receipt = 'taken' | 'forbidden' | 'not-ready' | 'busy' | 'too-large' | 'malformed';

const statusByReceipt: Readonly<Record<Exclude<Receipt, 'taken'>, number>> = {
	forbidden: 403, 'not-ready': 503, busy: 503, 'too-large': 413, malformed: 400,
};

/** Limit on the relayed requests that wait for an answer. */
const maxOpenRequests = 64;
const maxHeadBytes = 16_384;
/** Time in which a request has to arrive; senders give up after a second. */
const requestTimeoutMs = 3000;
/** Longer than the HTTP client of other entries keeps an idle connection, so that it does not send on one that is being closed. */
const keepAliveMs = 30_000;

/** @internal */
export function createPeerServer(options: PeerServerOptions): PeerServer {
	const openResponses = new Map<string, ServerResponse>();
	const secretDigest = computeDigest(options.secret);
	const server = createServer({
		maxHeaderSize: maxHeadBytes, keepAliveTimeout: keepAliveMs, headersTimeout: requestTimeoutMs, requestTimeout: requestTimeoutMs,
	}, (request, response) => {
		(handlersByRoute[`${request.method} ${request.url}`] ?? handleUnknown)(request, response);
	});

	const handlersByRoute: Readonly<Record<string, (request: IncomingMessage, response: ServerResponse) => void>> = {
		'GET /metrics': sendMetrics,
		'HEAD /metrics': sendMetrics,
		[`POST ${relayPath}`](request, response) {
			void receiveRelay(request, response).then(receipt => {
				options.count(`relays_received_total{result="${receipt}"}`);
				if (receipt !== 'taken') {
					sendJson(response, statusByReceipt[receipt], {error: receipt});
				}
			});
		},
	};

	function sendMetrics(_request: IncomingMessage, response: ServerResponse): void {
		response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
		response.end(options.formatMetrics());
	}

	async function receiveRelay(request: IncomingMessage, response: ServerResponse): Promise<Receipt> {
		if (!isAuthorized(request)) {
			return 'forbidden';
		}

		if (!options.isReady()) {
			return 'not-ready';
		}

		if (openResponses.size >= maxOpenRequests) {
			return 'busy';
		}

		let body;
		try {
			body = await readBody(request, maxRelayBytes);
		} catch (error) {
			return error instanceof HttpRequestError && error.reason === 'body-too-large' ? 'too-large' : 'malformed';
		}

		const message = decodeRelayMessage(body);
		if (message === undefined || openResponses.has(message.requestId)) {
			return 'malformed';
		}

		const {requestId, node, request: {action}} = message;
		openResponses.set(requestId, response);
		response.on('close', () => {
			if (openResponses.get(requestId) === response) {
				openResponses.delete(requestId);
			}
		});
		options.log('info', 'relayed request received', {request: requestId, from: node, action});
		options.receiveRequest(message);
		return 'taken';
	}

	/** Compares digests, which have the same length, in constant time. */
	function isAuthorized({headers}: IncomingMessage): boolean {
		const secret = headers[relaySecretHeader];
		return typeof secret === 'string' && timingSafeEqual(computeDigest(secret), secretDigest);
	}

	return {
		async start() {
			await listen(server, options.address);
		},
		answerRequest(requestId, answer) {
			const response = openResponses.get(requestId);
			if (response === undefined) {
				return false;
			}

			openResponses.delete(requestId);
			sendJson(response, 200, {answer});
			return true;
		},
		stop() {
			server.closeAllConnections();
			server.close();
		},
	};
}

function handleUnknown(_request: IncomingMessage, response: ServerResponse): void {
	response.writeHead(404, {'content-type': 'text/plain'});
	response.end('');
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
}

function computeDigest(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}
