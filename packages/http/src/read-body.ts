import {type IncomingMessage} from 'node:http';
import {HttpRequestError} from './http-errors.js';

/** A body that is refused is still read, and discarded, up to this multiple of the limit, so that a caller that is still sending can read the refusal. */
const drainFactor = 16;

/**
Discards a request body, so that the connection can be used for the next request. A body that is far beyond the limit, or does not end within the time-out, closes the connection.

@public
*/
export function discardBody(message: IncomingMessage, limitBytes: number, timeoutMs: number): void {
	let size = 0;
	const timer = setTimeout(() => {
		message.destroy();
	}, timeoutMs);
	const clearTimer = () => {
		clearTimeout(timer);
	};

	message.on('data', (chunk: Uint8Array) => {
		size += chunk.length;
		if (size > limitBytes * drainFactor) {
			message.destroy();
		}
	});
	message.on('end', clearTimer);
	message.on('close', clearTimer);
	message.on('error', clearTimer);
}

/**
Reads a complete request body.

@throws HttpRequestError when the body is larger than the limit or incomplete.
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
		const rejectIncomplete = () => {
			// The message also closes after a complete body; without this check every request would create an unused error with a stack trace.
			if (message.complete) {
				return;
			}

			reject(new HttpRequestError('malformed-request', 'the request body did not arrive whole'));
		};

		message.on('error', rejectIncomplete);
		message.on('close', rejectIncomplete);
	});
}
