import {z} from 'zod';

/** Member of an epoch: one incarnation of an entry process. @public */
export const memberSchema = z.object({
	id: z.string().min(1),
	/** IPv4 address and port of the peer listener. */
	address: z.string().regex(/^[\d.]+:\d+$/u),
	zone: z.string().min(1),
});
/** @public */
export type Member = z.infer<typeof memberSchema>;

/** Owner and standby of a pool in one epoch. @public */
export const poolAssignmentSchema = z.object({
	owner: z.string(),
	/** Absent if the epoch has a single member. */
	standby: z.string().optional(),
});
/** @public */
export type PoolAssignment = z.infer<typeof poolAssignmentSchema>;

/** Record of an epoch: its members and the owner of each pool. The only source of both. @public */
export const epochRecordSchema = z.object({
	epoch: z.number().int().positive(),
	members: z.array(memberSchema).min(1),
	pools: z.record(z.string(), poolAssignmentSchema),
	/** Members of the previous epoch; empty in the first epoch. */
	previousMembers: z.array(z.string()),
	/** Owners and standbys in the previous epoch. */
	previousPools: z.record(z.string(), poolAssignmentSchema),
	/** Whether an operator forced this epoch because a majority of the previous members was lost permanently. */
	forced: z.boolean(),
	proposer: z.string(),
	/** Identifies the proposal. After the store has been restored from a backup, a second record with the same epoch number can exist; vouchers are valid for only one of them. */
	proposal: z.string().optional(),
	/** Proposal of the previous epoch. */
	previousProposal: z.string().optional(),
});
/** @public */
export type EpochRecord = z.infer<typeof epochRecordSchema>;
