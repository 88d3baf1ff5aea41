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
	/** SHA-256 of the record before, hex; empty for the first. */
	previousHash: z.string(),
	/** SHA-256 of this record without this field, hex. */
	hash: z.string(),
});
/** @public */
export type AuditRecord = z.infer<typeof auditRecordSchema>;

/** Bounds of the audit trail. @public */
export const auditLimits = {
	/** Keeps a segment well below the store's limit of 1 MB: a record has at most about 1.5 KB. */
	recordsPerSegment: 500,
	/** Records that wait while the store is out, about 8 MB; further ones are dropped and counted. */
	recordsInMemory: 5000,
	textLength: 400,
} as const;

/** A store operation on the current segment. */
export type PendingSegment = {
	readonly operationId: string;
	readonly kind: 'write' | 'read';
	/** Content of the segment once a write has taken effect. */
	readonly records: readonly AuditRecord[];
};

/** State of the audit filter. @public */
export type AuditState = {
	/** Records that are not in the store yet. */
	unwritten: AuditRecord[];
	/** Records of the current segment that are in the store. */
	segment: readonly AuditRecord[];
	segmentNumber: number;
	/** Revision of the current segment in the store; 0 when it is absent. */
	segmentRevision: number;
	sequence: number;
	lastHash: string;
	pending: PendingSegment | undefined;
	/** Whether the store's copy of the segment has to be read before the next write. */
	isInDoubt: boolean;
	nextTryAt: number;
	/** Records dropped since the last one that was kept. */
	dropped: {count: number; firstAt: number};
	/** Calls that wait for the segments, by operation id. */
	readonly calls: Map<string, AuditCall>;
	operationCount: number;
};

/** An operator's call for the trail. */
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
		pending: undefined,
		isInDoubt: false,
		nextTryAt: 0,
		dropped: {count: 0, firstAt: 0},
		calls: new Map(),
		operationCount: 0,
	};
}
