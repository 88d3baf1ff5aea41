import {type StoreClient, type StoreTransaction, type TransactionResult} from '@pistachiogauge/platform';

/** Time for which new records are put under a lease. */
const usageMs = 60_000;
/** Least time for which a record is kept: callers wait for 60 s at most, and a process that stands still or a store that carries out writes late add some seconds. */
const keepMs = 150_000;

/** Writes records that the store deletes by itself some minutes later, whether this process still runs or not. @throws If the store grants no lease. @internal */
export type TemporaryWriter = (condition: StoreTransaction['conditions'][number], put: {readonly key: string; readonly value: string}) => Promise<TransactionResult>;

/** Creates a writer that puts the records of a minute under one lease. @internal */
export function createTemporaryWriter(store: Pick<StoreClient, 'createLease' | 'applyTransaction'>, getNow: () => number): TemporaryWriter {
	let current: {readonly grantedAt: number; readonly lease: Promise<number>} | undefined;

	async function getLease(): Promise<number> {
		if (current === undefined || getNow() >= current.grantedAt + usageMs) {
			const lease = store.createLease(usageMs + keepMs).then(granted => granted.lease);
			const created = {grantedAt: getNow(), lease};
			current = created;
			lease.catch(() => {
				if (current === created) {
					current = undefined;
				}
			});
		}

		return current.lease;
	}

	return async (condition, put) => {
		const write = async () => store.applyTransaction({conditions: [condition], puts: [{...put, lease: await getLease()}]});
		const result = await write();
		if (result.kind !== 'lease-gone') {
			return result;
		}

		current = undefined;
		return write();
	};
}
