import {randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';
import {
	operatorCommandSchema, type InputEvent, type LogLevel, type OutcomeReason, type RequestResult,
} from '@pistachiogauge/model';
import {HttpRequestError} from './http-errors.js';
import {listen} from './listen.js';
import {createOperatorAuthenticator} from './operator-authenticator.js';
import {operatorHeaders} from './operator-signature.js';
import {readBody} from './read-body.js';
import {
	formatRawRefusal, sendJson, sendResult, sendText,
} from './send-answer.js';
import {parseServiceRequest, type ServiceDefaults} from './service-request.js';

/** @public */
export type CallerServerOptions = {
	/** IP address and port to listen on. */
	readonly address: string;
	readonly bodyLimitBytes: number;
	/** Public keys of the operators in PEM, by operator name. */
	readonly operatorKeys: Readonly<Record<string, string>>;
	readonly getServiceDefaults: (service: string) => ServiceDefaults;
	/** Creates an idempotency key for a request without one. */
	readonly createIdempotencyKey: () => string;
	/** Creates the result of a request that this server refuses without passing it on. */
	readonly createRefusal: (reason: OutcomeReason) => RequestResult;
	readonly getMetrics: () => string;
	readonly pushEvent: (event: InputEvent) => void;
	readonly log: (level: LogLevel, message: string, fields: Record<string, string | number>) => void;
	readonly count: (metric: string) => void;
};

/** @public */
export type CallerServer = {
	start(): Promise<void>;
	/** Accepts no new connections, waits up to the shutdown timeout for pending answers, and closes. */
	stop(): Promise<void>;
	answerCaller(requestId: string, result: RequestResult): void;
	answerOperator(callId: string, status: number, body: unknown): void;
	setReadiness(isReady: boolean): void;
};

type RouteHandler = (message: IncomingMessage, response: ServerResponse) => void | Promise<void>;

const operatorBodyLimitBytes = 2 * 1024 * 1024;
/** An operator call that no filter has answered by then is answered with status 504. */
const operatorCallTimeoutMs = 10_000;
/** Requests that are still being received or answered after this time are cut off when the server stops. */
const shutdownTimeoutMs = 2000;

/** Creates the HTTP server for callers and operators. @public */
export function createCallerServer(options: CallerServerOptions): CallerServer {
	const responses = new Map<string, ServerResponse>();
	const operatorAuthenticator = createOperatorAuthenticator(options.operatorKeys);
	let isReady = false;

	/** Handlers of the fixed paths; any other path is a request for a service. */
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
		'/operator/call': handleOperatorCall,
	};

	async function handleRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const path = (message.url ?? '').split('?', 1)[0]!;
		const route = Object.hasOwn(routes, path) ? routes[path]! : handleServiceRequest;
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

	async function handleServiceRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const requestId = randomUUID();
		const body = await readBody(message, options.bodyLimitBytes);
		const request = parseServiceRequest(message, body, requestId, options.getServiceDefaults, options.createIdempotencyKey);
		responses.set(requestId, response);
		response.on('close', () => {
			if (responses.delete(requestId)) {
				options.pushEvent({kind: 'caller-gone', requestId});
			}
		});
		options.pushEvent({kind: 'request-received', request});
	}

	async function handleOperatorCall(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = Buffer.from(await readBody(message, operatorBodyLimitBytes)).toString();
		const operator = String(message.headers[operatorHeaders.operator] ?? '');
		if (!operatorAuthenticator.verifyCall(message, operator, body)) {
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
		}, operatorCallTimeoutMs);
		response.on('close', () => {
			clearTimeout(timer);
			responses.delete(callId);
		});
		options.pushEvent({
			kind: 'operator-called', callId, operator, command: command.data,
		});
	}

	function answerOperator(callId: string, status: number, body: unknown): void {
		const response = responses.get(callId);
		responses.delete(callId);
		if (response !== undefined) {
			sendJson(response, status, body);
		}
	}

	const server: Server = createServer((message, response) => {
		if (!isReady) {
			// Makes the caller open a new connection for its next request, which the load balancer routes to another entry.
			response.setHeader('connection', 'close');
		}

		void handleRequest(message, response);
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
		options.count('requests_malformed_total');
		if (socket.writable) {
			socket.end(formatRawRefusal(randomUUID(), options.createRefusal('malformed-request'), `the request cannot be parsed (${error.code ?? 'unknown fault'})`));
			return;
		}

		socket.destroy();
	});
	return {
		async start() {
			await listen(server, options.address);
		},
		async stop() {
			isReady = false;
			await closeGracefully(server);
		},
		answerCaller(requestId, result) {
			const response = responses.get(requestId);
			responses.delete(requestId);
			if (response !== undefined) {
				if (!isReady) {
					response.setHeader('connection', 'close');
				}

				sendResult(response, requestId, result);
			}
		},
		answerOperator,
		setReadiness(isNowReady) {
			isReady = isNowReady;
		},
	};
}

async function closeGracefully(server: Server): Promise<void> {
	const closed = new Promise(resolve => {
		server.close(resolve);
	});
	server.closeIdleConnections();
	const timer = setTimeout(() => {
		server.closeAllConnections();
	}, shutdownTimeoutMs);
	await closed;
	clearTimeout(timer);
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
