import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import {host, readJson} from './json-server.js';

/** Host header of all queues. */
export const queueHost = 'desk.example';

/** Sends one call on a channel of its own. The status is 0 if there is no answer within the time limit. */
export async function sendCall({port, method, path, body, timeoutMs = 3000}) {
	return new Promise(resolve => {
		const text = body === undefined ? undefined : JSON.stringify(body);
		const message = request({
			host, port, method, path, agent: false,
			headers: {
				host: queueHost,
				'pistachiogauge-deadline-ms': String(timeoutMs),
				...(text !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)}),
			},
		}, async response => {
			try {
				resolve({status: response.statusCode, body: await readJson(response)});
			} catch {
				resolve({status: 0, body: {}});
			}
		});
		const timer = setTimeout(() => {
			message.destroy();
		}, timeoutMs);
		message.on('error', () => {
			resolve({status: 0, body: {}});
		});
		message.on('close', () => {
			clearTimeout(timer);
		});
		message.end(text);
	});
}
