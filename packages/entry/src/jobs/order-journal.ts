import {type TransactionResult} from '@pistachiogauge/platform';

/** Records machines in the store before they are ordered, so that the next holder of the fleet claim knows which ones it must not order yet. @internal */
export type OrderJournal = {
	/** Resolves when a record that names the machine has been written, or could not be. */
	recordOrder(machine: string): Promise<TransactionResult['kind']>;
	/** Writes the record anew, with the machines that the previous holder has ordered. */
	writeRecord(): Promise<TransactionResult['kind']>;
};

/** @internal */
export type OrderJournalOptions = {
	/** Time in ms for which a machine stays on the record. */
	readonly keepMs: number;
	readonly getNow: () => number;
	readonly writeMachines: (machines: readonly string[]) => Promise<TransactionResult['kind']>;
};

/**
Creates a journal with one write at a time: orders that arrive during a write share the next one.

The record is written before an order is sent, not after: otherwise a holder that dies in between leaves an order that its successor does not know.

@internal
*/
export function createOrderJournal({keepMs, getNow, writeMachines}: OrderJournalOptions): OrderJournal {
	const recordedAt = new Map<string, number>();
	let lastWrite: Promise<unknown> = Promise.resolve();
	let nextWrite: Promise<TransactionResult['kind']> | undefined;

	async function writeAfter(previous: Promise<unknown>): Promise<TransactionResult['kind']> {
		await previous;
		nextWrite = undefined;
		const now = getNow();
		for (const [machine, at] of recordedAt) {
			if (now > at + keepMs) {
				recordedAt.delete(machine);
			}
		}

		try {
			return await writeMachines([...recordedAt.keys()]);
		} catch {
			return 'unknown';
		}
	}

	async function write(): Promise<TransactionResult['kind']> {
		if (nextWrite === undefined) {
			nextWrite = writeAfter(lastWrite);
			lastWrite = nextWrite;
		}

		return nextWrite;
	}

	return {
		async recordOrder(machine) {
			recordedAt.set(machine, getNow());
			return write();
		},
		writeRecord: write,
	};
}
