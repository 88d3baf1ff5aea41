import {connect} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {type InputEvent} from '@pistachiogauge/model';
import {
	bodyLimitBytes, completed, exchange, formatRequest, readHead, startTestServer, type TestServer,
} from './test-support/test-server.js';

let started: TestServer;

beforeEach(async () => {
	started = await startTestServer();
});
afterEach(async () => started.server.stop());

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
		name: 'a path without service',
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
		name: 'a deadline that is no number',
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
		// Guards against a refusal that a caller who is still sending never gets to read.
		...refused,
		name: 'a body many times the limit',
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
		name: 'two different lengths',
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

// Guards against callers who cannot tell whether their request ran.
describe('answers to callers', () => {
	it.each(answerCases)('$name', async ({text, status, outcome, reason, events: expectedEvents}) => {
		const answer = readHead(await exchange(started.port, text));
		expect({
			status: answer.status, outcome: answer.headers['pistachiogauge-outcome'], reason: answer.headers['pistachiogauge-reason'], hasId: (answer.headers['pistachiogauge-request-id'] ?? '') !== '',
		}).toEqual({
			status, outcome, reason, hasId: true,
		});
		expect(started.events.map(event => event.kind)).toEqual(expectedEvents);
	});
});

type HangUpCase = {
	readonly name: string;
	readonly text: string;
	readonly events: ReadonlyArray<InputEvent['kind']>;
};

const hangUpCases: readonly HangUpCase[] = [
	// Guards against half a request being forwarded as a whole one.
	{name: 'the body is cut off', text: 'POST /services/badges/print HTTP/1.1\r\nHost: entry\r\nContent-Length: 100\r\n\r\nhalf', events: []},
	{name: 'a chunked body is cut off', text: 'POST /services/badges/print HTTP/1.1\r\nHost: entry\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n', events: []},
	// Guards against a place in the queue that nobody waits for.
	{name: 'the caller leaves before the answer', text: formatRequest('/services/badges/never'), events: ['request-received', 'caller-gone']},
];

describe('callers that hang up', () => {
	it.each(hangUpCases)('$name', async ({text, events: expectedEvents}) => {
		const socket = connect(started.port, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.write(text);
		await expect.poll(() => started.events.length, {timeout: 5000}).toBeGreaterThanOrEqual(Math.min(1, expectedEvents.length));
		socket.destroy();
		await expect.poll(() => started.events.length, {timeout: 5000}).toBe(expectedEvents.length);
		// A later request has been answered, so an event of the first one would have come before.
		await exchange(started.port, formatRequest('/services/badges/print'));
		expect(started.events.map(event => event.kind)).toEqual([...expectedEvents, 'request-received']);
	});
});

type HeaderCase = {
	readonly name: string;
	readonly sent: readonly string[];
	readonly isPassed: (headers: ReadonlyMap<string, string>) => boolean;
};

const headerCases: readonly HeaderCase[] = [
	{name: 'other headers are passed on', sent: ['X-Kiosk: 7'], isPassed: headers => headers.get('x-kiosk') === '7'},
	{name: 'headers named in Connection are dropped', sent: ['Connection: x-hop', 'X-Hop: 1'], isPassed: headers => !headers.has('x-hop') && !headers.has('connection')},
	// Guards against a caller that gives its request the id of another one.
	{name: 'the request id is not taken from the caller', sent: ['Pistachiogauge-Request-Id: other'], isPassed: headers => !headers.has('pistachiogauge-request-id')},
];

describe('headers towards endpoints', () => {
	it.each(headerCases)('$name', async ({sent, isPassed}) => {
		await exchange(started.port, formatRequest('/services/badges/print', sent));
		const received = started.events.find(event => event.kind === 'request-received');
		expect(isPassed(new Map(received?.request.headers))).toBe(true);
	});
});

describe('stopping', () => {
	// Guards against a planned stop that breaks the connection of a caller whose answer is due.
	it('waits for requests in progress', async () => {
		const answer = exchange(started.port, formatRequest('/services/badges/never'));
		await expect.poll(() => started.events.length, {timeout: 5000}).toBe(1);
		const stopped = started.server.stop();
		const [received] = started.events;
		if (received?.kind === 'request-received') {
			started.server.answerCaller(received.request.requestId, completed);
		}

		await stopped;
		const head = readHead(await answer);
		expect({status: head.status, connection: head.headers.connection, reason: head.headers['pistachiogauge-reason']}).toEqual({status: 200, connection: 'close', reason: undefined});
	});
});
