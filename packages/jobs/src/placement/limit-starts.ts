import {type Job} from '../ledger/index.js';
import {addResources, noResources, type Resources} from '../model/index.js';
import {type SupervisedEndpoint, type SupervisionView} from '../supervision/index.js';
import {type Candidate} from './choose-endpoint.js';
import {type PlacementSearch} from './placement-search.js';

/** Number of starts that an endpoint is sent before others are answered. A start that waits for longer than its validity to be sent is lost. */
const maxUnansweredStarts = 64;
/** The same for the first tasks of jobs, so that a job does not stand still until all starts of larger ones have been sent. */
const reservedStarts = 16;
/** Number of starts of one search, so that other work of this entry does not wait for long. */
const maxSearchStarts = 1000;
/** Number of runs that this entry supervises, of all its pools. One takes about 2 kB here. */
const maxRuns = 20_000;

/** Counts the starts that an endpoint can be sent before others are answered. @internal */
export function countStartsLeft({runs}: Readonly<SupervisedEndpoint>): number {
	let count = maxUnansweredStarts;
	for (const {phase} of runs.values()) {
		count -= phase === 'running' ? 0 : 1;
	}

	return count;
}

/** Counts the starts that a search may request. @internal */
export function countSearchStarts({supervision}: SupervisionView): number {
	let runCount = 0;
	for (const {runs} of supervision.endpoints.values()) {
		runCount += runs.size;
	}

	return Math.min(maxSearchStarts, maxRuns - runCount);
}

/** Whether another task may be started on a candidate. @internal */
export function mayStart(search: PlacementSearch, candidate: Candidate): boolean {
	return search.startsLeft > 0 && candidate.startsLeft > 0;
}

/** Lists the candidates that may be sent the first start of a job beyond the limits, from the reserve of `reservedStarts`; other reservations of placement are for starts that are on their way. There are none if something of the job runs or room is short: without room to spare, the reserve would change which jobs come first. @internal */
export function listReservedCandidates({candidates}: PlacementSearch, job: Job, allowed: readonly Candidate[]): readonly Candidate[] {
	return hasRuns(job) || !isHalfFree(candidates) ? [] : allowed.filter(({startsLeft}) => startsLeft > -reservedStarts);
}

function hasRuns({steps}: Job): boolean {
	for (const {tasks} of steps.values()) {
		for (const {runs} of tasks.started.values()) {
			if (runs.size > 0) {
				return true;
			}
		}
	}

	return false;
}

function isHalfFree(candidates: readonly Candidate[]): boolean {
	let free: Resources = noResources;
	let capacity: Resources = noResources;
	for (const candidate of candidates) {
		free = addResources(free, candidate.free);
		capacity = addResources(capacity, candidate.endpoint.capacity);
	}

	return 2 * free.cpuMillis >= capacity.cpuMillis && 2 * free.memoryMb >= capacity.memoryMb;
}
