import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';

/** Reads a request body as JSON; returns undefined when it is empty. @internal */
export async function readJson(message: IncomingMessage): Promise<unknown> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of message) {
		chunks.push(chunk as Uint8Array);
	}

	return chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString()) as unknown;
}

/** Sends a JSON response. @internal */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(`${JSON.stringify(body)}\n`);
}

/** Starts listening on an IP address and port. @internal */
export async function listen(server: Server, address: string): Promise<void> {
	const [host, port] = address.split(':');
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen({host, port: Number(port)}, resolve);
	});
}
