import {type Step, type Task} from '../ledger/index.js';
import {
	computeResources, hasCapacityFor, subtractResources, type Endpoint, type Resources,
} from '../model/index.js';

/** An endpoint that can be given tasks, with its free resources. @internal */
export type Candidate = {
	readonly endpoint: Endpoint;
	free: Resources;
	/** Number of filler runs; they share the CPU time that all other runs leave. */
	fillerCount: number;
	/** Number of serving runs: long-running ones that are not fillers. */
	servingCount: number;
	/** Number of starts that may be sent there before others are answered; negative beyond that. */
	startsLeft: number;
	/** Ratio of measured to expected durations. */
	readonly slowness: number;
};

/** Cost of one filler or serving run on the same endpoint, relative to a share of the endpoint's free CPU; a run that may interfere outweighs any share. */
const interferenceWeight = 1;

/** Resources that a task takes from an endpoint. A filler task takes no CPU, as it uses only what others leave. @internal */
export function getTakenResources(step: Step): Resources {
	const {room, isFiller} = step.spec;
	return isFiller ? {...room, cpuMillis: 0} : room;
}

/**
Chooses the endpoint on which a task will run.

@param counts - Runs of the task's step by endpoint.
@param avoid - Endpoint on which the task failed last; chosen only if there is no other.
@returns Undefined if no endpoint has the resources.
@internal
*/
export function chooseEndpoint(candidates: readonly Candidate[], task: Task, counts: ReadonlyMap<string, number>, avoid: string | undefined): Candidate | undefined {
	const {step} = task;
	const taken = getTakenResources(step);
	let best: Candidate | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		if (!canRun(candidate, step, taken, counts)) {
			continue;
		}

		const cost = computeCost(candidate, step, taken, counts) + (candidate.endpoint.id === avoid ? 100 : 0);
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}

/** Lists the candidates that can take a task of a step, the best first. @internal */
export function listRunnableCandidates(candidates: readonly Candidate[], step: Step): Candidate[] {
	const taken = getTakenResources(step);
	const counts = countRunsByEndpoint(step);
	return candidates
		.filter(candidate => canRun(candidate, step, taken, counts))
		.map(candidate => ({candidate, cost: computeCost(candidate, step, taken, counts)}))
		.sort((left, right) => left.cost - right.cost)
		.map(({candidate}) => candidate);
}

/** Counts the tasks of a step that the candidates have room for, up to a maximum. @internal */
export function countFittingTasks(candidates: readonly Candidate[], step: Step, maximum: number): number {
	const taken = getTakenResources(step);
	const counts = countRunsByEndpoint(step);
	let count = 0;
	for (const candidate of candidates) {
		if (count >= maximum) {
			break;
		}

		if (canRun(candidate, step, taken, counts)) {
			const {endpoint, free} = candidate;
			const fits = computeResources(name => taken[name] === 0 ? Number.POSITIVE_INFINITY : Math.floor(free[name] / taken[name]));
			count += Math.min(fits.cpuMillis, fits.memoryMb, fits.gpus, (step.spec.endpointLimit ?? Number.POSITIVE_INFINITY) - (counts.get(endpoint.id) ?? 0));
		}
	}

	return Math.min(count, maximum);
}

/** Takes a task's resources from a candidate, and counts the task as a run there. @internal */
export function reserveCandidate(candidate: Candidate, step: Step): void {
	candidate.free = subtractResources(candidate.free, getTakenResources(step));
	candidate.fillerCount += step.spec.isFiller ? 1 : 0;
	candidate.servingCount += step.spec.tailTargetMs === undefined ? 0 : 1;
	candidate.startsLeft -= 1;
}

function canRun({endpoint, free}: Candidate, step: Step, taken: Resources, counts: ReadonlyMap<string, number>): boolean {
	const {requiredLabel, endpointLimit} = step.spec;
	if (!hasCapacityFor(free, taken)) {
		return false;
	}

	if (requiredLabel !== undefined && !endpoint.labels.includes(requiredLabel)) {
		return false;
	}

	return endpointLimit === undefined || (counts.get(endpoint.id) ?? 0) < endpointLimit;
}

function computeCost(candidate: Candidate, step: Step, taken: Resources, counts: ReadonlyMap<string, number>): number {
	const {endpoint, free, fillerCount, servingCount, slowness} = candidate;
	const {dataRack, isLongRunning, isFiller} = step.spec;
	const rackCost = dataRack === undefined || endpoint.labels.includes(dataRack) ? 0 : 10;
	const freeShare = (free.cpuMillis - taken.cpuMillis) / Math.max(1, endpoint.capacity.cpuMillis);
	const slowCost = 4 * Math.max(0, slowness - 1);
	if (isFiller) {
		return rackCost + slowCost - freeShare + (interferenceWeight * (fillerCount + servingCount));
	}

	if (isLongRunning) {
		// On two endpoints or more, so that losing one does not stop all tasks; on few, so that the others can be released.
		const ownCount = counts.get(endpoint.id) ?? 0;
		const isCrowded = ownCount > 0 && ownCount >= step.tasks.size / 2;
		return rackCost + slowCost + freeShare + (isCrowded ? 2 : 0) - (servingCount > 0 ? 1 : 0) + (interferenceWeight * fillerCount);
	}

	return rackCost + slowCost + freeShare;
}

/** Counts the runs of a step by endpoint. @internal */
export function countRunsByEndpoint(step: Step): Map<string, number> {
	const counts = new Map<string, number>();
	for (const task of step.tasks.started.values()) {
		for (const endpointId of task.runs.values()) {
			addCount(counts, endpointId);
		}
	}

	return counts;
}

/** Counts another run on an endpoint. @internal */
export function addCount(counts: Map<string, number>, endpointId: string): void {
	counts.set(endpointId, (counts.get(endpointId) ?? 0) + 1);
}
