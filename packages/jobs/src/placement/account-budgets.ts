import {passEvent, type DecisionContext} from '@pistachiogauge/chain';
import {type DirectoryView} from '../directory/index.js';
import {type JobOutput} from '../filter.js';
import {
	countPendingTasks, hasPendingTask, listIdleTimes, listPendingTasks, type Job, type LedgerView, type PoolLedger, type Step,
} from '../ledger/index.js';
import {
	addResources, computeResources, hasCapacityFor, hasComponent, noResources, subtractResources, sumResources, type AccountDemand, type Resources,
} from '../model/index.js';
import {isRetryDelayed, type ObservationView} from '../observation/index.js';
import {
	getAllowance, getCap, listUnsurveyedAccounts, measurePoolUsage, multiplyResources, type AccountUsage, type QuotaView,
} from '../quota/index.js';
import {type SupervisionView} from '../supervision/index.js';
import {
	addCount, chooseEndpoint, countRunsByEndpoint, reserveCandidate, type Candidate,
} from './choose-endpoint.js';
import {
	countStartableTasks, countTogether, mayBecomeStartable,
} from './count-startable.js';
import {listReadySteps, type RankedJob} from './order-jobs.js';
import {type PlacementState} from './placement-state.js';
import {listUnbarredCandidates} from './step-advice.js';

/** What a search may still start of one account. */
type AccountBudget = {
	readonly cap: Resources;
	/** Thousandths of a core that the account may have running in the pool. */
	readonly allowanceMillis: number;
	remaining: Resources;
	/** Whether a task waits for what is left, so that no later one takes it. */
	isReserved: boolean;
	/** Steps with tasks that wait because of the budget, in the order of their ranks. */
	readonly heldSteps: Set<Step>;
};

/** What a search of a pool may still start of each account that has a cap. @internal */
export type AccountBudgets = {
	readonly getBudget: (account: string) => AccountBudget | undefined;
	readonly known: ReadonlyMap<string, AccountBudget | undefined>;
};

/** @internal */
export type AccountOrder = (jobs: readonly Job[], allowanceMillis: number) => readonly RankedJob[];

type State = {readonly placement: PlacementState} & QuotaView & SupervisionView & LedgerView & DirectoryView;

/** A gang that waits for this long keeps later tasks of its account from starting, so that enough of the share comes free together. */
const gangReservationDelayMs = 1000;
/** Maximum number of held tasks that are looked at to measure a pool's demand, for all accounts together. */
const maxMeasuredTasks = 300;
/** The same for each account, however many there are. */
const minMeasuredTasks = 8;
/** Interval between two measurements of the same accounts; one takes about as long as a search. */
const measureIntervalMs = 50;

/** Creates the budgets of a search; what a budget allows is computed when it is first needed. @internal */
export function createAccountBudgets(state: State, pool: Readonly<PoolLedger>, {wallTime}: Pick<DecisionContext, 'wallTime'>): AccountBudgets {
	const known = new Map<string, AccountBudget | undefined>();
	let usage: ReadonlyMap<string, AccountUsage> | undefined;
	let unsurveyed: ReadonlySet<string> | undefined;
	return {
		known,
		getBudget(account) {
			if (known.has(account)) {
				return known.get(account);
			}

			const allowance = getAllowance(state, pool.pool, account);
			usage ??= measurePoolUsage(state, pool, listReservedSteps(state));
			unsurveyed ??= listUnsurveyedAccounts(state, pool, wallTime);
			const used = usage.get(account)?.possible ?? noResources;
			const budget = allowance === undefined
				? undefined
				: {
					cap: getCap(state, account) ?? computeResources(() => Number.POSITIVE_INFINITY),
					allowanceMillis: allowance.cpuMillis,
					remaining: unsurveyed.has(account) ? computeResources(name => Math.min(0, allowance[name] - used[name])) : subtractResources(allowance, used),
					isReserved: false,
					heldSteps: new Set<Step>(),
				};
			known.set(account, budget);
			return budget;
		},
	};
}

/** Takes the resources of a step's tasks from the budget of its account. @returns Whether they may be started; if not, the step is held back. @internal */
export function takeFromBudget({getBudget}: AccountBudgets, step: Step, count: number, now: number): boolean {
	const {account} = step.job.record;
	const budget = account === undefined ? undefined : getBudget(account);
	if (budget === undefined) {
		return true;
	}

	const resources = multiplyResources(step.spec.room, count);
	if (!budget.isReserved && hasBudgetFor(budget.remaining, resources)) {
		budget.remaining = subtractResources(budget.remaining, resources);
		return true;
	}

	holdStep(budget, step, resources, now);
	return false;
}

/**
Selects the jobs that their accounts' budgets allow to start a task. The others are held back before the jobs are ranked, as they would displace jobs that can start. Nothing is kept for tasks that could not start with a larger budget either: the demand that makes shares grow does not count them, so the account's other jobs would wait for good.

@param orderAccountJobs - Orders the jobs of one account, given the thousandths of a core that it may have running.
@internal
*/
export function selectWithinBudgets(state: State & ObservationView, {budgets, candidates}: {readonly budgets: AccountBudgets; readonly candidates: readonly Candidate[]}, jobs: readonly Job[], orderAccountJobs: AccountOrder, context: DecisionContext): {readonly selected: readonly Job[]; readonly held: readonly Job[]} {
	const jobsByAccount = new Map<string, Job[]>();
	for (const job of jobs) {
		const {account} = job.record;
		if (account !== undefined && !job.isAwaitingSurvey && budgets.getBudget(account) !== undefined) {
			jobsByAccount.set(account, [...jobsByAccount.get(account) ?? [], job]);
		}
	}

	const held = new Set<Job>();
	for (const [account, own] of jobsByAccount) {
		for (const job of holdBackJobs(state, {budget: budgets.getBudget(account)!, candidates}, orderAccountJobs(own, budgets.getBudget(account)!.allowanceMillis), context)) {
			held.add(job);
		}
	}

	return held.size === 0 ? {selected: jobs, held: []} : {selected: jobs.filter(job => !held.has(job)), held: [...held]};
}

/** Tells the shares what could be started now if they were larger. @internal */
export function reportAccountDemand(state: State & ObservationView, pool: string, search: {readonly candidates: readonly Candidate[]; readonly budgets: AccountBudgets} | undefined, {now}: DecisionContext): JobOutput[] {
	const owned = state.quota.ownedPools.get(pool);
	const held = [...search?.budgets.known ?? []].flatMap(([account, budget]) => budget !== undefined && budget.heldSteps.size > 0 ? [{account, budget}] : []);
	const isKnown = held.length > 0 && held.every(({account}) => owned?.demands.has(account));
	if ((held.length === 0 && (owned?.demands.size ?? 0) === 0) || (isKnown && now < (owned?.demandsMeasuredAt ?? 0) + measureIntervalMs)) {
		return [];
	}

	const maxTasks = Math.max(minMeasuredTasks, Math.ceil(maxMeasuredTasks / held.length));
	// The accounts are measured by themselves: what one of them is held back from does not keep others from room.
	const demands = new Map(held.map(({account, budget}) => [account, measureDemand(state, budget, {candidates: search!.candidates.map(candidate => ({...candidate})), maxTasks}, now)]));
	return [passEvent({kind: 'account-demand-measured', pool, demands})];
}

function measureDemand(state: State & ObservationView, {heldSteps, cap}: AccountBudget, {candidates, maxTasks}: {readonly candidates: readonly Candidate[]; readonly maxTasks: number}, now: number): AccountDemand {
	let resources = noResources;
	let unit: AccountDemand['unit'];
	let isFirst = true;
	let taskCount = 0;
	for (const step of heldSteps) {
		const {room} = step.spec;
		const counts = countRunsByEndpoint(step);
		const unbarred = listUnbarredCandidates(state, step, candidates);
		// Members of a gang count only together, so the first step is measured whole.
		const limit = isFirst ? Math.max(maxTasks, countTogether(step)) : maxTasks;
		let stepCount = 0;
		for (const task of listPendingTasks(step)) {
			if (isRetryDelayed(state, task, now)) {
				continue;
			}

			const chosen = taskCount < limit ? chooseEndpoint(unbarred, task, counts, undefined) : undefined;
			if (chosen === undefined) {
				break;
			}

			addCount(counts, chosen.endpoint.id);
			reserveCandidate(chosen, step);
			taskCount += 1;
			stepCount += 1;
		}

		if (isFirst && stepCount >= countTogether(step)) {
			unit = {resources: multiplyResources(room, countTogether(step)), stepId: `${step.job.record.id}.${step.key}`};
		}

		isFirst = false;
		if (stepCount >= countTogether(step)) {
			resources = addResources(resources, multiplyResources(room, stepCount));
		}
	}

	return {
		resources: computeResources(name => cap[name] === 0 ? resources[name] : Math.min(resources[name], cap[name])),
		unit,
		jobCount: new Set([...heldSteps].map(({job}) => job)).size,
	};
}

/** Finds the jobs of an account of which the budget allows no task to start. */
function holdBackJobs(state: State & ObservationView, {budget, candidates}: {readonly budget: AccountBudget; readonly candidates: readonly Candidate[]}, ranked: readonly RankedJob[], context: DecisionContext): Job[] {
	const total = sumResources(ranked.map(({job}) => sumPendingTasks(job)));
	if (hasBudgetFor(budget.remaining, total)) {
		return [];
	}

	const held: Job[] = [];
	let {remaining} = budget;
	for (const {job} of ranked) {
		const pendingSteps = listReadySteps(job).filter(step => hasPendingTask(step));
		let isStartable = pendingSteps.length === 0;
		for (const step of pendingSteps) {
			const resources = multiplyResources(step.spec.room, countTogether(step));
			const startableCount = countStartableTasks(state, step, candidates, context);
			if (!budget.isReserved && hasBudgetFor(remaining, resources)) {
				isStartable = true;
				const all = subtractResources(remaining, multiplyResources(step.spec.room, startableCount));
				remaining = computeResources(name => Math.max(0, all[name]));
			} else if (startableCount > 0) {
				holdStep(budget, step, resources, context.now);
			} else if (mayBecomeStartable(state, step, candidates, context.now)) {
				// It needs advice, which is requested once the budget allows the step to be tried; others may use the budget until then.
				addHeldStep(budget, step, resources);
			}
		}

		if (!isStartable) {
			held.push(job);
		}
	}

	// Those that come first take what is left; the search itself finds out for which task it does not suffice.
	budget.isReserved = false;
	return held;
}

/** Holds back a step that could start if its account's budget were larger, and keeps what is left of the budget for it. */
function holdStep(budget: AccountBudget, step: Step, resources: Resources, now: number): void {
	if (addHeldStep(budget, step, resources)) {
		budget.isReserved ||= !step.spec.isGang || [...listIdleTimes(step)].some(idleSince => now > idleSince + gangReservationDelayMs);
	}
}

/** Counts a step in the demand for a larger budget. @returns False if the cap never allows it. */
function addHeldStep(budget: AccountBudget, step: Step, resources: Resources): boolean {
	if (hasComponent(name => budget.cap[name] > 0 && resources[name] > budget.cap[name])) {
		return false;
	}

	budget.heldSteps.add(step);
	return true;
}

function sumPendingTasks(job: Job): Resources {
	return sumResources(listReadySteps(job).map(step => multiplyResources(step.spec.room, countPendingTasks(step))));
}

/** Whether a budget covers resources; what takes nothing of a component needs none of it. */
function hasBudgetFor(remaining: Resources, resources: Resources): boolean {
	return hasCapacityFor(computeResources(name => resources[name] === 0 ? 0 : remaining[name]), resources);
}

/** Lists the endpoints and steps of tasks that are placed and not supervised yet. @internal */
export function * listReservedSteps({placement}: Pick<State, 'placement'>): Generator<{readonly endpointId: string; readonly step: Step}> {
	for (const [endpointId, steps] of placement.reservedSteps) {
		for (const step of steps.values()) {
			yield {endpointId, step};
		}
	}
}
