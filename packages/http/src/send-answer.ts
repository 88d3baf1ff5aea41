import {STATUS_CODES, type ServerResponse} from 'node:http';
import {type RequestResult} from '@pistachiogauge/model';

/** Only this system sets headers with this prefix; those of an endpoint are dropped, so that it cannot forge an outcome. */
const reservedHeaderPrefix = 'pistachiogauge-';

/** Statuses whose answers have no body and no length (RFC 9110, section 8.6). */
const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/** Sends the result of a request. The headers are passed as one list, which costs less than setting each of them. @internal */
export function sendResult(response: ServerResponse, requestId: string, result: RequestResult, detail?: string): void {
	const fields: string[] = [];
	for (const [name, value] of result.headers) {
		if (!name.startsWith(reservedHeaderPrefix)) {
			fields.push(name, value);
		}
	}

	for (const [name, value] of listResultHeaders(requestId, result, detail)) {
		fields.push(name, value);
	}

	if (response.req.method !== 'HEAD' && !statusesWithoutBody.has(result.status)) {
		fields.push('content-length', String(result.body.length));
	}

	response.writeHead(result.status, fields);
	response.end(result.body);
}

/** Formats a refusal as a raw HTTP response, for a connection whose request could not be parsed. @internal */
export function formatRawRefusal(requestId: string, result: RequestResult, detail: string): string {
	const headers = [...listResultHeaders(requestId, result, detail), ['connection', 'close'], ['content-length', '0']];
	const lines = headers.map(([name, value]) => `${name}: ${value}`);
	return [`HTTP/1.1 ${result.status} ${STATUS_CODES[result.status] ?? ''}`, ...lines, '', ''].join('\r\n');
}

function listResultHeaders(requestId: string, result: RequestResult, detail?: string): Array<[name: string, value: string]> {
	const headers: Array<[string, string]> = [['pistachiogauge-outcome', result.outcome], ['pistachiogauge-request-id', requestId]];
	if (result.reason !== undefined) {
		headers.push(['pistachiogauge-reason', result.reason], ['pistachiogauge-time', new Date().toISOString()]);
	}

	if (detail !== undefined) {
		headers.push(['pistachiogauge-detail', detail]);
	}

	if (result.retryAfterMs !== undefined) {
		headers.push(['retry-after', String(Math.ceil(result.retryAfterMs / 1000))]);
	}

	return headers;
}

/** @internal */
export function sendText(response: ServerResponse, status: number, text: string): void {
	response.writeHead(status, {'content-type': 'text/plain; charset=utf-8'});
	response.end(text);
}

/** @internal */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(`${JSON.stringify(body)}\n`);
}
