import {z} from 'zod';
import {type RequestId, type ServiceName} from './identifiers.js';
import {outcomeReasonSchema, outcomeSchema} from './outcome.js';

/** Urgency class of a request. @public */
export const requestClassSchema = z.enum(['urgent', 'normal', 'deferrable']);
/** @public */
export type RequestClass = z.infer<typeof requestClassSchema>;

/** HTTP header fields as pairs of lower-case name and value. @public */
export const headerListSchema = z.array(z.tuple([z.string(), z.string()]));
/** @public */
export type HeaderList = z.infer<typeof headerListSchema>;

/**
When and with what a request is answered.

- `direct`: with its result, after it has run.
- `task`: with a confirmation, once it has been recorded; it runs later.
- `task-status`: with the status of the task whose ID is given as the path.

@public
*/
export const requestModeSchema = z.enum(['direct', 'task', 'task-status']);
/** @public */
export type RequestMode = z.infer<typeof requestModeSchema>;

/** A caller's request, independent of its encoding. @public */
export type ServiceRequest = {
	readonly requestId: RequestId;
	readonly service: ServiceName;
	readonly method: string;
	/** Path at the endpoint, including the query string. */
	readonly path: string;
	readonly headers: HeaderList;
	readonly body: Uint8Array;
	readonly mode: RequestMode;
	readonly requestClass: RequestClass;
	readonly team: string;
	/** Whether running the request twice has the same effect as running it once. */
	readonly isIdempotent: boolean;
	/** Idempotency key of a non-idempotent request; the receiver creates one if the caller sends none. */
	readonly key?: string;
	/** Time within which a task should be finished, in milliseconds. */
	readonly finishWithinMs?: number;
	/** Time until the caller's deadline, in milliseconds, measured when this process received the request. */
	readonly timeLeftMs: number;
};

/** Result of a request, as returned to the caller. @public */
export const requestResultSchema = z.object({
	outcome: outcomeSchema,
	reason: outcomeReasonSchema.optional(),
	/** HTTP status for the caller. */
	status: z.number().int().min(100).max(599),
	headers: headerListSchema,
	body: z.custom<Uint8Array>(value => value instanceof Uint8Array),
	/** Suggested delay before the caller retries, in milliseconds. */
	retryAfterMs: z.number().nonnegative().optional(),
});
/** @public */
export type RequestResult = z.infer<typeof requestResultSchema>;
