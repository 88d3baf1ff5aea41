import {type DecisionContext} from './context.js';

/** Member of a discriminated union of events or effects. @public */
export type Discriminated = {readonly kind: string};

/** Member of a union that has the given kind. @public */
export type OfKind<Union extends Discriminated, Kind extends Union['kind']> = Extract<Union, {readonly kind: Kind}>;

/** Effect that reports an exception in a handler; every chain can emit it. @public */
export type HandlerFailed = {
	readonly kind: 'handler-failed';
	readonly filter: string;
	readonly eventKind: string;
	readonly error: unknown;
};

/**
Output of a handler.

- `next`: passes the event to the filters after this one.
- `first`: passes the event to all filters, starting with the first one, while the same input is handled.
- `sink`: emits an effect from the chain.

@public
*/
export type ChainOutput<Event extends Discriminated, Effect extends Discriminated> =
	| {readonly kind: 'next'; readonly event: Event}
	| {readonly kind: 'first'; readonly event: Event}
	| {readonly kind: 'sink'; readonly effect: Effect};

/** Handles one kind of event. It may modify its filter's part of the state but must not perform I/O. @public */
export type ChainHandler<State, Event extends Discriminated, Effect extends Discriminated, Kind extends Event['kind']> = (
	state: State,
	event: OfKind<Event, Kind>,
	context: DecisionContext,
) => ReadonlyArray<ChainOutput<Event, Effect>>;

/** Lookup table from event kind to handler. @public */
export type ChainHandlerTable<State, Event extends Discriminated, Effect extends Discriminated> = {
	readonly [Kind in Event['kind']]?: ChainHandler<State, Event, Effect, Kind>;
};

/**
One filter of a chain. Every event passes through every filter; a filter handles the kinds that its table contains.

@public
*/
export type ChainFilter<State, Event extends Discriminated, Effect extends Discriminated> = {
	readonly name: string;
	readonly handlers: ChainHandlerTable<State, Event, Effect>;
};

/** Passes an event to the filters after the current one. @public */
export function passEvent<const Event extends Discriminated>(event: Event): {readonly kind: 'next'; readonly event: Event} {
	return {kind: 'next', event};
}

/** Passes an event through the whole chain, starting with the first filter. @public */
export function restartEvent<const Event extends Discriminated>(event: Event): {readonly kind: 'first'; readonly event: Event} {
	return {kind: 'first', event};
}

/** Emits an effect, which the sinks carry out. @public */
export function emitEffect<const Effect extends Discriminated>(effect: Effect): {readonly kind: 'sink'; readonly effect: Effect} {
	return {kind: 'sink', effect};
}

type AnyHandler<State, Event extends Discriminated, Effect extends Discriminated> = (
	state: State, event: Event, context: DecisionContext,
) => ReadonlyArray<ChainOutput<Event, Effect>>;

/** Handler for one kind of event, with the name and position of its filter. */
type IndexedHandler<State, Event extends Discriminated, Effect extends Discriminated> = {
	readonly index: number;
	readonly name: string;
	readonly handler: AnyHandler<State, Event, Effect>;
};

type PendingEvent<Event> = {
	readonly event: Event;
	readonly firstFilterIndex: number;
};

/** Stops endless loops of filters that keep passing events to each other through the first filter. */
const maxEventsPerInput = 1_000_000;

/**
Creates a function that passes an input event through the filters in order and returns the resulting effects.

An exception in a handler affects only that handler: it becomes a `handler-failed` effect, and the other filters still receive the event.

@public
*/
export function createChain<State, Event extends Discriminated, Effect extends Discriminated>(filters: ReadonlyArray<ChainFilter<State, Event, Effect>>): (state: State, input: Event, context: DecisionContext) => Array<Effect | HandlerFailed> {
	// Cached because every event needs this lookup and most kinds are handled by only a few filters.
	const handlersByKind = new Map<string, ReadonlyArray<IndexedHandler<State, Event, Effect>>>();

	function getHandlers(kind: Event['kind']): ReadonlyArray<IndexedHandler<State, Event, Effect>> {
		const known = handlersByKind.get(kind);
		if (known !== undefined) {
			return known;
		}

		const handlers = filters.flatMap((filter, index) => {
			const handler = filter.handlers[kind] as AnyHandler<State, Event, Effect> | undefined;
			return handler === undefined ? [] : [{index, name: filter.name, handler}];
		});
		handlersByKind.set(kind, handlers);
		return handlers;
	}

	return (state, input, context) => {
		const effects: Array<Effect | HandlerFailed> = [];
		const pending: Array<PendingEvent<Event>> = [{event: input, firstFilterIndex: 0}];
		for (let handled = 0; handled < pending.length; handled++) {
			const {event, firstFilterIndex: startAt} = pending[handled]!;
			if (handled >= maxEventsPerInput) {
				effects.push({
					kind: 'handler-failed', filter: 'chain', eventKind: event.kind, error: new RangeError('too many events for one input; filters keep restarting each other'),
				});
				break;
			}

			for (const {index, name, handler} of getHandlers(event.kind)) {
				if (index < startAt) {
					continue;
				}

				try {
					for (const output of handler(state, event, context)) {
						if (output.kind === 'sink') {
							effects.push(output.effect);
							continue;
						}

						pending.push({event: output.event, firstFilterIndex: output.kind === 'first' ? 0 : index + 1});
					}
				} catch (error) {
					effects.push({
						kind: 'handler-failed', filter: name, eventKind: event.kind, error,
					});
				}
			}
		}

		return effects;
	};
}
