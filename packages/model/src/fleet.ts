import {z} from 'zod';

/** Life of an instance as the platform's list gives it. The list lags. @public */
export const listedStateSchema = z.enum(['live', 'leaving']);

/** One row of the platform's instance list. @public */
export const listedInstanceSchema = z.object({
	id: z.string().min(1),
	/** IP number and port of the endpoint. */
	address: z.string().regex(/^[\d.]+:\d+$/u),
	zone: z.string().min(1),
	rack: z.string().min(1),
	/** Pool the instance is delivered for. Used only until an instance record exists. */
	pool: z.string().min(1),
	state: listedStateSchema,
});
/** @public */
export type ListedInstance = z.infer<typeof listedInstanceSchema>;

/** The record that decides which pool an instance is in. @public */
export const instanceRecordSchema = z.object({
	pool: z.string().min(1),
	/** Times the instance has changed pools. */
	moves: z.number().int().nonnegative(),
	/** Unix time in milliseconds of the last maintenance before the instance moved here; the new owner takes it over. */
	maintainedAt: z.number().optional(),
	/** Set when the instance has left the fleet, so that it no longer counts as out of service. Cleared when the list shows it again. */
	hasLeft: z.boolean().optional(),
});
/** @public */
export type InstanceRecord = z.infer<typeof instanceRecordSchema>;

/** Why an instance is taken out of service on purpose. @public */
export const permitReasonSchema = z.enum(['operator-drain', 'maintenance', 'move', 'unhealthy']);
/** @public */
export type PermitReason = z.infer<typeof permitReasonSchema>;

/**
Stage of a planned stop.

- `draining`: no new work, work in progress goes on.
- `stopped`: no work in progress; the platform may reboot or take the instance.
- `rebooting`: the platform was asked to reboot it.
- `returning`: probes decide whether it serves again.

@public
*/
export const permitStageSchema = z.enum(['draining', 'stopped', 'rebooting', 'returning']);
/** @public */
export type PermitStage = z.infer<typeof permitStageSchema>;

/** Permission to have one instance out of service. Given back only when the instance serves again or has left the pool. @public */
export const permitSchema = z.object({
	reason: permitReasonSchema,
	stage: permitStageSchema,
	/** Unix time in milliseconds. */
	since: z.number(),
	by: z.string(),
	/** Target pool of a move. */
	targetPool: z.string().optional(),
});
/** @public */
export type Permit = z.infer<typeof permitSchema>;

/** Maintenance wave of a pool. @public */
export const waveSchema = z.object({
	id: z.string(),
	state: z.enum(['running', 'paused', 'done']),
	startedAt: z.number(),
	/** Instances already maintained in this wave. */
	done: z.array(z.string()),
	/** Instances last maintained at or before this Unix time in milliseconds belong to the wave; absent means all of the pool. */
	dueBefore: z.number().optional(),
	by: z.string().optional(),
});
/** @public */
export type Wave = z.infer<typeof waveSchema>;

/** Record of a pool; only the pool's owner writes it. @public */
export const poolRecordSchema = z.object({
	/** Epoch in which the writer became owner. Fences late writes of a former owner. */
	ownerEpoch: z.number().int().nonnegative(),
	owner: z.string(),
	permits: z.record(z.string(), permitSchema),
	/** Unix time in milliseconds of each instance's last maintenance. */
	maintained: z.record(z.string(), z.number()),
	wave: waveSchema.optional(),
	/** Counts changes that were withdrawn, so that the record differs from the one before. */
	withdrawals: z.number().int().nonnegative().optional(),
});
/** @public */
export type PoolRecord = z.infer<typeof poolRecordSchema>;
