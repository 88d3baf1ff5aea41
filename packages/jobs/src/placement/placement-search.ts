import {type DecisionContext} from '@pistachiogauge/chain';
import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {type Job, type Step} from '../ledger/index.js';
import {hasCapacityFor, type Resources} from '../model/index.js';
import {type AccountBudgets} from './account-budgets.js';
import {getTakenResources, type Candidate} from './choose-endpoint.js';
import {countEndpointUses} from './endpoint-use.js';
import {type PlacementState, type WaitReason} from './placement-state.js';

/** What a task needs of its endpoint. */
type Demand = {readonly resources: Resources; readonly requiredLabel: string | undefined};

/** State of one search of a pool for tasks to start. Candidates only lose resources in it, so a demand that fits on none does not fit later either. @internal */
export type PlacementSearch = {
	readonly candidates: readonly Candidate[];
	readonly budgets: AccountBudgets;
	/** Demands that fit on no candidate, none of which includes another one. */
	unplacedDemands: Demand[];
	/** Whether a demand fits on an endpoint without runs, by demand. */
	readonly attainableDemands: Map<string, boolean>;
	/** Number of steps that were tried in vain for another reason than their demand. */
	blockedStepCount: number;
	readonly waitingJobs: Map<WaitReason, Job[]>;
	/** Number of starts that the search may still request; negative beyond that. */
	startsLeft: number;
};

/** Maximum number of demands that a search remembers as fitting nowhere; a step with another one is only tried in vain. */
const maxUnplacedDemands = 16;
/** Number of blocked steps that are tried in each search; the others are tried again after a delay. */
const maxBlockedSteps = 10;
/** Delay before a step is tried again that was blocked when many others were. */
const blockedRetryDelayMs = 250;
/** Minimum interval between two log lines on the waiting jobs of a pool. */
const waitLogIntervalMs = 5000;
/** Time for which jobs are usually waiting without anything being wrong. */
const usualWaitMs = 3000;
/** Maximum number of jobs that a log line names for each reason. */
const maxLoggedJobs = 5;

/** @internal */
export function createPlacementSearch(candidates: readonly Candidate[], budgets: AccountBudgets, startsLeft: number): PlacementSearch {
	return {
		candidates, budgets, unplacedDemands: [], attainableDemands: new Map(), blockedStepCount: 0, waitingJobs: new Map(), startsLeft,
	};
}

/** Whether a candidate could take a task of the step if it had no runs. @internal */
export function isAttainable(search: PlacementSearch, step: Step): boolean {
	const {resources, requiredLabel} = getDemand(step);
	if (requiredLabel === undefined && search.candidates.length > 0 && hasCapacityFor(search.candidates[0]!.endpoint.capacity, resources)) {
		return true;
	}

	const key = `${resources.cpuMillis} ${resources.memoryMb} ${resources.gpus} ${requiredLabel ?? ''}`;
	const known = search.attainableDemands.get(key);
	if (known !== undefined) {
		return known;
	}

	const isFitting = search.candidates.some(({endpoint}) => hasLabel(endpoint.labels, requiredLabel) && hasCapacityFor(endpoint.capacity, resources));
	search.attainableDemands.set(key, isFitting);
	return isFitting;
}

/** Returns why a step need not be tried: its demand includes one that has not fit, or it was blocked a moment ago and many others are. @internal */
export function getKnownWaitReason({blockedSteps}: PlacementState, search: PlacementSearch, step: Step, {now}: DecisionContext): WaitReason | undefined {
	const {resources, requiredLabel} = getDemand(step);
	if (search.unplacedDemands.some(demand => isIncluded(demand, resources, requiredLabel))) {
		return 'no-room';
	}

	const blocked = blockedSteps.get(step);
	return blocked !== undefined && search.blockedStepCount >= maxBlockedSteps && now < blocked.at + blockedRetryDelayMs ? blocked.reason : undefined;
}

/** Records that a step was tried in vain, and returns why. @internal */
export function recordUnplacedStep({blockedSteps}: PlacementState, search: PlacementSearch, step: Step, {now}: DecisionContext): WaitReason {
	const {resources, requiredLabel} = getDemand(step);
	if (!search.candidates.some(({endpoint, free}) => hasLabel(endpoint.labels, requiredLabel) && hasCapacityFor(free, resources))) {
		const others = search.unplacedDemands.filter(demand => !isIncluded({resources, requiredLabel}, demand.resources, demand.requiredLabel));
		search.unplacedDemands = [...others, {resources, requiredLabel}].slice(-maxUnplacedDemands);
		return 'no-room';
	}

	const reason = findBlockingReason(step);
	search.blockedStepCount += 1;
	blockedSteps.set(step, {at: now, reason});
	return reason;
}

/** Records that a job has tasks that wait. @internal */
export function recordWaitingJob({waitingJobs}: PlacementSearch, job: Job, reason: WaitReason): void {
	const jobs = waitingJobs.get(reason);
	if (jobs === undefined) {
		waitingJobs.set(reason, [job]);
	} else if (jobs.at(-1) !== job) {
		jobs.push(job);
	}
}

/** Counts the jobs that wait by reason, and logs those that have waited for long. @internal */
export function reportWaitingJobs(placement: PlacementState, pool: string, {candidates, waitingJobs}: PlacementSearch, {now}: DecisionContext): JobOutput[] {
	const {waitLoggedAt} = placement;
	const outputs = [...waitingJobs].map(([reason, jobs]) => emitCount(`jobs_unplaced_total{reason="${reason}"}`, jobs.length));
	if (now < (waitLoggedAt.get(pool) ?? Number.NEGATIVE_INFINITY) + waitLogIntervalMs) {
		return outputs;
	}

	const overdue = Object.fromEntries([...waitingJobs].map(([reason, jobs]) => [reason, jobs.filter(job => now > job.firstSeenAt + usualWaitMs)] as const).filter(([, jobs]) => jobs.length > 0));
	if (Object.keys(overdue).length === 0) {
		return outputs;
	}

	waitLoggedAt.set(pool, now);
	return [...outputs, emitLog('info', 'jobs have waited for endpoints', {
		pool,
		endpoints: candidates.length,
		endpointUses: countEndpointUses(placement, pool, now),
		counts: Object.fromEntries(Object.entries(overdue).map(([reason, jobs]) => [reason, jobs.length])),
		jobs: Object.fromEntries(Object.entries(overdue).map(([reason, jobs]) => [reason, jobs.slice(0, maxLoggedJobs).map(({record}) => record.id)])),
	})];
}

function getDemand(step: Step): Demand {
	return {resources: getTakenResources(step), requiredLabel: step.spec.requiredLabel};
}

/** Whether whatever has the given resources and label meets the demand as well. */
function isIncluded(demand: Demand, resources: Resources, requiredLabel: string | undefined): boolean {
	return (demand.requiredLabel === undefined || demand.requiredLabel === requiredLabel) && hasCapacityFor(resources, demand.resources);
}

function hasLabel(labels: readonly string[], requiredLabel: string | undefined): boolean {
	return requiredLabel === undefined || labels.includes(requiredLabel);
}

function findBlockingReason({job, spec}: Step): WaitReason {
	if (job.record.advice !== undefined) {
		return 'advice';
	}

	return spec.isGang ? 'gang' : 'endpoint-limit';
}
