import {z} from 'zod';
import {requestClassSchema} from './request.js';

/** Share of a pool's slots that each request class is entitled to; unused slots are lent to other flows. @public */
export const classSharesSchema = z.object({
	urgent: z.number().min(0).max(1),
	normal: z.number().min(0).max(1),
	deferrable: z.number().min(0).max(1),
});
/** @public */
export type ClassShares = z.infer<typeof classSharesSchema>;

/** Configuration of a pool. @public */
export const poolDeclarationSchema = z.object({
	/** Availability budget: how many instances may be out of service at the same time. */
	budget: z.number().int().nonnegative(),
	/** Interval in which every instance is maintained once. */
	maintenancePeriodDays: z.number().positive(),
	/** Whether the pool may lend instances to other pools. */
	isSpare: z.boolean(),
	/** Moves to other pools never leave fewer instances than this in the pool. */
	minInstances: z.number().int().nonnegative(),
	slotsPerInstance: z.number().int().positive(),
});
/** @public */
export type PoolDeclaration = z.infer<typeof poolDeclarationSchema>;

/** Configuration of a service. @public */
export const serviceDeclarationSchema = z.object({
	pool: z.string().min(1),
	defaultClass: requestClassSchema,
	shares: classSharesSchema,
	/** Maximum number of queued requests per flow. */
	queueLimit: z.number().int().positive(),
	/** HTTP statuses by which the endpoints of this service report that they did not execute the request. */
	notExecutedStatuses: z.array(z.number().int().min(400).max(599)),
	defaultDeadlineMs: z.number().int().positive(),
});
/** @public */
export type ServiceDeclaration = z.infer<typeof serviceDeclarationSchema>;

/** Quota of a team. @public */
export const teamDeclarationSchema = z.object({
	/** Maximum number of the team's requests that are queued or running in one pool. */
	maxInFlight: z.number().int().positive(),
	/** Weight of the team in fair queueing. */
	weight: z.number().positive(),
});
/** @public */
export type TeamDeclaration = z.infer<typeof teamDeclarationSchema>;

/** A parsed configuration bundle. @public */
export const bundleSchema = z.object({
	schemaVersion: z.literal(1),
	/** Increases with every accepted bundle; entries never return to a lower version. */
	version: z.number().int().positive(),
	/** Unix time in milliseconds; the bundle must not be accepted after it. */
	expiresAt: z.number().optional(),
	pools: z.record(z.string(), poolDeclarationSchema),
	services: z.record(z.string(), serviceDeclarationSchema),
	teams: z.record(z.string(), teamDeclarationSchema),
});
/** @public */
export type Bundle = z.infer<typeof bundleSchema>;

/** Text of a bundle with its signature, as stored and as exchanged between entries. @public */
export const signedBundleSchema = z.object({
	version: z.number().int().positive(),
	/** The INI text that was signed. */
	text: z.string(),
	/** Name of the operator whose key signed it. */
	signedBy: z.string(),
	/** Ed25519 signature of the text, base64. */
	signature: z.string(),
});
/** @public */
export type SignedBundle = z.infer<typeof signedBundleSchema>;
