import {type StoreChange, type StoreClient} from '@pistachiogauge/platform';
import {type JobParts} from './job-parts.js';

/** Pause in ms before a record whose write failed is written again. @internal */
export const rewritePauseMs = 300;
/** Tries for a record after which it is logged that it is behind; the outage lasts. */
const rewriteNoteAfter = 10;

/** Writes a record until the store has taken it, another change of it has come, or its condition does not hold any more. @internal */
export type RecordWriter = (key: string, change: StoreChange) => Promise<void>;

/** Creates a writer for records that it does no harm to write twice. @internal */
export function createRecordWriter(store: Pick<StoreClient, 'changeItems'>, log: JobParts['log']): RecordWriter {
	/** The newest change of each record that is being written. */
	const newestChanges = new Map<string, StoreChange>();
	return async (key, change) => {
		newestChanges.set(key, change);
		for (let attempt = 1; newestChanges.get(key) === change; attempt++) {
			// eslint-disable-next-line no-await-in-loop
			const result = await store.changeItems(change);
			if (result.kind === 'applied' || result.kind === 'conflict') {
				if (newestChanges.get(key) === change) {
					newestChanges.delete(key);
				}

				return;
			}

			if (attempt === rewriteNoteAfter) {
				log('warn', 'record not written yet', {key, attempts: attempt, result: result.kind});
			}

			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, rewritePauseMs);
			});
		}
	};
}
