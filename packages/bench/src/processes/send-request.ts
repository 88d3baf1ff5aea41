import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {type LocalProcess} from '../local-cluster.js';
import {type ObservedRequest} from './request-results.js';

export type RequestOptions = {
	readonly service: string;
	readonly isIdempotent: boolean;
	readonly body?: string;
	readonly key?: string;
	readonly deadlineMs?: number;
};

const outcomes: ReadonlySet<string> = new Set(['completed', 'not-run', 'unknown']);
/** Time-out for requests that an entry neither answers nor closes, so that they count as `no-answer` and the test doesn't hang. */
const answerTimeoutMs = 20_000;
const agent = new Agent({connections: 64, pipelining: 1});

/** Sends one request and returns its result as observed by the caller. */
export async function sendRequest(entry: LocalProcess, options: RequestOptions): Promise<ObservedRequest> {
	const body = options.body ?? `job-${randomUUID()}`;
	const requestFields = {body, entry: entry.name, isIdempotent: options.isIdempotent};
	try {
		const answer = await request(`http://${entry.address}/services/${options.service}/print`, {
			method: options.isIdempotent ? 'PUT' : 'POST',
			body,
			dispatcher: agent,
			signal: AbortSignal.timeout(answerTimeoutMs),
			headers: {
				...(options.key !== undefined && {'idempotency-key': options.key}),
				...(options.deadlineMs !== undefined && {'pistachiogauge-deadline': String(options.deadlineMs)}),
			},
		});
		const answerBody = await answer.body.text();
		const outcome = String(answer.headers['pistachiogauge-outcome']);
		return {
			...requestFields,
			outcome: outcomes.has(outcome) ? outcome as ObservedRequest['outcome'] : 'no-answer',
			status: answer.statusCode,
			reason: String(answer.headers['pistachiogauge-reason'] ?? ''),
			echo: outcome === 'completed' ? parseEcho(answerBody) : '',
		};
	} catch (error) {
		return {
			...requestFields, outcome: 'no-answer', status: 0, reason: String(error), echo: '',
		};
	}
}

function parseEcho(body: string): string {
	try {
		return String((JSON.parse(body) as {echo?: unknown}).echo);
	} catch {
		return `not JSON: ${body}`;
	}
}

export type LoadOptions = {
	/** Entries that receive requests in turn; evaluated for each request. */
	readonly getEntries: () => readonly LocalProcess[];
	readonly services: readonly string[];
	readonly results: ObservedRequest[];
};

const sendIntervalMs = 10;
/** Upper bound of a load whose action never ends. */
const maxRequestCount = 6000;

/** Sends requests, every third of them idempotent, while the action runs, then waits for all answers. */
export async function runWithLoad(options: LoadOptions, action: () => Promise<void>): Promise<ObservedRequest[]> {
	const answers: Array<Promise<ObservedRequest>> = [];
	const abortController = new AbortController();
	const sendLoop = (async () => {
		for (let index = 0; index < maxRequestCount && !abortController.signal.aborted; index++) {
			const entries = options.getEntries();
			const requestOptions = {service: options.services[index % options.services.length]!, isIdempotent: index % 3 === 0};
			answers.push(sendRequest(entries[index % entries.length]!, requestOptions));
			// eslint-disable-next-line no-await-in-loop
			await delay(sendIntervalMs);
		}
	})();
	try {
		await action();
	} finally {
		abortController.abort();
		await sendLoop;
		options.results.push(...await Promise.all(answers));
	}

	return Promise.all(answers);
}
