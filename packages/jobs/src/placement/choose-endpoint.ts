import {type Step, type Task} from '../ledger/index.js';
import {
	hasCapacityFor, subtractResources, type Endpoint, type Resources,
} from '../model/index.js';

/** An endpoint that may be given tasks, and what is free there. @internal */
export type Candidate = {
	readonly endpoint: Endpoint;
	free: Resources;
	/** Processors left over after all runs, shared by tasks that fill, and how many of these there are. */
	fillerCount: number;
	servingCount: number;
	/** Measured against expected durations. */
	readonly slowness: number;
};

/** Weight of one task that fills or serves against a share of the endpoint's free processors; a neighbour costs more than any share. */
const neighbourWeight = 1;

/** Room that a task takes of an endpoint; one that fills uses the processors that others leave. @internal */
export function getTakenRoom(step: Step): Resources {
	const {room, isFiller} = step.spec;
	return isFiller ? {...room, cpuMillis: 0} : room;
}

/**
Chooses where a task runs.

@param avoid - Endpoint on which it failed last; taken only if there is no other.
@returns Undefined when none has room.
@internal
*/
export function chooseEndpoint(candidates: readonly Candidate[], task: Task, avoid: string | undefined): Candidate | undefined {
	const {step} = task;
	const taken = getTakenRoom(step);
	const counts = countByEndpoint(step);
	let best: Candidate | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		if (!mayRun(candidate, step, taken, counts)) {
			continue;
		}

		const cost = getCost(candidate, step, taken, counts) + (candidate.endpoint.id === avoid ? 100 : 0);
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}

/** Counts a task's room as taken. @internal */
export function takeCandidate(candidate: Candidate, step: Step): void {
	candidate.free = subtractResources(candidate.free, getTakenRoom(step));
	candidate.fillerCount += step.spec.isFiller ? 1 : 0;
	candidate.servingCount += step.spec.tailTargetMs === undefined ? 0 : 1;
}

function mayRun({endpoint, free}: Candidate, step: Step, taken: Resources, counts: ReadonlyMap<string, number>): boolean {
	const {requiredLabel, endpointLimit} = step.spec;
	if (!hasCapacityFor(free, taken)) {
		return false;
	}

	if (requiredLabel !== undefined && !endpoint.labels.includes(requiredLabel)) {
		return false;
	}

	return endpointLimit === undefined || (counts.get(endpoint.id) ?? 0) < endpointLimit;
}

function getCost(candidate: Candidate, step: Step, taken: Resources, counts: ReadonlyMap<string, number>): number {
	const {endpoint, free, fillerCount, servingCount, slowness} = candidate;
	const {dataRack, isLongRunning, isFiller} = step.spec;
	const rackCost = dataRack === undefined || endpoint.labels.includes(dataRack) ? 0 : 10;
	const freeShare = (free.cpuMillis - taken.cpuMillis) / Math.max(1, endpoint.capacity.cpuMillis);
	const slowCost = 4 * Math.max(0, slowness - 1);
	if (isFiller) {
		return rackCost + slowCost - freeShare + (neighbourWeight * (fillerCount + servingCount));
	}

	if (isLongRunning) {
		// On two endpoints or more, so that one's loss does not take all; on few, so that the others can be given away.
		const ownCount = counts.get(endpoint.id) ?? 0;
		const isCrowded = ownCount > 0 && ownCount >= step.tasks.length / 2;
		return rackCost + slowCost + freeShare + (isCrowded ? 2 : 0) - (servingCount > 0 ? 1 : 0) + (neighbourWeight * fillerCount);
	}

	return rackCost + slowCost + freeShare;
}

function countByEndpoint(step: Step): Map<string, number> {
	const counts = new Map<string, number>();
	for (const task of step.tasks) {
		for (const endpointId of task.runs.values()) {
			counts.set(endpointId, (counts.get(endpointId) ?? 0) + 1);
		}
	}

	return counts;
}
