import {
	type Effect, type EntryEvent, type EntryEventKind, type EventOf,
} from '@pistachiogauge/model';
import {type DecisionContext} from './context.js';
import {type EntryState} from './entry-state.js';

/**
What a handler asks for.

- `next`: the event goes on to the filters after this one.
- `first`: the event enters the chain again at the first filter, in the same turn.
- `sink`: the effect leaves the chain.

@public
*/
export type Output =
	| {readonly kind: 'next'; readonly event: EntryEvent}
	| {readonly kind: 'first'; readonly event: EntryEvent}
	| {readonly kind: 'sink'; readonly effect: Effect};

/** Handles one kind of event. It may change its filter's part of the state and must not do I/O. @public */
export type Handler<Kind extends EntryEventKind> = (
	state: EntryState,
	event: EventOf<Kind>,
	context: DecisionContext,
) => readonly Output[];

/** Lookup table from event kind to handler. @public */
export type HandlerTable = {
	readonly [Kind in EntryEventKind]?: Handler<Kind>;
};

/**
One stage of the chain. Every event passes through every filter; a filter acts on the kinds in its table.

@public
*/
export type Filter = {
	readonly name: string;
	readonly handlers: HandlerTable;
};

type AnyHandler = (state: EntryState, event: EntryEvent, context: DecisionContext) => readonly Output[];

type PendingEvent = {
	readonly event: EntryEvent;
	readonly startAt: number;
};

/** Upper bound of events handled for one input; reached only when two filters restart each other without end. */
const eventsPerInputLimit = 1_000_000;

/** Hands an event on to the later filters. @public */
export function passEvent(event: EntryEvent): Output {
	return {kind: 'next', event};
}

/** Hands an event to the whole chain, from the first filter on. @public */
export function restartEvent(event: EntryEvent): Output {
	return {kind: 'first', event};
}

/** Sends an effect to the sinks. @public */
export function emitEffect(effect: Effect): Output {
	return {kind: 'sink', effect};
}

/**
Runs one input through the filters in order and collects the effects.

A handler that throws costs only the event it handled: the failure becomes a `handler-failed` effect and the other filters still see the event.

@public
*/
export function runChain(
	filters: readonly Filter[],
	state: EntryState,
	input: EntryEvent,
	context: DecisionContext,
): Effect[] {
	const effects: Effect[] = [];
	const pending: PendingEvent[] = [{event: input, startAt: 0}];
	let handled = 0;
	for (let item = pending.shift(); item !== undefined; item = pending.shift()) {
		handled += 1;
		if (handled > eventsPerInputLimit) {
			effects.push({
				kind: 'handler-failed', filter: 'chain', eventKind: item.event.kind, error: new RangeError('filters restart each other without end'),
			});
			break;
		}

		for (const {index, filter, handler} of getStages(filters, item.event.kind)) {
			if (index < item.startAt) {
				continue;
			}

			for (const output of runHandler(filter, handler, state, item.event, context)) {
				if (output.kind === 'sink') {
					effects.push(output.effect);
					continue;
				}

				pending.push({event: output.event, startAt: output.kind === 'first' ? 0 : index + 1});
			}
		}
	}

	return effects;
}

/** A filter with its handler for one kind of event. */
type Stage = {
	readonly index: number;
	readonly filter: Filter;
	readonly handler: AnyHandler;
};

const stagesByFilters = new WeakMap<readonly Filter[], Map<EntryEventKind, readonly Stage[]>>();

/** Filters that act on a kind of event, in order. Kept, because most kinds concern few filters and every event asks. */
function getStages(filters: readonly Filter[], kind: EntryEventKind): readonly Stage[] {
	let stages = stagesByFilters.get(filters);
	if (stages === undefined) {
		stages = new Map();
		stagesByFilters.set(filters, stages);
	}

	let found = stages.get(kind);
	if (found === undefined) {
		found = filters.flatMap((filter, index) => {
			const handler = filter.handlers[kind] as AnyHandler | undefined;
			return handler === undefined ? [] : [{index, filter, handler}];
		});
		stages.set(kind, found);
	}

	return found;
}

function runHandler(
	filter: Filter,
	handler: AnyHandler,
	state: EntryState,
	event: EntryEvent,
	context: DecisionContext,
): readonly Output[] {
	try {
		return handler(state, event, context);
	} catch (error) {
		return [emitEffect({
			kind: 'handler-failed', filter: filter.name, eventKind: event.kind, error,
		})];
	}
}
