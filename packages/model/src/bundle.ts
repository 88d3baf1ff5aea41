import {z} from 'zod';
import {requestClassSchema} from './request.js';

/** Share of a pool's slots for each class; the rest is lent to whoever has work. @public */
export const classSharesSchema = z.object({
	urgent: z.number().min(0).max(1),
	normal: z.number().min(0).max(1),
	deferrable: z.number().min(0).max(1),
});
/** @public */
export type ClassShares = z.infer<typeof classSharesSchema>;

/** Declaration of a pool. @public */
export const poolDeclarationSchema = z.object({
	/** Instances that may be out of service at the same time. */
	budget: z.number().int().nonnegative(),
	/** Every instance is maintained once in this many days. */
	maintenancePeriodDays: z.number().positive(),
	/** Whether the pool lends instances to others. */
	isSpare: z.boolean(),
	/** Fewest instances that moves leave in the pool. */
	minInstances: z.number().int().nonnegative(),
	slotsPerInstance: z.number().int().positive(),
});
/** @public */
export type PoolDeclaration = z.infer<typeof poolDeclarationSchema>;

/** Declaration of a service. @public */
export const serviceDeclarationSchema = z.object({
	pool: z.string().min(1),
	defaultClass: requestClassSchema,
	shares: classSharesSchema,
	/** Requests of one flow that may wait. */
	queueLimit: z.number().int().positive(),
	/** Statuses with which the endpoints of this service say that they did not execute the request. */
	notExecutedStatuses: z.array(z.number().int().min(400).max(599)),
	defaultDeadlineMs: z.number().int().positive(),
});
/** @public */
export type ServiceDeclaration = z.infer<typeof serviceDeclarationSchema>;

/** Quota of a team. @public */
export const teamDeclarationSchema = z.object({
	/** Requests of the team that may be queued or running in one pool. */
	maxInFlight: z.number().int().positive(),
	/** Weight of the team in the fair queue. */
	weight: z.number().positive(),
});
/** @public */
export type TeamDeclaration = z.infer<typeof teamDeclarationSchema>;

/** A parsed configuration bundle. @public */
export const bundleSchema = z.object({
	schemaVersion: z.literal(1),
	/** Rises with every accepted bundle; entries never go back to a lower one. */
	version: z.number().int().positive(),
	/** Unix time in milliseconds after which the bundle must not be accepted. */
	expiresAt: z.number().optional(),
	pools: z.record(z.string(), poolDeclarationSchema),
	services: z.record(z.string(), serviceDeclarationSchema),
	teams: z.record(z.string(), teamDeclarationSchema),
});
/** @public */
export type Bundle = z.infer<typeof bundleSchema>;

/** Text of a bundle with its signature, as it travels between entries and the store. @public */
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
