import {type EntryEventKind, type EventOf} from '@pistachiogauge/model';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';

/** Names of the invariants that a single entry can check. @public */
export type InvariantName =
	| 'budget' | 'one-pool' | 'own-answer' | 'not-run-is-true' | 'at-most-once'
	| 'drained-gets-nothing' | 'graceful-stop' | 'bundle-forward' | 'one-owner';

/** Checks one event after all other filters; returns a description of the violation, if any. @public */
export type InvariantHandler<Kind extends EntryEventKind> = (
	state: EntryState,
	event: EventOf<Kind>,
	context: DecisionContext,
) => string | undefined;

/** One invariant with the events on which it is checked. @public */
export type Invariant = {
	readonly name: InvariantName;
	readonly handlers: {readonly [Kind in EntryEventKind]?: InvariantHandler<Kind>};
};
