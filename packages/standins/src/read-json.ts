import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';

/** Reads a request body as JSON; undefined when there is none. @internal */
export async function readJson(message: IncomingMessage): Promise<unknown> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of message) {
		chunks.push(chunk as Uint8Array);
	}

	return chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString()) as unknown;
}

/** Answers with JSON. @internal */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(`${JSON.stringify(body)}\n`);
}

/** Opens a listener on an IP number and port. @internal */
export async function listenOn(server: Server, address: string): Promise<void> {
	const [host, port] = address.split(':');
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen({host, port: Number(port)}, resolve);
	});
}
