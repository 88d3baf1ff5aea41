import {type IncomingMessage} from 'node:http';
import {
	requestClassSchema, type HeaderList, type RequestClass, type RequestMode, type ServiceRequest,
} from '@pistachiogauge/model';
import {HttpRequestError} from './http-errors.js';

const taskPathPattern = /^\/tasks\/(?<service>[\w-]+)\/(?<id>[\w-]+)$/u;
const respondAsyncPattern = /(?:^|,)\s*respond-async\s*(?:,|;|$)/u;
const servicePathPattern = /^\/services\/(?<service>[\w-]+)(?<path>\/.*)?$/u;
const idempotentMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);
const maxDeadlineMs = 86_400_000;

/** Headers that apply to one connection only (RFC 9110, section 7.6.1) or that the entry sets itself. */
const droppedHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'host', 'content-length', 'expect', 'pistachiogauge-request-id',
]);

/** Values for a request that does not name its class or deadline. */
export type ServiceDefaults = {
	readonly requestClass: RequestClass;
	readonly deadlineMs: number;
};

/**
Parses a caller's request for a service or for the status of a task.

@throws HttpRequestError when a header is malformed or the path names no service.
@public
*/
export function parseServiceRequest(
	message: IncomingMessage,
	body: Uint8Array,
	requestId: string,
	getServiceDefaults: (service: string) => ServiceDefaults,
	createIdempotencyKey: () => string,
): ServiceRequest {
	const {service, path, isStatus} = readPath(message);
	const method = message.method ?? 'GET';
	const defaults = getServiceDefaults(service);
	const mode = readMode(message, isStatus);
	const isIdempotent = idempotentMethods.has(method) || (readFlag(message, 'pistachiogauge-idempotent') ?? false);
	return {
		requestId,
		service,
		method,
		path,
		headers: listForwardedHeaders(message),
		body,
		requestClass: readClass(message) ?? defaults.requestClass,
		team: readHeader(message, 'pistachiogauge-team') ?? '',
		isIdempotent,
		mode,
		key: isIdempotent && mode !== 'task' ? undefined : readHeader(message, 'idempotency-key') ?? createIdempotencyKey(),
		timeLeftMs: readDuration(message, 'pistachiogauge-deadline') ?? defaults.deadlineMs,
		finishWithinMs: readDuration(message, 'pistachiogauge-finish-within'),
	};
}

function readPath(message: IncomingMessage): {service: string; path: string; isStatus: boolean} {
	const status = taskPathPattern.exec(message.url ?? '')?.groups;
	const direct = servicePathPattern.exec(message.url ?? '')?.groups;
	const service = status?.service ?? direct?.service;
	if (service === undefined) {
		throw new HttpRequestError('unknown-service', 'paths have the form /services/<service>/<path>');
	}

	return {service, path: status?.id ?? direct?.path ?? '/', isStatus: status !== undefined};
}

function readHeader(message: IncomingMessage, name: string): string | undefined {
	const value = message.headers[name];
	return typeof value === 'string' ? value.replace(/^"(?<text>.*)"$/u, '$<text>') : undefined;
}

function readClass(message: IncomingMessage): RequestClass | undefined {
	const value = readHeader(message, 'pistachiogauge-class');
	if (value === undefined) {
		return undefined;
	}

	const parsed = requestClassSchema.safeParse(value);
	if (!parsed.success) {
		throw new HttpRequestError('malformed-request', `Pistachiogauge-Class is one of ${requestClassSchema.options.join(', ')}`);
	}

	return parsed.data;
}

function readFlag(message: IncomingMessage, name: string): boolean | undefined {
	const value = readHeader(message, name);
	if (value !== undefined && value !== 'true' && value !== 'false') {
		throw new HttpRequestError('malformed-request', `${name} is true or false`);
	}

	return value === undefined ? undefined : value === 'true';
}

function readMode(message: IncomingMessage, isStatus: boolean): RequestMode {
	if (isStatus) {
		return 'task-status';
	}

	return respondAsyncPattern.test(readHeader(message, 'prefer') ?? '') ? 'task' : 'direct';
}

function readDuration(message: IncomingMessage, name: string): number | undefined {
	const value = readHeader(message, name);
	if (value === undefined) {
		return undefined;
	}

	const durationMs = Number(value);
	if (value.trim() === '' || !Number.isFinite(durationMs) || durationMs > maxDeadlineMs) {
		throw new HttpRequestError('malformed-request', `${name} is a number of milliseconds up to ${maxDeadlineMs}`);
	}

	return durationMs;
}

function listForwardedHeaders(message: IncomingMessage): HeaderList {
	const headers: HeaderList = [];
	const connectionOptions = new Set((message.headers.connection ?? '').toLowerCase().split(',').map(name => name.trim()));
	for (let index = 0; index + 1 < message.rawHeaders.length; index += 2) {
		const name = message.rawHeaders[index]!.toLowerCase();
		if (!droppedHeaders.has(name) && !connectionOptions.has(name)) {
			headers.push([name, message.rawHeaders[index + 1]!]);
		}
	}

	return headers;
}
