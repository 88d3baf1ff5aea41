import {type EntryEvent, type EntryEventKind} from '@pistachiogauge/model';
import {
	emitEffect, type Filter, type HandlerTable, type Output,
} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {type Invariant, type InvariantName} from './invariant.js';
import {poolInvariants} from './pool-invariants.js';
import {requestInvariants} from './request-invariants.js';

/** What one entry can check of the invariants in section 1.2 of the design page. @public */
export const invariants: readonly Invariant[] = [...requestInvariants, ...poolInvariants];

type AnyCheck = (state: EntryState, event: EntryEvent, context: DecisionContext) => string | undefined;

/**
Checks the invariants after all other filters, and counts and logs what is broken.

It changes nothing else: a broken invariant shows in the metrics of a running system as in the test bench.

@public
*/
export const invariantsFilter: Filter = {
	name: 'invariants',
	handlers: createHandlers(invariants),
};

function createHandlers(list: readonly Invariant[]): HandlerTable {
	const checksByKind = new Map<EntryEventKind, Array<{readonly name: InvariantName; readonly check: AnyCheck}>>();
	for (const {name, handlers} of list) {
		for (const [kind, check] of Object.entries(handlers)) {
			const checks = checksByKind.get(kind as EntryEventKind) ?? [];
			checks.push({name, check: check as AnyCheck});
			checksByKind.set(kind as EntryEventKind, checks);
		}
	}

	return Object.fromEntries([...checksByKind].map(([kind, checks]) => [kind, (state: EntryState, event: EntryEvent, context: DecisionContext) => {
		const outputs: Output[] = [];
		for (const {name, check} of checks) {
			const detail = check(state, event, context);
			if (detail !== undefined) {
				outputs.push(...reportBroken(name, detail));
			}
		}

		if (kind === 'tick') {
			state.invariants.checkedAt = context.now;
		}

		return outputs;
	}]));
}

function reportBroken(invariant: InvariantName, detail: string): Output[] {
	return [
		emitEffect({kind: 'count', metric: `invariant_${invariant.replaceAll('-', '_')}_broken_total`, by: 1}),
		emitEffect({
			kind: 'log', level: 'error', message: 'invariant broken', fields: {invariant, detail},
		}),
	];
}
