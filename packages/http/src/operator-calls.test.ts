import {createPrivateKey} from 'node:crypto';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {operatorHeaders, signOperatorCall} from './operator-signature.js';
import {
	sendRawRequest, formatRequest, operatorKeyPair, parseResponseHead, startTestServer, type TestServer,
} from './test-support/test-server.js';

let testServer: TestServer;

beforeEach(async () => {
	testServer = await startTestServer();
});
afterEach(async () => testServer.server.stop());

const command = JSON.stringify({command: 'status'});

function formatCall(overrides: {issuedAt?: number; operator?: string; nonce?: string; signedBody?: string; body?: string}): string {
	const {issuedAt = Date.now(), operator = 'ada', nonce = 'n-1', body = command, signedBody = body} = overrides;
	const signature = signOperatorCall({
		operator, issuedAt, nonce, body: signedBody,
	}, createPrivateKey(operatorKeyPair.privateKey));
	return formatRequest('/operator/call', [
		`${operatorHeaders.operator}: ${operator}`, `${operatorHeaders.issuedAt}: ${issuedAt}`, `${operatorHeaders.nonce}: ${nonce}`, `${operatorHeaders.signature}: ${signature}`,
	], body);
}

type CallCase = {
	readonly name: string;
	readonly texts: () => readonly string[];
	readonly statuses: readonly number[];
	readonly refusedCount: number;
};

const callCases: readonly CallCase[] = [
	{
		name: 'a signed call', texts: () => [formatCall({})], statuses: [200], refusedCount: 0,
	},
	{
		name: 'a replayed call', texts: () => Array.from({length: 2}).fill(formatCall({})) as string[], statuses: [200, 401], refusedCount: 1,
	},
	{
		name: 'a body that differs from the signed one', texts: () => [formatCall({signedBody: '{}'})], statuses: [401], refusedCount: 1,
	},
	{
		name: 'an unknown operator', texts: () => [formatCall({operator: 'eve'})], statuses: [401], refusedCount: 1,
	},
	{
		name: 'an operator named like a property of Object.prototype', texts: () => [formatCall({operator: 'constructor'})], statuses: [401], refusedCount: 1,
	},
	{
		name: 'a call from an hour ago', texts: () => [formatCall({issuedAt: Date.now() - 3_600_000})], statuses: [401], refusedCount: 1,
	},
	{
		name: 'an unsigned call', texts: () => [formatRequest('/operator/call', [], command)], statuses: [401], refusedCount: 1,
	},
	{
		name: 'a signed call that is not JSON', texts: () => [formatCall({body: '{'})], statuses: [400], refusedCount: 0,
	},
	{
		name: 'a signed call with an unknown command', texts: () => [formatCall({body: '{"command":"reboot-all"}'})], statuses: [400], refusedCount: 0,
	},
];

// Guards against executing calls that are forged, altered or replayed.
describe('operator calls', () => {
	it.each(callCases)('$name', async ({texts, statuses, refusedCount}) => {
		const seen: number[] = [];
		for (const text of texts()) {
			// eslint-disable-next-line no-await-in-loop
			seen.push(parseResponseHead(await sendRawRequest(testServer.port, text)).status);
		}

		expect(seen).toEqual(statuses);
		expect(testServer.counts.filter(metric => metric === 'operator_calls_refused_total')).toHaveLength(refusedCount);
	});
});
