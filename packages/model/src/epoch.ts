import {z} from 'zod';

/** Member of an epoch: one incarnation of an entry. @public */
export const memberSchema = z.object({
	id: z.string().min(1),
	/** IP number and port of the peer listener. */
	address: z.string().regex(/^[\d.]+:\d+$/u),
	zone: z.string().min(1),
});
/** @public */
export type Member = z.infer<typeof memberSchema>;

/** Entries that are responsible for a pool in one epoch. @public */
export const poolAssignmentSchema = z.object({
	owner: z.string(),
	/** Absent when the epoch has a single member. */
	standby: z.string().optional(),
});
/** @public */
export type PoolAssignment = z.infer<typeof poolAssignmentSchema>;

/** The one record that says who is a member and who owns which pool. @public */
export const epochRecordSchema = z.object({
	epoch: z.number().int().positive(),
	members: z.array(memberSchema).min(1),
	pools: z.record(z.string(), poolAssignmentSchema),
	/** Members of the epoch before; empty in the first one. */
	previousMembers: z.array(z.string()),
	/** Owners and standbys of the epoch before. */
	previousPools: z.record(z.string(), poolAssignmentSchema),
	/** Set by an operator when a majority of the previous members is lost for good. */
	forced: z.boolean(),
	proposer: z.string(),
	/** Identifies the proposal. A restored store can hold a second record with the same epoch number; vouchers count for one of them only. */
	proposal: z.string().optional(),
	/** Proposal of the epoch before. */
	previousProposal: z.string().optional(),
});
/** @public */
export type EpochRecord = z.infer<typeof epochRecordSchema>;
