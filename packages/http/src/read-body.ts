import {type IncomingMessage} from 'node:http';
import {HttpRequestError} from './http-errors.js';

/** A body beyond the limit is read on and thrown away up to this many limits, so that a caller that is still sending gets to read the refusal. */
const drainFactor = 16;

/**
Reads a whole request body.

@throws HttpRequestError when it is larger than the limit or does not arrive whole.
@public
*/
export async function readBody(message: IncomingMessage, limitBytes: number): Promise<Uint8Array> {
	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		let size = 0;
		message.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size <= limitBytes) {
				chunks.push(chunk);
				return;
			}

			chunks.length = 0;
			reject(new HttpRequestError('body-too-large', `request bodies are at most ${limitBytes} bytes`));
			if (size > limitBytes * drainFactor) {
				message.destroy();
			}
		});
		message.on('end', () => {
			resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
		});
		const refuse = () => {
			// The message closes after a whole body as well; an error with its stack would then be made for every request.
			if (message.complete) {
				return;
			}

			reject(new HttpRequestError('malformed-request', 'the request body did not arrive whole'));
		};

		message.on('error', refuse);
		message.on('close', refuse);
	});
}
