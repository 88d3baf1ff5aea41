/** One record of the audit trail. @public */
export type AuditRecord = {
	/** Position in this entry's trail, from 1. */
	readonly sequence: number;
	/** Unix time in milliseconds. */
	readonly at: number;
	readonly entry: string;
	readonly by: string;
	readonly action: string;
	readonly subject: string;
	readonly result: 'done' | 'refused';
	readonly detail: string;
	/** SHA-256 of the record before, hex; empty for the first. */
	readonly previousHash: string;
	/** SHA-256 of this record without this field, hex. */
	readonly hash: string;
};

/** State of the audit filter. @public */
export type AuditState = {
	/** Records that are not in the store yet. */
	readonly unwritten: AuditRecord[];
	segment: AuditRecord[];
	segmentNumber: number;
	sequence: number;
	lastHash: string;
	pendingOperation: string | undefined;
	/** Unwritten records covered by the pending write. */
	pendingCount: number;
	nextTryAt: number;
};

/** @internal */
export function createAuditState(): AuditState {
	return {
		unwritten: [], segment: [], segmentNumber: 0, sequence: 0, lastHash: '', pendingOperation: undefined, pendingCount: 0, nextTryAt: 0,
	};
}
