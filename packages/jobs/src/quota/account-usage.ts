import {type DirectoryView} from '../directory/index.js';
import {
	countPendingTasks, type Job, type LedgerView, type PoolLedger, type Step,
} from '../ledger/index.js';
import {
	addResources, computeResources, noResources, subtractResources, sumResources, type Resources,
} from '../model/index.js';
import {type SupervisedEndpoint, type SupervisionView} from '../supervision/index.js';

/** What an account's tasks occupy in a pool. @internal */
export type AccountUsage = {
	/** Runs that this entry supervises: started, unconfirmed, running, being stopped or suspected. */
	readonly running: Resources;
	/** These, and what else may be running: runs of ended jobs, and tasks that a previous owner may have started. */
	readonly possible: Resources;
};

/** @internal */
export const noUsage: AccountUsage = {running: noResources, possible: noResources};

/** How long a run of an ended job may go on: for the lease of an endpoint that no stop reaches. */
const endedRunMs = 10_000;

type State = SupervisionView & LedgerView & DirectoryView;

/**
Measures what the tasks of each account may occupy in a pool that this entry owns. Jobs without an account are left out.

@param reserved - Tasks that have been placed and are not supervised yet.
@internal
*/
export function measurePoolUsage(state: State, pool: Readonly<PoolLedger>, reserved: Iterable<{readonly endpointId: string; readonly step: Step}> = []): Map<string, AccountUsage> {
	const usage = new Map<string, AccountUsage>();
	for (const job of pool.activeJobs) {
		if (job.isAwaitingSurvey && job.record.account !== undefined) {
			addPossible(usage, job.record.account, sumUnstartedTasks(job));
		}
	}

	for (const endpoint of state.supervision.endpoints.values()) {
		if (endpoint.pool === pool.pool) {
			addEndpoint(usage, endpoint, state);
		}
	}

	for (const {endpointId, step: {job: {record}, spec}} of reserved) {
		if (record.account !== undefined && record.pool === pool.pool && state.supervision.endpoints.get(endpointId)?.pool === pool.pool) {
			addPossible(usage, record.account, spec.room);
		}
	}

	return usage;
}

/**
Lists the accounts of which runs may go on in a pool that this entry cannot know yet: their jobs were cancelled or failed recently, and the endpoints have not listed their runs. Nothing of these accounts is started meanwhile.

@internal
*/
export function listUnsurveyedAccounts({supervision}: SupervisionView, pool: Readonly<PoolLedger>, wallTime: number): Set<string> {
	const accounts = new Set<string>();
	if (supervision.pools.get(pool.pool)?.surveyedAt !== undefined) {
		return accounts;
	}

	const ended = [...pool.endedJobs.values(), ...[...pool.jobs.values()].map(({record, status, endedAt}) => ({account: record.account, status, endedAt}))];
	for (const {account, status, endedAt = 0} of ended) {
		if (account !== undefined && (status === 'cancelled' || status === 'failed') && wallTime < endedAt + endedRunMs) {
			accounts.add(account);
		}
	}

	return accounts;
}

/** Sums the tasks of a loaded job that a previous owner may have started: also those of later steps, as it may not have saved that the steps before are done. */
function sumUnstartedTasks({steps}: Job): Resources {
	return sumResources([...steps.values()].map(step => multiplyResources(step.spec.room, countPendingTasks(step))));
}

function addEndpoint(usage: Map<string, AccountUsage>, endpoint: Readonly<SupervisedEndpoint>, {directory}: DirectoryView): void {
	for (const {account, resources} of endpoint.runs.values()) {
		if (account !== undefined) {
			const {running, possible} = usage.get(account) ?? noUsage;
			usage.set(account, {running: addResources(running, resources), possible: addResources(possible, resources)});
		}
	}

	for (const {account, resources} of endpoint.unsupervisedRuns) {
		addPossible(usage, account, resources ?? computeRemainder(endpoint, directory));
	}
}

/** What a run takes at most of which nothing is known: all that the known runs leave. */
function computeRemainder({id, usage}: Readonly<SupervisedEndpoint>, directory: DirectoryView['directory']): Resources {
	const capacity = directory.endpoints.get(id)?.capacity ?? noResources;
	const remainder = subtractResources(capacity, usage.resources);
	return computeResources(name => Math.max(0, remainder[name]));
}

function addPossible(usage: Map<string, AccountUsage>, account: string, resources: Resources): void {
	const {running, possible} = usage.get(account) ?? noUsage;
	usage.set(account, {running, possible: addResources(possible, resources)});
}

/** Multiplies each component. @internal */
export function multiplyResources(resources: Resources, factor: number): Resources {
	return computeResources(name => resources[name] * factor);
}
