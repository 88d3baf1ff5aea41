import {type StoreTransaction, type TransactionResult} from '@pistachiogauge/platform';
import {expect, it, vi} from 'vitest';
import {createSession, type SessionOptions} from './session.js';

// Guards against an entry whose registration ends with an earlier lease, after which it gives up its claims.
it('a registration that the store carries out late does not replace the next one', async () => {
	const sent: StoreTransaction[] = [];
	let registered: {readonly lease: number | undefined; readonly revision: number} | undefined;
	const carryOut = ({conditions, puts}: StoreTransaction): TransactionResult => {
		const revision = registered?.revision ?? 0;
		if (conditions.some(each => each.revision !== revision)) {
			return {kind: 'conflict', revisions: new Map(conditions.map(({key}) => [key, revision])), values: new Map()};
		}

		registered = {lease: puts[0]!.lease, revision: sent.length};
		return {kind: 'applied', revision: sent.length};
	};

	const store = {
		endLease: async () => undefined,
		createLease: async () => ({lease: sent.length + 1, ttlMs: 1500}),
		applyTransaction: async (transaction: StoreTransaction) => sent.push(transaction) === 1 ? {kind: 'unknown'} : carryOut(transaction),
	};
	const handleOpened = vi.fn();
	const session = createSession({
		store, node: 'entry-1', incarnation: 'first', handleOpened, handleRenewed: vi.fn(), handleError: vi.fn(), leaseMinMs: 0,
	} as unknown as SessionOptions);
	session.start();
	await vi.waitFor(() => {
		expect(handleOpened).toHaveBeenCalled();
	});
	await session.close();
	carryOut(sent[0]!);
	expect(registered?.lease).toBe(2);
});
