import {appendItems} from '@pistachiogauge/chain';
import {type EntryEvent, type EntryEventKind} from '@pistachiogauge/model';
import {
	emitEffect, type Filter, type HandlerTable, type Output,
} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {type Invariant, type InvariantName} from './invariant.js';
import {poolInvariants} from './pool-invariants.js';
import {requestInvariants} from './request-invariants.js';

/** The invariants of section 1.2 of the design page that a single entry can check. @public */
export const invariants: readonly Invariant[] = [...requestInvariants, ...poolInvariants];

type InvariantCheck = (state: EntryState, event: EntryEvent, context: DecisionContext) => string | undefined;

/**
Checks the invariants after all other filters, and counts and logs violations.

Has no other effect, so violations appear in the metrics of a running system as they do in the test bench.

@public
*/
export const invariantsFilter: Filter = {
	name: 'invariants',
	handlers: createHandlers(invariants),
};

function createHandlers(checkedInvariants: readonly Invariant[]): HandlerTable {
	const checksByEventKind = new Map<EntryEventKind, Array<{readonly name: InvariantName; readonly check: InvariantCheck}>>();
	for (const {name, handlers} of checkedInvariants) {
		for (const [kind, check] of Object.entries(handlers)) {
			const checks = checksByEventKind.get(kind as EntryEventKind) ?? [];
			checks.push({name, check: check as InvariantCheck});
			checksByEventKind.set(kind as EntryEventKind, checks);
		}
	}

	return Object.fromEntries([...checksByEventKind].map(([kind, checks]) => [kind, (state: EntryState, event: EntryEvent, context: DecisionContext) => {
		const outputs: Output[] = [];
		for (const {name, check} of checks) {
			const detail = check(state, event, context);
			if (detail !== undefined) {
				appendItems(outputs, reportViolation(name, detail));
			}
		}

		if (kind === 'tick') {
			state.invariants.lastCheckedAt = context.now;
		}

		return outputs;
	}]));
}

function reportViolation(invariant: InvariantName, detail: string): Output[] {
	return [
		emitEffect({kind: 'count', metric: `invariant_${invariant.replaceAll('-', '_')}_broken_total`, by: 1}),
		emitEffect({
			kind: 'log', level: 'error', message: 'invariant broken', fields: {invariant, detail},
		}),
	];
}
