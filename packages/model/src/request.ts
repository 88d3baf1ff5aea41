import {z} from 'zod';
import {type RequestId, type ServiceName} from './identifiers.js';
import {outcomeReasonSchema, outcomeSchema} from './outcome.js';

/** Urgency class of a request. @public */
export const requestClassSchema = z.enum(['urgent', 'normal', 'deferrable']);
/** @public */
export type RequestClass = z.infer<typeof requestClassSchema>;

/** Header fields as name and value pairs, names in lower case. @public */
export const headerListSchema = z.array(z.tuple([z.string(), z.string()]));
/** @public */
export type HeaderList = z.infer<typeof headerListSchema>;

/**
How a request is answered.

- `direct`: when it has run.
- `task`: when it is recorded; it runs later.
- `task-status`: with what is known of a task, whose id is the path.

@public
*/
export const requestModeSchema = z.enum(['direct', 'task', 'task-status']);
/** @public */
export type RequestMode = z.infer<typeof requestModeSchema>;

/** A caller's request as the decisions see it. @public */
export type ServiceRequest = {
	readonly requestId: RequestId;
	readonly service: ServiceName;
	readonly method: string;
	/** Path at the endpoint, with the query string. */
	readonly path: string;
	readonly headers: HeaderList;
	readonly body: Uint8Array;
	readonly mode: RequestMode;
	readonly requestClass: RequestClass;
	readonly team: string;
	/** Whether running the request twice has the same effect as running it once. */
	readonly isIdempotent: boolean;
	/** Idempotency key of a non-idempotent request; the receiver makes one when the caller sends none. */
	readonly key?: string;
	/** Time within which a task should have ended, in milliseconds. */
	readonly finishWithinMs?: number;
	/** Time left until the caller's deadline when the request was handed to this process, in milliseconds. */
	readonly timeLeftMs: number;
};

/** Result of a request, as it goes back to the caller. @public */
export const requestResultSchema = z.object({
	outcome: outcomeSchema,
	reason: outcomeReasonSchema.optional(),
	/** HTTP status for the caller. */
	status: z.number().int().min(100).max(599),
	headers: headerListSchema,
	body: z.custom<Uint8Array>(value => value instanceof Uint8Array),
	/** Suggested delay before the caller tries again, in milliseconds. */
	retryAfterMs: z.number().nonnegative().optional(),
});
/** @public */
export type RequestResult = z.infer<typeof requestResultSchema>;
