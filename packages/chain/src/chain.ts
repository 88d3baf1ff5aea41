import {type DecisionContext} from './context.js';

/** What events and effects have in common: a string union that tells their kind. @public */
export type Kinded = {readonly kind: string};

/** The member of a union with a given kind. @public */
export type OfKind<Union extends Kinded, Kind extends Union['kind']> = Extract<Union, {readonly kind: Kind}>;

/** Reported when a handler throws; every chain's effects include it. @public */
export type HandlerFailed = {
	readonly kind: 'handler-failed';
	readonly filter: string;
	readonly eventKind: string;
	readonly error: unknown;
};

/**
What a handler asks for.

- `next`: the event goes on to the filters after this one.
- `first`: the event enters the chain again at the first filter, in the same turn.
- `sink`: the effect leaves the chain.

@public
*/
export type ChainOutput<Event extends Kinded, Effect extends Kinded> =
	| {readonly kind: 'next'; readonly event: Event}
	| {readonly kind: 'first'; readonly event: Event}
	| {readonly kind: 'sink'; readonly effect: Effect};

/** Handles one kind of event. It may change its filter's part of the state and must not do I/O. @public */
export type ChainHandler<State, Event extends Kinded, Effect extends Kinded, Kind extends Event['kind']> = (
	state: State,
	event: OfKind<Event, Kind>,
	context: DecisionContext,
) => ReadonlyArray<ChainOutput<Event, Effect>>;

/** Lookup table from event kind to handler. @public */
export type ChainHandlerTable<State, Event extends Kinded, Effect extends Kinded> = {
	readonly [Kind in Event['kind']]?: ChainHandler<State, Event, Effect, Kind>;
};

/**
One stage of a chain. Every event passes through every filter; a filter acts on the kinds in its table.

@public
*/
export type ChainFilter<State, Event extends Kinded, Effect extends Kinded> = {
	readonly name: string;
	readonly handlers: ChainHandlerTable<State, Event, Effect>;
};

/** Hands an event on to the later filters. @public */
export function passEvent<const Event extends Kinded>(event: Event): {readonly kind: 'next'; readonly event: Event} {
	return {kind: 'next', event};
}

/** Hands an event to the whole chain, from the first filter on. @public */
export function restartEvent<const Event extends Kinded>(event: Event): {readonly kind: 'first'; readonly event: Event} {
	return {kind: 'first', event};
}

/** Sends an effect to the sinks. @public */
export function emitEffect<const Effect extends Kinded>(effect: Effect): {readonly kind: 'sink'; readonly effect: Effect} {
	return {kind: 'sink', effect};
}

type AnyHandler<State, Event extends Kinded, Effect extends Kinded> = (
	state: State, event: Event, context: DecisionContext,
) => ReadonlyArray<ChainOutput<Event, Effect>>;

/** A filter with its handler for one kind of event. */
type Stage<State, Event extends Kinded, Effect extends Kinded> = {
	readonly index: number;
	readonly name: string;
	readonly handler: AnyHandler<State, Event, Effect>;
};

type PendingEvent<Event> = {
	readonly event: Event;
	readonly startAt: number;
};

/** Upper bound of events handled for one input; reached only when two filters restart each other without end. */
const eventsPerInputLimit = 1_000_000;

/**
Creates the function that runs one input through the filters in order and returns the effects.

A handler that throws costs only the event it handled: the failure becomes a `handler-failed` effect and the other filters still see the event.

@public
*/
export function createChain<State, Event extends Kinded, Effect extends Kinded>(filters: ReadonlyArray<ChainFilter<State, Event, Effect>>): (state: State, input: Event, context: DecisionContext) => Array<Effect | HandlerFailed> {
	// Most kinds concern few filters and every event asks, so the stages of a kind are kept.
	const stagesByKind = new Map<string, ReadonlyArray<Stage<State, Event, Effect>>>();

	function getStages(kind: Event['kind']): ReadonlyArray<Stage<State, Event, Effect>> {
		const known = stagesByKind.get(kind);
		if (known !== undefined) {
			return known;
		}

		const stages = filters.flatMap((filter, index) => {
			const handler = filter.handlers[kind] as AnyHandler<State, Event, Effect> | undefined;
			return handler === undefined ? [] : [{index, name: filter.name, handler}];
		});
		stagesByKind.set(kind, stages);
		return stages;
	}

	return (state, input, context) => {
		const effects: Array<Effect | HandlerFailed> = [];
		const pending: Array<PendingEvent<Event>> = [{event: input, startAt: 0}];
		for (let handled = 0; handled < pending.length; handled++) {
			const {event, startAt} = pending[handled]!;
			if (handled >= eventsPerInputLimit) {
				effects.push({
					kind: 'handler-failed', filter: 'chain', eventKind: event.kind, error: new RangeError('filters restart each other without end'),
				});
				break;
			}

			for (const {index, name, handler} of getStages(event.kind)) {
				if (index < startAt) {
					continue;
				}

				try {
					for (const output of handler(state, event, context)) {
						if (output.kind === 'sink') {
							effects.push(output.effect);
							continue;
						}

						pending.push({event: output.event, startAt: output.kind === 'first' ? 0 : index + 1});
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
