import {Buffer} from 'node:buffer';
import {createServer} from 'node:net';

/** Reads the JSON body of a request. */
export async function readJson(message) {
	const chunks = [];
	for await (const chunk of message) {
		chunks.push(chunk);
	}

	return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

/** Sends a JSON response, unless the connection is gone. */
export function sendJson(response, status, body) {
	if (!response.headersSent && !response.destroyed) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body));
	}
}

/** Ports below those that the system gives to outgoing connections, so that none of these takes one before its process has started. */
const firstPort = 20_000;
const portCount = 12_000;
const usedPorts = new Set();

async function isFree(port) {
	const server = createServer();
	return new Promise(resolve => {
		server.on('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Finds free ports on the loopback address. */
export async function findFreePorts(count) {
	const ports = [];
	while (ports.length < count) {
		const port = firstPort + Math.floor(Math.random() * portCount);
		// eslint-disable-next-line no-await-in-loop
		if (!usedPorts.has(port) && await isFree(port)) {
			usedPorts.add(port);
			ports.push(port);
		}
	}

	return ports;
}
