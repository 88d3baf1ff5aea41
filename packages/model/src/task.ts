import {z} from 'zod';
import {outcomeSchema} from './outcome.js';
import {headerListSchema} from './request.js';

/**
Stage of a deferrable task.

- `accepted`: it has been recorded but not started.
- `started`: it may have been sent to an endpoint.
- `ended`: its outcome is known.

@public
*/
export const taskStageSchema = z.enum(['accepted', 'started', 'ended']);
/** @public */
export type TaskStage = z.infer<typeof taskStageSchema>;

/** Stored record of a deferrable task. @public */
export const taskRecordSchema = z.object({
	/** The caller's idempotency key. */
	id: z.string(),
	service: z.string(),
	method: z.string(),
	path: z.string(),
	headers: headerListSchema,
	/** Request body, base64-encoded. */
	body: z.string(),
	team: z.string(),
	isIdempotent: z.boolean(),
	/** Unix time in milliseconds. */
	acceptedAt: z.number(),
	/** Unix time in milliseconds by which the task should be finished. */
	deadlineAt: z.number(),
	stage: taskStageSchema,
	/** Number of attempts that have failed or may have failed. */
	failedAttempts: z.number().int().nonnegative(),
	/** Present once the task has ended. */
	outcome: outcomeSchema.optional(),
	/** HTTP status of the endpoint's response, if there was one. */
	status: z.number().int().optional(),
	/** Unix time in milliseconds. */
	endedAt: z.number().optional(),
});
/** @public */
export type TaskRecord = z.infer<typeof taskRecordSchema>;

/** Stored record that contains several tasks of one pool, so that they are written together. @public */
export const taskPageSchema = z.object({
	/** Entry that last wrote the page. */
	writer: z.string(),
	/** Incremented with each change by the writer; shows whether a write took effect whose response was lost. */
	version: z.number().int().nonnegative(),
	tasks: z.array(taskRecordSchema),
});
/** @public */
export type TaskPage = z.infer<typeof taskPageSchema>;
