import {type Http2Server} from 'node:http2';
import {PeerListenError} from './peer-errors.js';

/**
Starts listening for links from other entries.

@throws PeerListenError when the address cannot be used.
@internal
*/
export async function listenForPeers(server: Http2Server, address: string): Promise<void> {
	const [host, port] = address.split(':');
	return new Promise((resolve, reject) => {
		server.once('error', (error: NodeJS.ErrnoException) => {
			const cause = error.code === 'EADDRINUSE' ? 'the port is in use' : error.message;
			reject(new PeerListenError(`cannot listen on ${address}: ${cause}`, {cause: error}));
		});
		server.listen({host, port: Number(port)}, resolve);
	});
}
