import {randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	operatorCommandSchema, type InputEvent, type LogLevel, type OutcomeReason, type RequestResult,
} from '@pistachiogauge/model';
import {HttpRequestError} from './http-errors.js';
import {listen} from './listen.js';
import {operatorHeaders, verifyOperatorCall} from './operator-signature.js';
import {parseServiceRequest, type ServiceDefaults} from './service-request.js';

/** @public */
export type CallerServerOptions = {
	/** IP number and port. */
	readonly address: string;
	readonly bodyLimitBytes: number;
	/** Public keys of operators in PEM, by name. */
	readonly operatorKeys: Readonly<Record<string, string>>;
	readonly getDefaults: (service: string) => ServiceDefaults;
	/** Makes an idempotency key for a request that brings none. */
	readonly createKey: () => string;
	/** Result of a request that this server refuses by itself. */
	readonly createRefusal: (reason: OutcomeReason) => RequestResult;
	readonly getMetrics: () => string;
	readonly pushEvent: (event: InputEvent) => void;
	readonly log: (level: LogLevel, message: string, fields: Record<string, string | number>) => void;
	readonly count: (metric: string) => void;
};

/** @public */
export type CallerServer = {
	start(): Promise<void>;
	stop(): void;
	respondCaller(requestId: string, result: RequestResult): void;
	answerOperator(callId: string, status: number, body: unknown): void;
	setReadiness(isReady: boolean): void;
};

type RouteHandler = (message: IncomingMessage, response: ServerResponse) => void | Promise<void>;

const operatorBodyLimitBytes = 2 * 1024 * 1024;
/** Calls that no filter answers within this time are answered with 504. */
const operatorTimeoutMs = 10_000;

/** Creates the HTTP server for callers and operators. @public */
export function createCallerServer(options: CallerServerOptions): CallerServer {
	const responses = new Map<string, ServerResponse>();
	const usedNonces = new Map<string, number>();
	let isReady = false;

	/** Fixed paths; everything else belongs to a service. */
	const routes: Readonly<Record<string, RouteHandler>> = {
		'/healthz'(_message, response) {
			sendText(response, 200, 'alive\n');
		},
		'/readyz'(_message, response) {
			sendText(response, isReady ? 200 : 503, isReady ? 'ready\n' : 'not ready\n');
		},
		'/metrics'(_message, response) {
			sendText(response, 200, options.getMetrics());
		},
		'/operator/call': acceptOperatorCall,
	};

	async function acceptMessage(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const path = (message.url ?? '').split('?', 1)[0]!;
		const route = Object.hasOwn(routes, path) ? routes[path]! : acceptServiceRequest;
		try {
			await route(message, response);
		} catch (error) {
			if (!(error instanceof HttpRequestError)) {
				options.log('error', 'request handler failed', {path, error: String(error)});
			}

			if (!response.headersSent) {
				const reason = error instanceof HttpRequestError ? error.reason : 'internal-error';
				sendResult(response, randomUUID(), options.createRefusal(reason), error instanceof HttpRequestError ? error.message : undefined);
			}
		}
	}

	async function acceptServiceRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const requestId = randomUUID();
		const body = await readBody(message, options.bodyLimitBytes);
		const request = parseServiceRequest(message, body, requestId, options.getDefaults, options.createKey);
		responses.set(requestId, response);
		response.on('close', () => {
			if (responses.delete(requestId)) {
				options.pushEvent({kind: 'caller-gone', requestId});
			}
		});
		options.pushEvent({kind: 'request-received', request});
	}

	async function acceptOperatorCall(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = Buffer.from(await readBody(message, operatorBodyLimitBytes)).toString();
		const operator = String(message.headers[operatorHeaders.operator] ?? '');
		if (!isAuthentic(message, operator, body)) {
			options.count('operator_calls_refused_total');
			options.log('warn', 'operator call refused', {operator, peer: message.socket.remoteAddress ?? ''});
			sendJson(response, 401, {outcome: 'refused', message: 'the call is not signed by a known operator, is too old, or was seen before'});
			return;
		}

		const command = operatorCommandSchema.safeParse(parseJson(body));
		if (!command.success) {
			const faults = command.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`);
			sendJson(response, 400, {outcome: 'refused', message: `malformed call: ${faults.join('; ')}`});
			return;
		}

		const callId = randomUUID();
		responses.set(callId, response);
		const timer = setTimeout(() => {
			answerOperator(callId, 504, {outcome: 'unknown', message: 'no answer in time'});
		}, operatorTimeoutMs);
		response.on('close', () => {
			clearTimeout(timer);
			responses.delete(callId);
		});
		options.pushEvent({
			kind: 'operator-called', callId, operator, command: command.data,
		});
	}

	function isAuthentic(message: IncomingMessage, operator: string, body: string): boolean {
		const key = Object.hasOwn(options.operatorKeys, operator) ? options.operatorKeys[operator] : undefined;
		const issuedAt = Number(message.headers[operatorHeaders.issuedAt]);
		const nonce = String(message.headers[operatorHeaders.nonce] ?? '');
		const signature = String(message.headers[operatorHeaders.signature] ?? '');
		const now = Date.now();
		for (const [used, at] of usedNonces) {
			if (now - at > 2 * 60_000) {
				usedNonces.delete(used);
			}
		}

		const isValid = key !== undefined && !usedNonces.has(nonce) && verifyOperatorCall({
			operator, issuedAt, nonce, body,
		}, signature, key, now);
		if (isValid) {
			usedNonces.set(nonce, now);
		}

		return isValid;
	}

	function answerOperator(callId: string, status: number, body: unknown): void {
		const response = responses.get(callId);
		responses.delete(callId);
		if (response !== undefined) {
			sendJson(response, status, body);
		}
	}

	const server: Server = createServer((message, response) => {
		void acceptMessage(message, response);
	});
	return {
		async start() {
			await listen(server, options.address);
		},
		stop() {
			server.close();
			server.closeAllConnections();
		},
		respondCaller(requestId, result) {
			const response = responses.get(requestId);
			responses.delete(requestId);
			if (response !== undefined) {
				sendResult(response, requestId, result);
			}
		},
		answerOperator,
		setReadiness(isNowReady) {
			isReady = isNowReady;
		},
	};
}

/**
Reads a whole request body.

@throws HttpRequestError when it is larger than the limit or does not arrive whole.
*/
async function readBody(message: IncomingMessage, limitBytes: number): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		for await (const chunk of message) {
			size += (chunk as Uint8Array).length;
			if (size > limitBytes) {
				break;
			}

			chunks.push(chunk as Uint8Array);
		}
	} catch {
		throw new HttpRequestError('malformed-request', 'the request body did not arrive whole');
	}

	if (size > limitBytes) {
		throw new HttpRequestError('body-too-large', `request bodies are at most ${limitBytes} bytes`);
	}

	return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}

function sendResult(response: ServerResponse, requestId: string, result: RequestResult, detail?: string): void {
	for (const [name, value] of result.headers) {
		response.appendHeader(name, value);
	}

	response.setHeader('pistachiogauge-outcome', result.outcome);
	response.setHeader('pistachiogauge-request-id', requestId);
	if (result.reason !== undefined) {
		response.setHeader('pistachiogauge-reason', result.reason);
		response.setHeader('pistachiogauge-time', new Date().toISOString());
	}

	if (detail !== undefined) {
		response.setHeader('pistachiogauge-detail', detail);
	}

	if (result.retryAfterMs !== undefined) {
		response.setHeader('retry-after', Math.ceil(result.retryAfterMs / 1000));
	}

	response.statusCode = result.status;
	response.end(result.body);
}

function sendText(response: ServerResponse, status: number, text: string): void {
	response.writeHead(status, {'content-type': 'text/plain; charset=utf-8'});
	response.end(text);
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(`${JSON.stringify(body)}\n`);
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
