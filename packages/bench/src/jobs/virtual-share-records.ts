import {
	poolClaimPrefix, type JobEffectOf, type JobEvent, type JobEventOf, type ShareRecord, type StoredShares,
} from '@pistachiogauge/jobs';
import {type VirtualJobStore} from './virtual-job-store.js';

/** The shares of the accounts' caps in the simulated store. */
export type VirtualShareRecords = {
	readonly records: ReadonlyMap<string, StoredShares>;
	/** Number of calls to list, read and write shares. */
	readonly callCounts: {list: number; read: number; write: number};
	listShares(): StoredShares[];
	readShares(account: string): StoredShares;
	/** Writes all records if the claim and all revisions are as expected. */
	writeShares(effect: JobEffectOf<'write-shares'>): JobEventOf<'shares-written'>;
	/** Replaces the record of an account by one that cannot be decoded, or by that of another writer. */
	overwriteShares(account: string, record: ShareRecord | undefined): void;
};

/** Creates the records; `publish` receives the changes that watches deliver. */
export function createVirtualShareRecords(store: VirtualJobStore, publish: (changes: readonly JobEvent[]) => void): VirtualShareRecords {
	const records = new Map<string, StoredShares>();
	const callCounts = {list: 0, read: 0, write: 0};
	let revision = 1_000_000;
	const readShares = (account: string): StoredShares => records.get(account) ?? {account, revision: 0, record: undefined};

	function putShares(account: string, record: ShareRecord | undefined): void {
		const shares = {account, revision, record};
		records.set(account, shares);
		publish([{kind: 'shares-changed', shares}]);
	}

	return {
		records,
		callCounts,
		listShares() {
			callCounts.list += 1;
			return [...records.values()];
		},
		readShares(account) {
			callCounts.read += 1;
			return readShares(account);
		},
		writeShares({
			pool, token, writeId, records: written,
		}) {
			callCounts.write += 1;
			const isClaimLost = store.claims.get(`${poolClaimPrefix}${pool}`)?.token !== token;
			const presentRevisions = new Map(written.map(({account}) => [account, readShares(account).revision]));
			const answer = {
				kind: 'shares-written', pool, token, writeId, presentRevisions, isClaimLost,
			} as const;
			if (isClaimLost || written.some(({account, revision: expected}) => presentRevisions.get(account) !== expected)) {
				return {...answer, result: 'conflict', revision: 0};
			}

			revision += 1;
			for (const {account, record} of written) {
				putShares(account, record);
			}

			return {...answer, result: 'applied', revision};
		},
		overwriteShares(account, record) {
			revision += 1;
			putShares(account, record);
		},
	};
}
