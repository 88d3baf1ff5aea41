import {bundleForwardCheck} from './bundle-check.js';
import {type Check} from './check.js';
import {connectionsCheck, oneOwnerCheck, onePoolCheck} from './pool-checks.js';
import {atMostOnceCheck, notRunCheck, ownAnswerCheck} from './request-checks.js';
import {budgetCheck, drainedCheck, gracefulStopCheck} from './stop-checks.js';

export {createMonitor, type Check} from './check.js';

/** The invariants of section 1.2 of the design page, and those that they depend on. */
export const allChecks: readonly Check[] = [
	budgetCheck,
	onePoolCheck,
	ownAnswerCheck,
	notRunCheck,
	atMostOnceCheck,
	drainedCheck,
	gracefulStopCheck,
	bundleForwardCheck,
	oneOwnerCheck,
	connectionsCheck,
];
