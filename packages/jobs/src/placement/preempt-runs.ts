import {appendItems, restartEvent, type DecisionContext} from '@pistachiogauge/chain';
import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {
	findTask, listPendingTasks, type Job, type PoolLedger, type Step, type Task,
} from '../ledger/index.js';
import {
	addResources, hasCapacityFor, subtractResources, type Resources,
} from '../model/index.js';
import {createDurationPredictor, getJobEstimate, type ObservationView} from '../observation/index.js';
import {isInProgress, type Run, type SupervisionView} from '../supervision/index.js';
import {lateShare} from '../value/index.js';
import {getTakenResources, type Candidate} from './choose-endpoint.js';
import {type PoolDisplacement} from './displacement-state.js';
import {followPreemptedTask} from './measure-discarded.js';
import {computeValue} from './order-by-least-cost.js';
import {
	listReadySteps, rankJob, type ObjectiveStatus, type RankedJob,
} from './order-jobs.js';
import {type PlacementSearch} from './placement-search.js';
import {type PlacementState, type PreemptionCosts} from './placement-state.js';
import {getAccount} from './classify-jobs.js';
import {getAccountLabel} from './report-displaced.js';

/** Minimum interval between two searches of a pool for runs to preempt. */
const preemptionIntervalMs = 50;
/** Maximum number of waiting tasks for which one search looks for a run to stop, as it has to look at all runs of the pool. */
const maxVictimSearches = 4;
/** Maximum number of runs of one job that are stopped in favour of others. */
const maxPreemptionsPerJob = 2;
/** Maximum number of waiting tasks for which a search predicts where they find room. */
const maxPredictedTasks = 200;
/** Minimum ratio of the value that a job gains to the value that is lost, as both are estimates. */
const minGainRatio = 2;
/** The same for a job of priority 0 in favour of which a run of a lower priority is stopped; the value of the other job does not count. */
const minUrgentGainRatio = 1;
/** Minimum ratio of the wait that is avoided to the time that a preemption takes. */
const minWaitRatio = 1.5;
/** Time that a task needs to be started once there is room. */
const startMarginMs = 100;

/** Whether a job of each status can still be on time if a run is stopped in its favour. A displaced job can: it is displaced as others occupy the pool. */
const canPreempt: Readonly<Record<ObjectiveStatus, boolean>> = {
	serving: false, timely: true, displaced: true, late: false, hopeless: false,
};

type State = {readonly placement: PlacementState} & SupervisionView & ObservationView;

/** Why a run is preempted: for a job of priority 0, or for one of higher value. */
type PreemptionReason = 'urgent' | 'higher-value';

/** Room on an endpoint now and as its runs end. */
type Forecast = {
	readonly candidate: Candidate;
	free: Resources;
	/** Times until its runs end, in ms, and what they release, the earliest first. */
	readonly releases: Array<{readonly inMs: number; readonly resources: Resources}>;
	/** Time until the releases that are part of `free`. */
	reachedMs: number;
};

type Victim = {readonly task: Task; readonly run: Readonly<Run>; readonly loss: number; readonly discardedWork: number};

/**
Requests stops of checkpointed runs in favour of jobs that rank higher, find no room, and would miss their objective if they waited for it.

A run is stopped only if that costs less value than the wait. It costs the work since the last checkpoint, the stop and the restore, for the capacity, and what the other job loses if it misses its objective because of them.

@internal
*/
export function preemptRuns(state: State, pool: Readonly<PoolLedger>, search: PlacementSearch, ordered: readonly RankedJob[], context: DecisionContext): JobOutput[] {
	const {placement} = state;
	const displacement = placement.displacements.get(pool.pool);
	const waiting = new Set(search.waitingJobs.get('no-room'));
	if (displacement === undefined || waiting.size === 0 || context.now < displacement.preemptedAt + preemptionIntervalMs) {
		return [];
	}

	displacement.preemptedAt = context.now;
	const forecasts = search.candidates.map(candidate => createForecast(state, pool, candidate, context.now));
	const outputs: JobOutput[] = [];
	const stopped = new Set<Readonly<Run>>();
	let victimSearchCount = 0;
	let predictedCount = 0;
	for (const ranked of ordered) {
		if (!canPreempt[ranked.objectiveStatus] || !waiting.has(ranked.job)) {
			continue;
		}

		for (const step of listReadySteps(ranked.job).filter(({spec}) => !spec.isGang && !spec.isLongRunning)) {
			for (const task of listPendingTasks(step)) {
				predictedCount += 1;
				if (predictedCount > maxPredictedTasks || victimSearchCount >= maxVictimSearches) {
					return outputs;
				}

				const room = acquireRoom(forecasts, step);
				const waitMs = room?.inMs ?? Number.POSITIVE_INFINITY;
				if (canWait(ranked, waitMs, placement.preemptionCosts)) {
					continue;
				}

				victimSearchCount += 1;
				const found = findVictim(state, {
					pool, displacement, ranked, step, stopped,
				}, forecasts, context);
				if (found === undefined) {
					// The other tasks of the step would find none either.
					break;
				}

				// The task takes the room of the stopped run in place of that which it would have waited for.
				room?.forecast.releases.unshift({inMs: room.inMs, resources: getTakenResources(step)});
				found.forecast.free = subtractResources(addResources(found.forecast.free, getReleased(found.victim.run)), getTakenResources(step));
				stopped.add(found.victim.run);
				appendItems(outputs, preemptRun(state, {
					pool, displacement, ranked, task, waitMs, victim: found.victim,
				}));
			}
		}
	}

	return outputs;
}

function createForecast({supervision, observation, placement}: State, pool: Readonly<PoolLedger>, candidate: Candidate, now: number): Forecast {
	const releases: Array<Forecast['releases'][number]> = [];
	for (const run of supervision.endpoints.get(candidate.endpoint.id)?.runs.values() ?? []) {
		const task = findTask(pool, run.taskId);
		if (run.stopRequestedAt !== undefined) {
			releases.push({inMs: Math.max(0, run.stopRequestedAt + placement.preemptionCosts.stopMs - now), resources: getReleased(run)});
		} else if (task !== undefined && !run.isLongRunning) {
			const predictedMs = createDurationPredictor({observation}, task.step.job.record.queue)(task.step.spec, task.step);
			releases.push({inMs: Math.max(0, predictedMs * (1 - (run.percent / 100))), resources: getReleased(run)});
		}
	}

	return {
		candidate, free: candidate.free, releases: releases.sort((left, right) => left.inMs - right.inMs), reachedMs: 0,
	};
}

function getReleased({resources, isFiller}: Readonly<Run>): Resources {
	return isFiller ? {...resources, cpuMillis: 0} : resources;
}

/** Reserves the first room that a task finds as runs end. @returns Where that is, and the time until then in ms; undefined if there is none. */
function acquireRoom(forecasts: readonly Forecast[], step: Step): {readonly forecast: Forecast; readonly inMs: number} | undefined {
	const taken = getTakenResources(step);
	let best: {readonly forecast: Forecast; readonly inMs: number; readonly count: number; readonly free: Resources} | undefined;
	for (const forecast of forecasts) {
		if (!hasLabelFor(forecast.candidate, step)) {
			continue;
		}

		let {free, reachedMs: inMs} = forecast;
		let count = 0;
		while (!hasCapacityFor(free, taken) && count < forecast.releases.length) {
			const release = forecast.releases[count]!;
			free = addResources(free, release.resources);
			inMs = Math.max(inMs, release.inMs);
			count += 1;
		}

		if (hasCapacityFor(free, taken) && (best === undefined || inMs < best.inMs)) {
			best = {
				forecast, inMs, count, free,
			};
		}
	}

	if (best === undefined) {
		return undefined;
	}

	best.forecast.free = subtractResources(best.free, taken);
	best.forecast.releases.splice(0, best.count);
	best.forecast.reachedMs = best.inMs;
	return best;
}

function hasLabelFor({endpoint}: Candidate, {spec}: Step): boolean {
	return spec.requiredLabel === undefined || endpoint.labels.includes(spec.requiredLabel);
}

/** Whether a job had better wait: it is on time all the same, or a preemption would come too late or would not be clearly shorter. */
function canWait({job, slackMs}: RankedJob, waitMs: number, {stopMs, checkpointMs, restoreMs}: PreemptionCosts): boolean {
	const takesMs = stopMs + (job.record.priority === 0 ? 0 : checkpointMs + restoreMs);
	return waitMs + startMarginMs <= slackMs || stopMs + startMarginMs > slackMs || waitMs < minWaitRatio * takesMs;
}

type Preemptor = {
	readonly pool: Readonly<PoolLedger>;
	readonly displacement: PoolDisplacement;
	readonly ranked: RankedJob;
	readonly step: Step;
	/** Runs that this search has stopped. */
	readonly stopped: ReadonlySet<Readonly<Run>>;
};

/** Finds the run whose stop costs least and makes room for a task of the step. */
function findVictim(state: State, preemptor: Preemptor, forecasts: readonly Forecast[], context: DecisionContext): {readonly forecast: Forecast; readonly victim: Victim} | undefined {
	const taken = getTakenResources(preemptor.step);
	const gain = (1 - lateShare) * computeValue(preemptor.displacement, preemptor.ranked);
	let best: {readonly forecast: Forecast; readonly victim: Victim} | undefined;
	for (const forecast of forecasts) {
		if (!hasLabelFor(forecast.candidate, preemptor.step)) {
			continue;
		}

		for (const run of state.supervision.endpoints.get(forecast.candidate.endpoint.id)?.runs.values() ?? []) {
			if (preemptor.stopped.has(run) || !hasCapacityFor(addResources(forecast.candidate.free, getReleased(run)), taken)) {
				continue;
			}

			const victim = estimateLoss(state, preemptor, run, context);
			const minRatio = victim?.isUrgent === true ? minUrgentGainRatio : minGainRatio;
			if (victim !== undefined && gain >= minRatio * victim.loss && (best === undefined || victim.loss < best.victim.loss)) {
				best = {forecast, victim};
			}
		}
	}

	return best;
}

/** Computes what a stop of a run costs. @returns Undefined if the run may not be stopped in favour of the job. */
function estimateLoss(state: State, {pool, displacement, ranked, step}: Preemptor, run: Readonly<Run>, context: DecisionContext): (Victim & {readonly isUrgent: boolean}) | undefined {
	const task = findTask(pool, run.taskId);
	if (task === undefined || !isPreemptible(displacement, task, run)) {
		return undefined;
	}

	const {job} = task.step;
	const isUrgent = ranked.job.record.priority === 0 && job.record.priority > 0;
	const isEntitled = (other: Job) => displacement.profiles.get(other)?.isEntitled ?? true;
	if (job === ranked.job || (!isUrgent && job.record.priority === 0) || (isEntitled(job) && !isEntitled(ranked.job))) {
		return undefined;
	}

	const {checkpointMs, stopMs, restoreMs} = state.placement.preemptionCosts;
	const discardedMs = Math.min(checkpointMs, context.now - run.startedAt);
	const discardedWork = discardedMs * run.resources.cpuMillis;
	const victimRank = rankJob(job, getJobEstimate(state, job, context.now), context.now);
	// The capacity that is lost would have yielded as much as the other job yields.
	const density = computeValue(displacement, victimRank) / Math.max(1, victimRank.totalWork);
	const capacityLoss = density * (discardedWork + ((stopMs + restoreMs) * run.resources.cpuMillis));
	const blockedMs = createDurationPredictor(state, ranked.job.record.queue)(step.spec, step);
	const isMissed = discardedMs + stopMs + restoreMs + blockedMs > victimRank.slackMs;
	const valueLoss = isMissed && !isUrgent ? computeValue(displacement, victimRank) * (victimRank.objectiveStatus === 'timely' ? 1 - lateShare : 1) : 0;
	return {
		task, run, loss: capacityLoss + valueLoss, discardedWork, isUrgent,
	};
}

/** Whether a run may be stopped in favour of another job. Long-running tasks, fillers and gangs never are: their stop ends a service, sets no CPU free, or stops other members. */
function isPreemptible({preemptionCounts}: PoolDisplacement, {step}: Task, run: Readonly<Run>): boolean {
	const {spec, job} = step;
	return isInProgress(run) && spec.isCheckpointing && !spec.isLongRunning && !spec.isFiller && !spec.isGang && (preemptionCounts.get(job) ?? 0) < maxPreemptionsPerJob;
}

function preemptRun({placement}: State, {pool, displacement, ranked, task, waitMs, victim}: {
	readonly pool: Readonly<PoolLedger>;
	readonly displacement: PoolDisplacement;
	readonly ranked: RankedJob;
	readonly task: Task;
	readonly waitMs: number;
	readonly victim: Victim;
}): JobOutput[] {
	const {job} = victim.task.step;
	const reason: PreemptionReason = ranked.job.record.priority === 0 && job.record.priority > 0 ? 'urgent' : 'higher-value';
	const account = getAccountLabel(placement.accountLabels, getAccount(job));
	followPreemptedTask(displacement, victim.task, victim.run);
	displacement.preemptionCounts.set(job, (displacement.preemptionCounts.get(job) ?? 0) + 1);
	return [
		emitCount(`runs_preempted_total{reason="${reason}",account="${account}"}`),
		emitLog('info', 'run preempted', {
			pool: pool.pool, task: victim.task.id, run: victim.run.run, percent: victim.run.percent, account, reason, for: task.id, waitMs: Number.isFinite(waitMs) ? Math.round(waitMs) : undefined, slackMs: Math.round(ranked.slackMs), discardedCoreMsLimit: Math.round(victim.discardedWork / 1000),
		}),
		restartEvent({
			kind: 'run-stop-requested', pool: pool.pool, taskId: victim.task.id, reason: `preempted in favour of ${task.id}`,
		}),
	];
}
