import {z} from 'zod';
import {outcomeSchema} from './outcome.js';
import {headerListSchema} from './request.js';

/**
Stage of a deferrable task.

- `accepted`: recorded, not started.
- `started`: it may have been sent to an endpoint.
- `ended`: its outcome is known.

@public
*/
export const taskStageSchema = z.enum(['accepted', 'started', 'ended']);
/** @public */
export type TaskStage = z.infer<typeof taskStageSchema>;

/** A deferrable task as it stands in the store. @public */
export const taskRecordSchema = z.object({
	/** The caller's idempotency key. */
	id: z.string(),
	service: z.string(),
	method: z.string(),
	path: z.string(),
	headers: headerListSchema,
	/** Request body, base64. */
	body: z.string(),
	team: z.string(),
	isIdempotent: z.boolean(),
	/** Unix time in milliseconds. */
	acceptedAt: z.number(),
	/** Unix time in milliseconds by which the task should have ended. */
	deadlineAt: z.number(),
	stage: taskStageSchema,
	/** Attempts that have failed or may have failed. */
	failedAttempts: z.number().int().nonnegative(),
	/** Present when the task has ended. */
	outcome: outcomeSchema.optional(),
	/** HTTP status of the endpoint's answer, when there is one. */
	status: z.number().int().optional(),
	/** Unix time in milliseconds. */
	endedAt: z.number().optional(),
});
/** @public */
export type TaskRecord = z.infer<typeof taskRecordSchema>;

/** Record in the store that holds several tasks of one pool, so that many are written at once. @public */
export const taskPageSchema = z.object({
	/** Entry that wrote the page last. */
	writer: z.string(),
	/** Counts the writer's changes; tells whether a write with a lost answer took effect. */
	version: z.number().int().nonnegative(),
	tasks: z.array(taskRecordSchema),
});
/** @public */
export type TaskPage = z.infer<typeof taskPageSchema>;
