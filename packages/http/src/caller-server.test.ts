import {connect} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {type InputEvent} from '@pistachiogauge/model';
import {
	bodyLimitBytes, completedResult, sendRawRequest, formatRequest, parseResponseHead, startTestServer, type TestServer,
} from './test-support/test-server.js';

let testServer: TestServer;

beforeEach(async () => {
	testServer = await startTestServer();
});
afterEach(async () => testServer.server.stop());

type AnswerCase = {
	readonly name: string;
	readonly text: string;
	readonly status: number;
	readonly outcome: 'completed' | 'not-run';
	readonly reason?: string;
	readonly events: ReadonlyArray<InputEvent['kind']>;
};

const refused = {outcome: 'not-run', events: []} as const;
const answerCases: readonly AnswerCase[] = [
	{
		name: 'a request', text: formatRequest('/services/badges/print'), status: 200, outcome: 'completed', events: ['request-received'],
	},
	{
		...refused,
		name: 'a path that names no service',
		text: formatRequest('/print'),
		status: 404,
		reason: 'unknown-service',
	},
	{
		...refused,
		name: 'an unknown class',
		text: formatRequest('/services/badges/print', ['Pistachiogauge-Class: soon']),
		status: 400,
		reason: 'malformed-request',
	},
	{
		...refused,
		name: 'a deadline that is not a number',
		text: formatRequest('/services/badges/print', ['Pistachiogauge-Deadline: soon']),
		status: 400,
		reason: 'malformed-request',
	},
	{
		...refused,
		name: 'two deadlines',
		text: formatRequest('/services/badges/print', ['Pistachiogauge-Deadline: 5', 'Pistachiogauge-Deadline: 6']),
		status: 400,
		reason: 'malformed-request',
	},
	{
		...refused,
		name: 'an idempotency flag that is neither true nor false',
		text: formatRequest('/services/badges/print', ['Pistachiogauge-Idempotent: maybe']),
		status: 400,
		reason: 'malformed-request',
	},
	{
		...refused,
		name: 'a body larger than the limit',
		text: formatRequest('/services/badges/print', [], 'x'.repeat(bodyLimitBytes + 1)),
		status: 413,
		reason: 'body-too-large',
	},
	{
		...refused,
		name: 'a chunked body larger than the limit',
		text: `POST /services/badges/print HTTP/1.1\r\nHost: entry\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n${'x'.repeat(2048)}\r\n`,
		status: 413,
		reason: 'body-too-large',
	},
	{
		// Guards against closing the connection while the caller is still sending, so that it never reads the refusal.
		...refused,
		name: 'a body twelve times the limit',
		text: formatRequest('/services/badges/print', [], 'x'.repeat(bodyLimitBytes * 12)),
		status: 413,
		reason: 'body-too-large',
	},
	{
		...refused,
		name: 'bytes that are not HTTP',
		text: 'NOT HTTP\r\n\r\n',
		status: 400,
		reason: 'malformed-request',
	},
	{
		...refused,
		name: 'two different Content-Length headers',
		text: 'POST /services/badges/print HTTP/1.1\r\nHost: entry\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ntext!',
		status: 400,
		reason: 'malformed-request',
	},
	{
		...refused,
		name: 'headers larger than the limit',
		text: formatRequest('/services/badges/print', [`X-Large: ${'x'.repeat(20_000)}`]),
		status: 400,
		reason: 'malformed-request',
	},
];

// Guards against answers without an outcome, from which a caller cannot tell whether its request ran.
describe('answers to callers', () => {
	it.each(answerCases)('$name', async ({text, status, outcome, reason, events: expectedEvents}) => {
		const answer = parseResponseHead(await sendRawRequest(testServer.port, text));
		expect({
			status: answer.status,
			outcome: answer.headers['pistachiogauge-outcome'],
			reason: answer.headers['pistachiogauge-reason'],
			hasId: (answer.headers['pistachiogauge-request-id'] ?? '') !== '',
		}).toEqual({
			status, outcome, reason, hasId: true,
		});
		expect(testServer.events.map(event => event.kind)).toEqual(expectedEvents);
	});
});

type DisconnectCase = {
	readonly name: string;
	readonly text: string;
	readonly events: ReadonlyArray<InputEvent['kind']>;
};

const disconnectCases: readonly DisconnectCase[] = [
	// Guards against forwarding an incomplete request body as if it were complete.
	{name: 'the caller disconnects within the body', text: 'POST /services/badges/print HTTP/1.1\r\nHost: entry\r\nContent-Length: 100\r\n\r\nhalf', events: []},
	{name: 'the caller disconnects within a chunked body', text: 'POST /services/badges/print HTTP/1.1\r\nHost: entry\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n', events: []},
	// Guards against a request that stays queued after its caller has disconnected.
	{name: 'the caller disconnects before the answer', text: formatRequest('/services/badges/never'), events: ['request-received', 'caller-gone']},
];

describe('callers that disconnect', () => {
	it.each(disconnectCases)('$name', async ({text, events: expectedEvents}) => {
		const socket = connect(testServer.port, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.write(text);
		await expect.poll(() => testServer.events.length, {timeout: 5000}).toBeGreaterThanOrEqual(Math.min(1, expectedEvents.length));
		socket.destroy();
		await expect.poll(() => testServer.events.length, {timeout: 5000}).toBe(expectedEvents.length);
		// Events arrive in order: once a later request is answered, no event of the first one is outstanding.
		await sendRawRequest(testServer.port, formatRequest('/services/badges/print'));
		expect(testServer.events.map(event => event.kind)).toEqual([...expectedEvents, 'request-received']);
	});
});

type HeaderCase = {
	readonly name: string;
	readonly sent: readonly string[];
	readonly isExpected: (headers: ReadonlyMap<string, string>) => boolean;
};

const headerCases: readonly HeaderCase[] = [
	{name: 'other headers are forwarded', sent: ['X-Kiosk: 7'], isExpected: headers => headers.get('x-kiosk') === '7'},
	{name: 'headers named in Connection are dropped', sent: ['Connection: x-hop', 'X-Hop: 1'], isExpected: headers => !headers.has('x-hop') && !headers.has('connection')},
	// Guards against a caller that assigns its request the id of another request.
	{name: 'the request id is not taken from the caller', sent: ['Pistachiogauge-Request-Id: other'], isExpected: headers => !headers.has('pistachiogauge-request-id')},
];

describe('headers forwarded to endpoints', () => {
	it.each(headerCases)('$name', async ({sent, isExpected}) => {
		await sendRawRequest(testServer.port, formatRequest('/services/badges/print', sent));
		const received = testServer.events.find(event => event.kind === 'request-received');
		expect(isExpected(new Map(received?.request.headers))).toBe(true);
	});
});

describe('shutdown', () => {
	// Guards against a planned shutdown that closes the connection of a caller before its answer is sent.
	it('waits for requests in progress', async () => {
		const answer = sendRawRequest(testServer.port, formatRequest('/services/badges/never'));
		await expect.poll(() => testServer.events.length, {timeout: 5000}).toBe(1);
		const stopped = testServer.server.stop();
		const [received] = testServer.events;
		if (received?.kind === 'request-received') {
			testServer.server.answerCaller(received.request.requestId, completedResult);
		}

		await stopped;
		const head = parseResponseHead(await answer);
		expect({status: head.status, connection: head.headers.connection, reason: head.headers['pistachiogauge-reason']}).toEqual({status: 200, connection: 'close', reason: undefined});
	});
});
