import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {type EffectOf, type InputEvent} from '@pistachiogauge/model';
import {createEndpointClient, type EndpointClient} from './endpoint-client.js';

type Behaviour = 'answer' | 'cut' | 'truncate' | 'silence' | 'large';

const answerLimitBytes = 1000;
const shortTimeoutMs = 150;
const longTimeoutMs = 10_000;

let server: Server;
let client: EndpointClient;
let address: string;
let events: InputEvent[];
let behaviour: Behaviour;
let arrivals: number;

const behaviours: Readonly<Record<Behaviour, (message: IncomingMessage, response: ServerResponse) => void>> = {
	answer(_message, response) {
		response.end('whole');
	},
	cut(message) {
		message.socket.destroy();
	},
	truncate(message, response) {
		response.writeHead(200, {'content-length': '100'});
		response.write('part');
		setImmediate(() => {
			message.socket.destroy();
		});
	},
	silence() {
		// The endpoint never answers.
	},
	large(_message, response) {
		response.end('x'.repeat(answerLimitBytes + 1));
	},
};

beforeEach(async () => {
	behaviour = 'answer';
	arrivals = 0;
	events = [];
	server = createServer((message, response) => {
		arrivals += 1;
		behaviours[behaviour](message, response);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	client = createEndpointClient({
		answerLimitBytes,
		getNow: () => performance.now(),
		pushEvent(event) {
			events.push(event);
		},
	});
});
afterEach(async () => {
	await client.stop();
	server.close();
	server.closeAllConnections();
});

/** Sends one attempt and returns the kind of its answer event or the failure. */
async function send(attemptId: string, overrides: Partial<EffectOf<'send-endpoint'>> = {}): Promise<string> {
	client.sendAttempt({
		kind: 'send-endpoint',
		attemptId,
		address,
		request: {
			requestId: attemptId, service: 's', method: 'POST', path: '/', headers: [], body: Buffer.from('text'), requestClass: 'normal', team: '', isIdempotent: false, mode: 'direct', timeLeftMs: longTimeoutMs,
		},
		notAfter: Number.POSITIVE_INFINITY,
		timeoutMs: longTimeoutMs,
		...overrides,
	});
	const findEnding = () => events.find(event => (event.kind === 'endpoint-answered' || event.kind === 'endpoint-failed') && event.attemptId === attemptId);
	await expect.poll(findEnding, {timeout: 5000}).toBeDefined();
	const ending = findEnding()!;
	return ending.kind === 'endpoint-failed' ? ending.failure : ending.kind;
}

type AttemptCase = {
	readonly name: string;
	readonly behaviour: Behaviour;
	readonly overrides?: Partial<EffectOf<'send-endpoint'>>;
	readonly ending: string;
	readonly arrivals: number;
};

// Guards against reporting a request as not sent although it may have run, or the reverse.
const cases: readonly AttemptCase[] = [
	{
		name: 'a complete answer', behaviour: 'answer', ending: 'endpoint-answered', arrivals: 1,
	},
	{
		name: 'a connection closed after the request was received', behaviour: 'cut', ending: 'connection-lost', arrivals: 1,
	},
	{
		name: 'an answer shorter than its Content-Length', behaviour: 'truncate', ending: 'answer-truncated', arrivals: 1,
	},
	{
		name: 'an answer beyond the size limit', behaviour: 'large', ending: 'answer-truncated', arrivals: 1,
	},
	{
		name: 'no answer in time', behaviour: 'silence', overrides: {timeoutMs: shortTimeoutMs}, ending: 'answer-timeout', arrivals: 1,
	},
	{
		// Guards against an owner whose process was paused between its decision to send and the write.
		name: 'an attempt whose send deadline has passed', behaviour: 'answer', overrides: {notAfter: 0}, ending: 'not-sent', arrivals: 0,
	},
	{
		name: 'a port where nothing listens', behaviour: 'answer', overrides: {address: '127.0.0.1:1'}, ending: 'not-sent', arrivals: 0,
	},
];

describe('attempts', () => {
	it.each(cases)('$name', async ({behaviour: next, overrides, ending, arrivals: expectedArrivals}) => {
		behaviour = next;
		expect(await send('a-1', overrides)).toBe(ending);
		expect(arrivals).toBe(expectedArrivals);
	});

	// Guards against a retry over another idle connection that was opened before the endpoint stopped answering on its existing connections.
	it('use new connections after one that did not answer in time', async () => {
		const oldSockets = new Set<unknown>();
		const recordSocket = (socket: unknown) => {
			oldSockets.add(socket);
		};

		server.on('connection', recordSocket);
		await Promise.all([send('w-1'), send('w-2'), send('w-3')]);
		server.off('connection', recordSocket);
		server.prependListener('request', message => {
			behaviour = oldSockets.has(message.socket) ? 'silence' : 'answer';
		});
		expect(await send('a-1', {timeoutMs: shortTimeoutMs})).toBe('answer-timeout');
		expect(await send('a-2', {timeoutMs: shortTimeoutMs})).toBe('endpoint-answered');
	});
});
