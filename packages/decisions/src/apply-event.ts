import {type Effect, type EntryEvent} from '@pistachiogauge/model';
import {admissionFilter} from './admission/index.js';
import {auditFilter} from './audit/index.js';
import {bundleFilter} from './bundle/index.js';
import {runChain, type Filter} from './chain.js';
import {type DecisionContext} from './context.js';
import {dispatchFilter} from './dispatch/index.js';
import {type EntryState} from './entry-state.js';
import {fleetFilter} from './fleet/index.js';
import {healthFilter} from './health/index.js';
import {idempotencyFilter} from './idempotency/index.js';
import {invariantsFilter} from './invariants/index.js';
import {membershipFilter} from './membership/index.js';
import {replyFilter} from './reply/index.js';
import {retryFilter} from './retry/index.js';
import {routingFilter} from './routing/index.js';
import {tasksFilter} from './tasks/index.js';

/** The filters of an entry, in order. @public */
export const entryFilters: readonly Filter[] = [
	membershipFilter,
	bundleFilter,
	fleetFilter,
	routingFilter,
	tasksFilter,
	idempotencyFilter,
	admissionFilter,
	dispatchFilter,
	healthFilter,
	retryFilter,
	replyFilter,
	auditFilter,
	invariantsFilter,
];

/**
Applies one event to the state and returns the effects, in order.

The state changes only here. The same state, event and context always give the same effects, so a front end, a scenario or the test bench can run several entries in virtual time.

@public
*/
export function applyEvent(state: EntryState, event: EntryEvent, context: DecisionContext): Effect[] {
	return runChain(entryFilters, state, event, context);
}
