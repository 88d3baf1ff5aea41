import {z} from 'zod';

/**
What is known about the execution of a request.

- `completed`: the endpoint sent a complete response.
- `not-run`: it is certain that no endpoint ran the request.
- `unknown`: the request may have run.

@public
*/
export const outcomeSchema = z.enum(['completed', 'not-run', 'unknown']);
/** @public */
export type Outcome = z.infer<typeof outcomeSchema>;

/** Reason why a request was not completed. Sent to callers in the `Pistachiogauge-Reason` header. @public */
export const outcomeReasonSchema = z.enum([
	'malformed-request',
	'unknown-service',
	'body-too-large',
	'deadline-passed',
	'overloaded',
	'quota-exceeded',
	'entry-not-ready',
	'pool-unavailable',
	'owner-unreachable',
	'standby-unreachable',
	'key-reused',
	'key-malformed',
	'key-from-the-future',
	'key-not-covered',
	'key-expired',
	'connection-lost',
	'answer-truncated',
	'answer-timeout',
	'refused-by-endpoint',
	'job-keeps-failing',
	'cancelled',
	'shutting-down',
	'internal-error',
]);
/** @public */
export type OutcomeReason = z.infer<typeof outcomeReasonSchema>;
