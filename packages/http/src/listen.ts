import {type Server} from 'node:net';
import {ListenError} from './http-errors.js';

/**
Starts listening on an IP address and port.

@throws ListenError when the address cannot be used.
@public
*/
export async function listen(server: Server, address: string): Promise<void> {
	const [host, port] = address.split(':');
	return new Promise((resolve, reject) => {
		server.once('error', (error: NodeJS.ErrnoException) => {
			const cause = error.code === 'EADDRINUSE' ? 'the port is in use' : error.message;
			reject(new ListenError(`cannot listen on ${address}: ${cause}`, {cause: error}));
		});
		server.listen({host, port: Number(port)}, resolve);
	});
}
