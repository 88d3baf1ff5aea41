import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {Pool} from 'undici';

/**
Baseline for throughput: forwards requests to the endpoints in turn, without any dispatch decisions.

Usage: `node pass-through-main.js <address> <endpoint address>...`. `GET /cpu` returns the process's processor time in microseconds.
*/
const [address = '', ...endpoints] = process.argv.slice(2);
const [host, port] = address.split(':');
/** Uses the same number of connections per endpoint as an entry. */
const connectionPools = endpoints.map(endpoint => new Pool(`http://${endpoint}`, {connections: 16, pipelining: 1}));
let requestCount = 0;

async function forwardRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of message) {
		chunks.push(chunk as Uint8Array);
	}

	requestCount += 1;
	const answer = await connectionPools[requestCount % connectionPools.length]!.request({
		method: (message.method ?? 'GET'),
		path: message.url ?? '/',
		body: chunks.length === 0 ? undefined : Buffer.concat(chunks),
	});
	const body = await answer.body.arrayBuffer();
	response.writeHead(answer.statusCode, {'content-type': answer.headers['content-type']});
	response.end(Buffer.from(body));
}

createServer((message, response) => {
	if (message.url === '/cpu') {
		const {user, system} = process.cpuUsage();
		response.end(String(user + system));
		return;
	}

	forwardRequest(message, response).catch(() => {
		response.destroy();
	});
}).listen({host, port: Number(port)});
