import {z} from 'zod';

/** One record of the audit trail. @public */
export const auditRecordSchema = z.object({
	/** Position in this entry's trail, from 1. */
	sequence: z.number().int().positive(),
	/** Unix time in milliseconds. */
	at: z.number(),
	entry: z.string(),
	by: z.string(),
	action: z.string(),
	subject: z.string(),
	result: z.enum(['done', 'refused']),
	detail: z.string(),
	/** Hexadecimal SHA-256 of the previous record; empty for the first. */
	previousHash: z.string(),
	/** Hexadecimal SHA-256 of this record without this field. */
	hash: z.string(),
});
/** @public */
export type AuditRecord = z.infer<typeof auditRecordSchema>;

/** Limits of the audit trail. @public */
export const auditLimits = {
	/** Keeps a segment well below the store's limit of 1 MB, since a record takes at most about 1.5 KB. */
	maxRecordsPerSegment: 500,
	/** Records buffered during a store outage, about 8 MB; further ones are dropped and counted. */
	maxUnwrittenRecords: 5000,
	maxTextLength: 400,
} as const;

/** A store operation on the current segment. */
export type SegmentOperation = {
	readonly operationId: string;
	readonly kind: 'write' | 'read';
	/** Content of the segment once a write has taken effect. */
	readonly records: readonly AuditRecord[];
};

/** State of the audit filter. @public */
export type AuditState = {
	/** Records that are not yet known to be in the store. */
	unwritten: AuditRecord[];
	/** Records of the current segment that are in the store. */
	segment: readonly AuditRecord[];
	segmentNumber: number;
	/** Revision of the current segment in the store; 0 when it does not exist yet. */
	segmentRevision: number;
	sequence: number;
	lastHash: string;
	pendingOperation: SegmentOperation | undefined;
	/** Whether the segment must be read from the store before the next write, because the outcome of the last one is unknown. */
	mustReadSegment: boolean;
	nextStoreRetryAt: number;
	/** Number of records dropped since the last one that was kept, and the Unix time of the first of them in milliseconds. */
	dropped: {count: number; firstAt: number};
	/** Operator calls that wait for a read of the segments, by operation id. */
	readonly calls: Map<string, AuditCall>;
	operationCount: number;
};

/** An operator's call for the audit trail. */
export type AuditCall = {
	readonly callId: string;
	/** Unix time in milliseconds. */
	readonly since: number;
	readonly pool: string | undefined;
};

/** @internal */
export function createAuditState(): AuditState {
	return {
		unwritten: [],
		segment: [],
		segmentNumber: 0,
		segmentRevision: 0,
		sequence: 0,
		lastHash: '',
		pendingOperation: undefined,
		mustReadSegment: false,
		nextStoreRetryAt: 0,
		dropped: {count: 0, firstAt: 0},
		calls: new Map(),
		operationCount: 0,
	};
}
