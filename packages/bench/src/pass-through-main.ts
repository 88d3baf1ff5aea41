import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {Pool} from 'undici';

/**
Baseline for throughput: passes requests on to endpoints in turn and decides nothing.

Usage: `node pass-through-main.js <address> <endpoint address>...`. `GET /cpu` gives its processor time in microseconds.
*/
const [address = '', ...endpoints] = process.argv.slice(2);
const [host, port] = address.split(':');
/** As many connections to a worker as an entry opens. */
const pools = endpoints.map(endpoint => new Pool(`http://${endpoint}`, {connections: 16, pipelining: 1}));
let passedCount = 0;

async function passRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of message) {
		chunks.push(chunk as Uint8Array);
	}

	passedCount += 1;
	const answer = await pools[passedCount % pools.length]!.request({
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

	passRequest(message, response).catch(() => {
		response.destroy();
	});
}).listen({host, port: Number(port)});
