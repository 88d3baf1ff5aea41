import {createHash} from 'node:crypto';
import {type AuditRecord} from './audit-state.js';

/** Computes the hash of a record over its other fields. @internal */
export function computeHash(record: Omit<AuditRecord, 'hash'>): string {
	const {
		sequence, at, entry, by, action, subject, result, detail, previousHash,
	} = record;
	// The order of the fields is part of the hash format.
	const content = {
		sequence, at, entry, by, action, subject, result, detail, previousHash,
	};
	return createHash('sha256').update(JSON.stringify(content)).digest('hex');
}

/**
Verifies the hash chains of the records of all entries and describes the records that were removed or altered.

@param records Complete trails, in the order of their segments.
@public
*/
export function findHashChainFaults(records: readonly AuditRecord[]): string[] {
	const faults: string[] = [];
	const lastByEntry = new Map<string, AuditRecord>();
	for (const record of records) {
		const last = lastByEntry.get(record.entry);
		lastByEntry.set(record.entry, record);
		if (computeHash(record) !== record.hash) {
			faults.push(`${record.entry}: record ${record.sequence} was altered`);
		}

		if (last === undefined && record.sequence !== 1) {
			faults.push(`${record.entry}: the trail begins with record ${record.sequence}`);
		}

		if (last !== undefined && (record.sequence !== last.sequence + 1 || record.previousHash !== last.hash)) {
			faults.push(`${record.entry}: record ${record.sequence} does not follow record ${last.sequence}`);
		}
	}

	return faults;
}
