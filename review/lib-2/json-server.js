import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

/** Host of all stand-ins and entries. */
export const host = '127.0.0.1';

export async function readJson(message) {
	const chunks = [];
	for await (const chunk of message) {
		chunks.push(chunk);
	}

	return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

/** Starts an HTTP server on a free loopback port that hands each call to `handleCall`; a call that is not answered stays open. */
export async function startJsonServer(handleCall) {
	const server = createServer(async (message, response) => {
		try {
			const url = new URL(message.url, 'http://stand-in');
			const body = await readJson(message);
			handleCall({
				method: message.method,
				path: url.pathname.split('/').slice(2),
				query: url.searchParams,
				headers: message.headers,
				body,
				response,
				answer(status, fields = {}) {
					if (!response.headersSent && !response.destroyed) {
						response.writeHead(status, {'content-type': 'application/json'});
						response.end(JSON.stringify(fields));
					}
				},
			});
		} catch {
			response.destroy();
		}
	});
	server.keepAliveTimeout = 0;
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	return {
		address: `${host}:${server.address().port}`,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}
