import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {type LocalProcess} from '../local-cluster.js';
import {type SentRequest} from './request-ledger.js';

/** A request of a test. */
export type RequestPlan = {
	readonly service: string;
	readonly isIdempotent: boolean;
	readonly text?: string;
	readonly key?: string;
	readonly deadlineMs?: number;
};

const outcomes: ReadonlySet<string> = new Set(['completed', 'not-run', 'unknown']);
/** Ends a request whose entry neither answers nor closes, so a fault shows as `no-answer` and not as a test that hangs. */
const answerLimitMs = 20_000;
const agent = new Agent({connections: 64, pipelining: 1});

/** Sends one request and records what its caller sees. */
export async function sendRequest(entry: LocalProcess, plan: RequestPlan): Promise<SentRequest> {
	const text = plan.text ?? `job-${randomUUID()}`;
	const sent = {text, entry: entry.name, isIdempotent: plan.isIdempotent};
	try {
		const answer = await request(`http://${entry.address}/services/${plan.service}/print`, {
			method: plan.isIdempotent ? 'PUT' : 'POST',
			body: text,
			dispatcher: agent,
			signal: AbortSignal.timeout(answerLimitMs),
			headers: {
				...(plan.key !== undefined && {'idempotency-key': plan.key}),
				...(plan.deadlineMs !== undefined && {'pistachiogauge-deadline': String(plan.deadlineMs)}),
			},
		});
		const body = await answer.body.text();
		const outcome = String(answer.headers['pistachiogauge-outcome']);
		return {
			...sent,
			outcome: outcomes.has(outcome) ? outcome as SentRequest['outcome'] : 'no-answer',
			status: answer.statusCode,
			reason: String(answer.headers['pistachiogauge-reason'] ?? ''),
			echo: outcome === 'completed' ? readEcho(body) : '',
		};
	} catch (error) {
		return {
			...sent, outcome: 'no-answer', status: 0, reason: String(error), echo: '',
		};
	}
}

function readEcho(body: string): string {
	try {
		return String((JSON.parse(body) as {echo?: unknown}).echo);
	} catch {
		return `not JSON: ${body}`;
	}
}

export type LoadOptions = {
	/** Entries that get the next request, in turn; read anew for each request. */
	readonly getEntries: () => readonly LocalProcess[];
	readonly services: readonly string[];
	readonly ledger: SentRequest[];
};

const sendIntervalMs = 10;
/** Bounds a load whose test never ends it. */
const requestLimit = 6000;

/** Sends requests, every third an idempotent one, until `during` has ended, and waits for all answers. */
export async function runLoad(options: LoadOptions, during: () => Promise<void>): Promise<SentRequest[]> {
	const answers: Array<Promise<SentRequest>> = [];
	const ending = new AbortController();
	const sending = (async () => {
		for (let index = 0; index < requestLimit && !ending.signal.aborted; index++) {
			const entries = options.getEntries();
			const plan = {service: options.services[index % options.services.length]!, isIdempotent: index % 3 === 0};
			answers.push(sendRequest(entries[index % entries.length]!, plan));
			// eslint-disable-next-line no-await-in-loop
			await delay(sendIntervalMs);
		}
	})();
	try {
		await during();
	} finally {
		ending.abort();
		await sending;
		options.ledger.push(...await Promise.all(answers));
	}

	return Promise.all(answers);
}
