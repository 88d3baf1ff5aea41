import {type StoreClient, type StoreTransaction, type TransactionResult} from '@pistachiogauge/platform';

/** Applies a transaction on condition that the record under the key is as this process last saw it. A conflict means that another condition of the transaction does not hold. @internal */
export type GuardedWriter = (key: string, transaction: StoreTransaction) => Promise<TransactionResult>;

/**
Creates a writer for records that only this process writes while the other conditions of its transactions hold; others may delete them.

The store may carry out an unanswered write seconds later. Once a later write has been applied, the earlier one no longer meets its condition.

@internal
*/
export function createGuardedWriter(store: Pick<StoreClient, 'applyTransaction'>): GuardedWriter {
	/** Revisions of the records that are known to exist, by key. */
	const knownRevisions = new Map<string, number>();

	function recordRevision(key: string, revision: number): void {
		if (revision === 0) {
			knownRevisions.delete(key);
		} else {
			knownRevisions.set(key, revision);
		}
	}

	return async (key, transaction) => {
		for (;;) {
			const revision = knownRevisions.get(key) ?? 0;
			// eslint-disable-next-line no-await-in-loop
			const result = await store.applyTransaction({...transaction, conditions: [...transaction.conditions, {key, revision}]});
			if (result.kind === 'applied') {
				recordRevision(key, transaction.deletes?.includes(key) === true ? 0 : result.revision);
			}

			if (result.kind !== 'conflict') {
				return result;
			}

			const presentRevision = result.revisions.get(key) ?? 0;
			if (presentRevision === revision) {
				return result;
			}

			recordRevision(key, presentRevision);
		}
	};
}
