import {type HeaderList, type OutcomeReason, type RequestResult} from '@pistachiogauge/model';

const encoder = new TextEncoder();

/** HTTP status of a request that ended without a complete answer, by reason. */
const statusByReason: Readonly<Record<OutcomeReason, number>> = {
	'malformed-request': 400,
	'unknown-service': 404,
	'body-too-large': 413,
	'deadline-passed': 504,
	overloaded: 503,
	'quota-exceeded': 429,
	'entry-not-ready': 503,
	'pool-unavailable': 503,
	'owner-unreachable': 503,
	'standby-unreachable': 503,
	'key-reused': 422,
	'key-malformed': 400,
	'key-from-the-future': 400,
	'key-not-covered': 409,
	'key-expired': 409,
	'connection-lost': 502,
	'answer-truncated': 502,
	'answer-timeout': 504,
	'refused-by-endpoint': 503,
	'job-keeps-failing': 422,
	cancelled: 499,
	'shutting-down': 503,
	'internal-error': 500,
};

/** Creates the result of a request that provably no endpoint ran. @public */
export function createNotRunResult(reason: OutcomeReason, retryAfterMs?: number): RequestResult {
	return createFailureResult('not-run', reason, retryAfterMs);
}

/** Creates the result of a request that may have run. @public */
export function createUnknownResult(reason: OutcomeReason): RequestResult {
	return createFailureResult('unknown', reason);
}

/** Creates the result of a request whose answer arrived completely. @public */
export function createCompletedResult(status: number, headers: HeaderList, body: Uint8Array): RequestResult {
	return {
		outcome: 'completed', status, headers, body,
	};
}

function createFailureResult(outcome: 'not-run' | 'unknown', reason: OutcomeReason, retryAfterMs?: number): RequestResult {
	return {
		outcome,
		reason,
		status: statusByReason[reason],
		headers: [['content-type', 'application/json']],
		body: encoder.encode(`${JSON.stringify({outcome, reason})}\n`),
		retryAfterMs,
	};
}
