import {generateKeyPairSync} from 'node:crypto';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {type InputEvent, type RequestResult} from '@pistachiogauge/model';
import {createCallerServer, type CallerServer} from '../caller-server.js';

/** Key pair of the operator `ada`. */
export const operatorKeyPair = generateKeyPairSync('ed25519', {
	publicKeyEncoding: {type: 'spki', format: 'pem'}, privateKeyEncoding: {type: 'pkcs8', format: 'pem'},
});
export const bodyLimitBytes = 1000;

const refusalStatuses: Readonly<Record<string, number>> = {
	'malformed-request': 400, 'unknown-service': 404, 'body-too-large': 413, 'internal-error': 500,
};
/** Result of every request; includes a header with a reason, which an endpoint may not set. */
export const completedResult: RequestResult = {
	outcome: 'completed', status: 200, headers: [['x-from', 'endpoint'], ['pistachiogauge-reason', 'forged']], body: Buffer.from('done'),
};

/** A running caller server with the events and counts that it has reported. */
export type TestServer = {
	readonly server: CallerServer;
	readonly port: number;
	readonly events: InputEvent[];
	readonly counts: string[];
};

/** Starts a server that answers every request at once, except those for the path `/never`. */
export async function startTestServer(): Promise<TestServer> {
	const port = await findFreePort();
	const events: InputEvent[] = [];
	const counts: string[] = [];
	const server = createCallerServer({
		address: `127.0.0.1:${port}`,
		bodyLimitBytes,
		operatorKeys: {ada: operatorKeyPair.publicKey},
		getServiceDefaults: () => ({requestClass: 'normal', deadlineMs: 1000}),
		createIdempotencyKey: () => 'made-key',
		createRefusal: reason => ({
			outcome: 'not-run', reason, status: refusalStatuses[reason] ?? 503, headers: [], body: new Uint8Array(0),
		}),
		getMetrics: () => 'metric 1\n',
		pushEvent(event) {
			events.push(event);
			if (event.kind === 'request-received' && event.request.path !== '/never') {
				server.answerCaller(event.request.requestId, completedResult);
			}

			if (event.kind === 'operator-called') {
				server.answerOperator(event.callId, 200, {});
			}
		},
		log: () => undefined,
		count(metric) {
			counts.push(metric);
		},
	});
	await server.start();
	server.setReadiness(true);
	return {
		server, port, events, counts,
	};
}

async function findFreePort(): Promise<number> {
	const probe = createServer().listen(0, '127.0.0.1');
	await once(probe, 'listening');
	const found = (probe.address() as AddressInfo).port;
	probe.close();
	await once(probe, 'close');
	return found;
}

/** Sends a text unchanged and reads until the end of the response headers. */
export async function sendRawRequest(port: number, text: string): Promise<string> {
	const socket = connect(port, '127.0.0.1');
	let received = '';
	socket.on('data', chunk => {
		received += String(chunk);
		if (received.includes('\r\n\r\n')) {
			socket.end();
		}
	});
	socket.on('error', () => undefined);
	socket.write(text);
	await once(socket, 'close');
	return received;
}

export function parseResponseHead(answer: string): {status: number; headers: Record<string, string>} {
	const [first = '', ...lines] = answer.split('\r\n\r\n', 1)[0]!.split('\r\n');
	const headers = Object.fromEntries(lines.map(line => {
		const [name = '', ...value] = line.split(':');
		return [name.toLowerCase(), value.join(':').trim()];
	}));
	return {status: Number(first.split(' ')[1]), headers};
}

export function formatRequest(path: string, headers: readonly string[] = [], body = 'text', method = 'POST'): string {
	return [`${method} ${path} HTTP/1.1`, 'Host: entry', `Content-Length: ${body.length}`, ...headers, '', body].join('\r\n');
}
