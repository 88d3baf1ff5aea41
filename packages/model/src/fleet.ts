import {z} from 'zod';

/** Lifecycle state of an instance in the platform's list, which lags behind the actual state. @public */
export const listedStateSchema = z.enum(['live', 'leaving']);

/** One item of the platform's instance list. @public */
export const listedInstanceSchema = z.object({
	id: z.string().min(1),
	/** IPv4 address and port of the endpoint. */
	address: z.string().regex(/^[\d.]+:\d+$/u),
	zone: z.string().min(1),
	rack: z.string().min(1),
	/** Initial pool of the instance. Ignored once an instance record exists. */
	pool: z.string().min(1),
	state: listedStateSchema,
});
/** @public */
export type ListedInstance = z.infer<typeof listedInstanceSchema>;

/** Stored record that determines the pool of an instance. @public */
export const instanceRecordSchema = z.object({
	pool: z.string().min(1),
	/** Number of times that the instance has moved to another pool. */
	moves: z.number().int().nonnegative(),
	/** Unix time in milliseconds of the last maintenance before the instance moved to this pool; the owner of this pool copies it to the pool record. */
	maintainedAt: z.number().optional(),
	/** Set when the instance has left the fleet, so that it no longer counts as out of service. Cleared when the instance list contains it again. */
	hasLeft: z.boolean().optional(),
});
/** @public */
export type InstanceRecord = z.infer<typeof instanceRecordSchema>;

/** Reason for taking an instance out of service deliberately. @public */
export const permitReasonSchema = z.enum(['operator-drain', 'maintenance', 'move', 'unhealthy']);
/** @public */
export type PermitReason = z.infer<typeof permitReasonSchema>;

/**
Stage of a planned disruption of an instance.

- `draining`: the instance receives no new work; work in progress continues.
- `stopped`: no work is in progress; the platform may reboot or remove the instance.
- `rebooting`: a reboot was requested from the platform.
- `returning`: health checks decide whether the instance goes back into service.

@public
*/
export const permitStageSchema = z.enum(['draining', 'stopped', 'rebooting', 'returning']);
/** @public */
export type PermitStage = z.infer<typeof permitStageSchema>;

/** Permission to have one instance out of service. Released only when the instance is back in service or has left the pool. @public */
export const permitSchema = z.object({
	reason: permitReasonSchema,
	stage: permitStageSchema,
	/** Unix time in milliseconds. */
	since: z.number(),
	by: z.string(),
	/** Target pool, if the reason is a move. */
	targetPool: z.string().optional(),
});
/** @public */
export type Permit = z.infer<typeof permitSchema>;

/** Maintenance wave of a pool. @public */
export const waveSchema = z.object({
	id: z.string(),
	state: z.enum(['running', 'paused', 'done']),
	startedAt: z.number(),
	/** Instances that were already maintained in this wave. */
	done: z.array(z.string()),
	/** Unix time in milliseconds; the wave includes the instances last maintained at or before it. If absent, the wave includes all instances of the pool. */
	dueBefore: z.number().optional(),
	by: z.string().optional(),
});
/** @public */
export type Wave = z.infer<typeof waveSchema>;

/** Stored record of a pool, written only by the pool's owner. @public */
export const poolRecordSchema = z.object({
	/** Epoch in which the writer became owner. Serves as fencing token against late writes by a former owner. */
	ownerEpoch: z.number().int().nonnegative(),
	owner: z.string(),
	permits: z.record(z.string(), permitSchema),
	/** Unix time in milliseconds of the last maintenance of each instance. */
	maintained: z.record(z.string(), z.number()),
	wave: waveSchema.optional(),
	/** Number of changes that were withdrawn; incremented so that the record differs from its previous version. */
	withdrawals: z.number().int().nonnegative().optional(),
});
/** @public */
export type PoolRecord = z.infer<typeof poolRecordSchema>;
