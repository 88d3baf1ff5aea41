/** Small HTTP helpers of the stand-ins. */
import {Buffer} from 'node:buffer';
import {createServer, request as httpRequest, Agent} from 'node:http';

const lowestPort = 12_000;
const portCount = 18_000;

export async function readJson(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}');
}

export function sendJson(response, status, body) {
	const text = JSON.stringify(body ?? {});
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
}

/** Starts a server on a free loopback port. */
export async function startServer(handle, port = 0) {
	const server = createServer({keepAliveTimeout: 60_000}, async (request, response) => {
		try {
			await handle(request, response);
		} catch {
			response.destroy();
		}
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
	return {
		port: server.address().port,
		address: `127.0.0.1:${server.address().port}`,
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}

/** Finds free loopback ports, below those that the system gives to outgoing connections. */
export async function findPorts(count) {
	const ports = new Set();
	while (ports.size < count) {
		const port = lowestPort + Math.floor(Math.random() * portCount);
		// eslint-disable-next-line no-await-in-loop
		if (await isFree(port)) {
			ports.add(port);
		}
	}

	return [...ports];
}

async function isFree(port) {
	try {
		const server = await startServer(async () => {}, port);
		server.stop();
		return true;
	} catch {
		return false;
	}
}

/** Sends a client's request. Resolves with `status` undefined if no answer came in time. */
export async function sendRequest({address, method, path, host, body, apiKey, timeoutMs = 3000, agent}) {
	return new Promise(resolve => {
		const text = body === undefined ? undefined : JSON.stringify(body);
		const request = httpRequest({
			host: address.split(':')[0],
			port: Number(address.split(':')[1]),
			method,
			path,
			agent: agent ?? new Agent({keepAlive: false}),
			headers: {
				host,
				...(apiKey !== undefined && {authorization: `Token ${apiKey}`}),
				'pistachiogauge-deadline-ms': String(timeoutMs),
				...(text !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)}),
			},
		}, response => {
			const chunks = [];
			response.on('data', chunk => chunks.push(chunk));
			response.on('end', () => {
				clearTimeout(timer);
				let parsed;
				try {
					parsed = JSON.parse(Buffer.concat(chunks).toString('utf8'));
				} catch {}

				resolve({status: response.statusCode, body: parsed});
			});
			response.on('error', () => {
				clearTimeout(timer);
				resolve({status: undefined});
			});
		});
		const timer = setTimeout(() => {
			request.destroy();
			resolve({status: undefined});
		}, timeoutMs);
		request.on('error', () => {
			clearTimeout(timer);
			resolve({status: undefined});
		});
		request.end(text);
	});
}
