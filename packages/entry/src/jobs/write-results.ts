import {type TransactionResult} from '@pistachiogauge/platform';

/** Result of a write as the decisions see it. */
type WriteResult = 'applied' | 'conflict' | 'refused' | 'unknown';

/** What a transaction's result means to the decisions: without its lease, nothing was written. @internal */
export const writeResults: Readonly<Record<TransactionResult['kind'], WriteResult>> = {
	applied: 'applied', conflict: 'conflict', refused: 'refused', unknown: 'unknown', 'lease-gone': 'refused',
};
