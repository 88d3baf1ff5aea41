import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {type JobEffectOf, type Member, type RelayResult} from '@pistachiogauge/jobs';
import {
	CallNotSentError, CallUnansweredError, createHttpClient, type HttpClient,
} from '@pistachiogauge/platform';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {createPeerServer, type PeerServer} from './peer-server.js';
import {maxRelayBytes, type RelayMessage} from './relay-messages.js';
import {sendRelay} from './send-relay.js';

const secret = 'secret-of-this-process';
const requestId = '7b0c1bd8-62c4-4b59-9a3b-3f6d1c1f2a10';
const message: RelayMessage = {
	requestId, node: 'entry-2', request: {
		action: 'get', host: 'a', path: '/prints/1', spec: undefined, keyHash: undefined,
	},
};
const openRequestLimit = 64;
let server: PeerServer;
let http: HttpClient;
let address: string;
let isReady: boolean;
let received: RelayMessage[];
let output: string[];

beforeEach(async () => {
	const probe = createServer().listen(0, '127.0.0.1');
	await once(probe, 'listening');
	address = `127.0.0.1:${(probe.address() as AddressInfo).port}`;
	probe.close();
	await once(probe, 'close');
	isReady = true;
	received = [];
	output = [];
	http = createHttpClient({connectionLimit: openRequestLimit + 1});
	server = createPeerServer({
		address,
		secret,
		formatMetrics: () => 'metrics',
		isReady: () => isReady,
		receiveRequest(relayed) {
			received.push(relayed);
			if (relayed.request.path !== '/prints/unanswered') {
				server.answerRequest(relayed.requestId, {kind: 'status', status: 'done'});
			}
		},
		log(...line) {
			output.push(JSON.stringify(line));
		},
		count(metric) {
			output.push(metric);
		},
	});
	await server.start();
});
afterEach(async () => {
	server.stop();
	await http.close();
});

async function send(body: unknown, headers: Readonly<Record<string, string>>): Promise<number> {
	const {status} = await http.sendRequest({
		address, method: 'POST', path: '/relay', headers, body, timeoutMs: 2000,
	});
	return status;
}

const valid = {'pistachiogauge-relay-secret': secret};
const withRequest = (fields: Record<string, unknown>) => ({...message, request: {...message.request, ...fields}});
const cases: ReadonlyArray<{readonly name: string; readonly body?: unknown; readonly headers?: Readonly<Record<string, string>>; readonly isUnready?: boolean; readonly status: number; readonly result: string}> = [
	{name: 'a valid request', status: 200, result: 'taken'},
	{
		name: 'a request of a later version with more fields', body: {...withRequest({priority: 1}), traceId: 'x'}, status: 200, result: 'taken',
	},
	{
		name: 'another secret', headers: {'pistachiogauge-relay-secret': `${secret}x`}, status: 403, result: 'forbidden',
	},
	{
		name: 'no secret', headers: {}, status: 403, result: 'forbidden',
	},
	{
		name: 'another secret at an entry without store', headers: {}, isUnready: true, status: 403, result: 'forbidden',
	},
	{
		name: 'an entry without store, without configuration or in shutdown', isUnready: true, status: 503, result: 'not-ready',
	},
	{
		name: 'an action that this version does not know', body: withRequest({action: 'suspend'}), status: 400, result: 'malformed',
	},
	{
		name: 'a job without steps', body: withRequest({action: 'submit', spec: {payload: '', steps: []}}), status: 400, result: 'malformed',
	},
	{
		name: 'a key hash that is none', body: withRequest({keyHash: 'x'}), status: 400, result: 'malformed',
	},
	{
		name: 'a body that is no object', body: 'text', status: 400, result: 'malformed',
	},
	{
		name: 'a body that is too large', body: 'x'.repeat(maxRelayBytes), status: 413, result: 'too-large',
	},
];

// Guards against requests of anybody who reaches the port, and against a body that takes the process down.
describe('the peer server', () => {
	it.each(cases)('answers $status to $name', async ({
		body = message, headers = valid, isUnready = false, status, result,
	}) => {
		isReady = !isUnready;
		expect(await send(body, headers)).toBe(status);
		expect(received).toHaveLength(status === 200 ? 1 : 0);
		expect(output).toContain(`relays_received_total{result="${result}"}`);
		expect(output.join('\n')).not.toContain(secret);
	});

	// Guards against relayed requests that pile up while the store is slow.
	it('bounds the number of requests that wait for an answer', async () => {
		const open = Array.from({length: openRequestLimit}, async (_unused, index) => send({...withRequest({path: '/prints/unanswered'}), requestId: requestId.replace(/..$/u, String(index + 10))}, valid));
		await expect.poll(() => received.length).toBe(openRequestLimit);
		expect(await send(message, valid)).toBe(503);
		for (const each of received) {
			server.answerRequest(each.requestId, {kind: 'unknown-job'});
		}

		expect(new Set(await Promise.all(open))).toEqual(new Set([200]));
		expect(await send(message, valid)).toBe(200);
	});

	it('serves the metrics as before', async () => {
		const {status} = await http.sendRequest({
			address, method: 'GET', path: '/metrics', timeoutMs: 2000,
		});
		expect(status).toBe(200);
	});
});

const member: Member = {
	node: 'entry-1', incarnation: 'first', weight: 1, peerServer: {address: '127.0.0.1:9', secret},
};
const relay: JobEffectOf<'relay-request'> = {
	kind: 'relay-request', requestId, node: 'entry-1', request: message.request, timeoutMs: 500,
};
const sendCases: ReadonlyArray<{readonly name: string; readonly outcome: Error | {readonly status: number; readonly body: unknown}; readonly peer?: Member | undefined; readonly expected: RelayResult}> = [
	{name: 'an answer', outcome: {status: 200, body: {answer: {kind: 'accepted'}}}, expected: {kind: 'answered', answer: {kind: 'accepted'}}},
	{name: 'an answer of a later version', outcome: {status: 200, body: {answer: {kind: 'deferred'}}}, expected: {kind: 'silent'}},
	{name: 'no body', outcome: {status: 200, body: undefined}, expected: {kind: 'silent'}},
	{name: 'an internal error', outcome: {status: 500, body: {}}, expected: {kind: 'silent'}},
	{name: 'a peer that is not ready', outcome: {status: 503, body: {}}, expected: {kind: 'unavailable'}},
	{name: 'a process that has started since', outcome: {status: 403, body: {}}, expected: {kind: 'unavailable'}},
	{name: 'a peer of an earlier version', outcome: {status: 404, body: undefined}, expected: {kind: 'unavailable'}},
	{name: 'no connection', outcome: new CallNotSentError('refused'), expected: {kind: 'unavailable'}},
	{name: 'no answer', outcome: new CallUnansweredError('timed out'), expected: {kind: 'silent'}},
	{
		name: 'a peer that has left', outcome: {status: 200, body: {answer: {kind: 'accepted'}}}, peer: undefined, expected: {kind: 'unavailable'},
	},
];

// Guards against taking a request as not carried out that a peer may have carried out.
describe('the result of a relay', () => {
	it.each(sendCases)('is $expected for $name', async input => {
		const client: HttpClient = {
			...http,
			async sendRequest() {
				if (input.outcome instanceof Error) {
					throw input.outcome;
				}

				return input.outcome;
			},
		};
		expect(await sendRelay({http: client, node: 'entry-2', findMember: () => 'peer' in input ? input.peer : member}, relay)).toEqual(input.expected);
	});
});
