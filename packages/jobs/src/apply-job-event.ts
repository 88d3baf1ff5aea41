import {createChain, type DecisionContext} from '@pistachiogauge/chain';
import {accountsFilter} from './accounts/index.js';
import {authorityFilter} from './authority/index.js';
import {configurationFilter} from './configuration/index.js';
import {directoryFilter} from './directory/index.js';
import {evacuationFilter} from './evacuation/index.js';
import {type JobFilter} from './filter.js';
import {fleetFilter} from './fleet/index.js';
import {intakeFilter} from './intake/index.js';
import {type JobsState} from './jobs-state.js';
import {ledgerFilter} from './ledger/index.js';
import {type JobEffect, type JobEvent} from './model/index.js';
import {observationFilter} from './observation/index.js';
import {pacingFilter} from './pacing/index.js';
import {placementFilter} from './placement/index.js';
import {quotaFilter} from './quota/index.js';
import {relayFilter} from './relay/index.js';
import {reportingFilter} from './reporting/index.js';
import {supervisionFilter} from './supervision/index.js';

/** The filters of the jobs chain, in order. @public */
export const jobFilters: ReadonlyArray<JobFilter<JobsState>> = [
	authorityFilter,
	configurationFilter,
	accountsFilter,
	directoryFilter,
	intakeFilter,
	relayFilter,
	supervisionFilter,
	ledgerFilter,
	observationFilter,
	evacuationFilter,
	placementFilter,
	quotaFilter,
	reportingFilter,
	pacingFilter,
	fleetFilter,
];

/**
Applies one event to the state and returns the effects in order.

It is deterministic: the same state, event and context always give the same effects, so that a simulation can run many entries in virtual time.

@public
*/
export const applyJobEvent: (state: JobsState, event: JobEvent, context: DecisionContext) => JobEffect[] = createChain(jobFilters);
