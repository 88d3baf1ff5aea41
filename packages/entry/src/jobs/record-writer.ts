import {type StoreTransaction, type TransactionResult} from '@pistachiogauge/platform';
import {type GuardedWriter} from './guard-writes.js';
import {type JobSinkDependencies} from './job-sink-dependencies.js';

/** Pause before a failed write is retried. @internal */
export const retryPauseMs = 300;
/** Attempts after which a warning is logged, as the outage is no longer a short one. */
const warnAfterAttempts = 10;

/** Retries a write until the store accepts it, a newer change of the record replaces it, or its condition no longer holds. @internal */
export type RecordWriter = (key: string, transaction: StoreTransaction) => Promise<void>;

/**
Creates a writer for records whose writes are idempotent.

Writes of the same record are sent one after the other: the answers of two that are on their way at the same time say nothing about their order, and the older one may be applied last.

@internal
*/
export function createRecordWriter(writeGuarded: GuardedWriter, log: JobSinkDependencies['log']): RecordWriter {
	/** The latest transaction of each record that is being written. */
	const latestTransactions = new Map<string, StoreTransaction>();
	const lastAttempts = new Map<string, Promise<unknown>>();

	async function applyInOrder(key: string, transaction: StoreTransaction): Promise<TransactionResult | undefined> {
		const previous = lastAttempts.get(key);
		const attempt = (async () => {
			await previous?.catch(() => undefined);
			return latestTransactions.get(key) === transaction ? writeGuarded(key, transaction) : undefined;
		})();
		lastAttempts.set(key, attempt);
		try {
			return await attempt;
		} finally {
			if (lastAttempts.get(key) === attempt) {
				lastAttempts.delete(key);
			}
		}
	}

	return async (key, transaction) => {
		latestTransactions.set(key, transaction);
		for (let attempt = 1; latestTransactions.get(key) === transaction; attempt++) {
			// eslint-disable-next-line no-await-in-loop
			const result = await applyInOrder(key, transaction);
			if (result === undefined || result.kind === 'applied' || result.kind === 'conflict') {
				if (latestTransactions.get(key) === transaction) {
					latestTransactions.delete(key);
				}

				return;
			}

			if (attempt === warnAfterAttempts) {
				log('warn', 'record not written yet, retrying', {key, attempts: attempt, result: result.kind});
			}

			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, retryPauseMs);
			});
		}
	};
}
