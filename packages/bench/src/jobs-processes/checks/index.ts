/**
Checks of the platform's rules over what clients, endpoints and the store saw during a run.

@packageDocumentation
*/
import {type Observation, type QueuePlan} from '@pistachiogauge/platform/standins';
import {checkQuota, checkRevocation, checkUnauthorized} from './check-accounts.js';
import {checkLost, checkMixed} from './check-answers.js';
import {checkIdle} from './check-idle.js';
import {
	checkBudget, checkExit, checkLimit, checkOrder, checkRefused, checkUnasked,
} from './check-starts.js';
import {checkTwice} from './check-twice.js';
import {createRunRecord, type RunRecord} from './run-record.js';
import {type Rule, type Violation} from './violation.js';

export {type Rule, type Violation} from './violation.js';

const checks: Readonly<Record<Rule, (record: RunRecord) => Violation[]>> = {
	twice: checkTwice,
	order: checkOrder,
	budget: checkBudget,
	unasked: checkUnasked,
	refused: checkRefused,
	limit: checkLimit,
	mixed: checkMixed,
	lost: record => [...checkLost(record), ...checkIdle(record)],
	revocation: checkRevocation,
	quota: checkQuota,
	unauthorized: checkUnauthorized,
	exit: checkExit,
};

/** Lists the broken rules of a run in order of their times. */
export function listViolations(observations: readonly Observation[], queues: readonly QueuePlan[]): Violation[] {
	const record = createRunRecord(observations, queues);
	return Object.values(checks).flatMap(check => check(record)).sort((first, second) => first.at - second.at);
}
