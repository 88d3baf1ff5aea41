import {
	createChain, type ChainFilter, type ChainHandler, type ChainHandlerTable, type ChainOutput, type DecisionContext,
} from '@pistachiogauge/chain';
import {type Effect, type EntryEvent, type EntryEventKind} from '@pistachiogauge/model';
import {type EntryState} from './entry-state.js';

/** Output of a handler: an effect, or an event for later filters or for all filters. @public */
export type Output = ChainOutput<EntryEvent, Effect>;

/** Handles one kind of an entry's events. @public */
export type Handler<Kind extends EntryEventKind> = ChainHandler<EntryState, EntryEvent, Effect, Kind>;

/** Lookup table from event kind to handler. @public */
export type HandlerTable = ChainHandlerTable<EntryState, EntryEvent, Effect>;

/** One stage of an entry's chain. @public */
export type Filter = ChainFilter<EntryState, EntryEvent, Effect>;

export {emitEffect, passEvent, restartEvent} from '@pistachiogauge/chain';

type Chain = (state: EntryState, input: EntryEvent, context: DecisionContext) => Effect[];

const chains = new WeakMap<readonly Filter[], Chain>();

/** Runs one input through the filters in order and collects the effects. @public */
export function runChain(filters: readonly Filter[], state: EntryState, input: EntryEvent, context: DecisionContext): Effect[] {
	let chain = chains.get(filters);
	if (chain === undefined) {
		chain = createChain<EntryState, EntryEvent, Effect>(filters);
		chains.set(filters, chain);
	}

	return chain(state, input, context);
}
