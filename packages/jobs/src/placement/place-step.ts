import {appendItems, restartEvent, type DecisionContext} from '@pistachiogauge/chain';
import {getPermittedMs, type AuthorityView} from '../authority/index.js';
import {emitLog, type JobOutput} from '../filter.js';
import {
	countPendingTasks, keepTask, listPendingTasks, type Step, type Task,
} from '../ledger/index.js';
import {isRetryDelayed, type ObservationView} from '../observation/index.js';
import {type SupervisionView} from '../supervision/index.js';
import {
	addCount, chooseEndpoint, countRunsByEndpoint, listRunnableCandidates, reserveCandidate, type Candidate,
} from './choose-endpoint.js';
import {takeFromBudget} from './account-budgets.js';
import {countWaitingTasks} from './count-startable.js';
import {listReservedCandidates, mayStart} from './limit-starts.js';
import {recordUnplacedStep, type PlacementSearch} from './placement-search.js';
import {type PlacementState, type WaitReason} from './placement-state.js';
import {
	canRequestAdvice, getTicket, listAllowedCandidates, listTicketedCandidates, requestAdvice,
} from './step-advice.js';

/** Minimum number of endpoints whose tickets are renewed together, so that one that falls silent does not cost another call. */
const minRenewedTickets = 4;

type State = {readonly placement: PlacementState} & AuthorityView & SupervisionView & ObservationView;

/** What became of a step in a search for tasks to start; the reason is that of its tasks that still wait. @internal */
export type PlacementResult = {readonly outputs: JobOutput[]; readonly waitReason: WaitReason | undefined};

/** Places the pending tasks of a step, as many as the candidates can take. @internal */
export function placeStep(state: State, step: Step, search: PlacementSearch, context: DecisionContext): PlacementResult {
	const {candidates} = search;
	const placed: JobOutput[] = [];
	const ticketed = listTicketedCandidates(state, step, candidates, context);
	const run = step.job.lastRun + 1;
	const counts = countRunsByEndpoint(step);
	let startable = ticketed.filter(candidate => mayStart(search, candidate));
	for (const task of listPendingTasks(step)) {
		if (isRetryDelayed(state, task, context.now)) {
			continue;
		}

		const failedEndpoint = state.observation.lastFailedEndpoints.get(task);
		const choose = (from: readonly Candidate[]) => chooseEndpoint(from, task, counts, failedEndpoint);
		const isLimited = startable.length < ticketed.length;
		const chosen = choose(startable) ?? (isLimited ? choose(listReservedCandidates(search, step.job, ticketed)) : undefined);
		if (chosen === undefined && isLimited && choose(ticketed) !== undefined) {
			return {outputs: placed, waitReason: 'unanswered-starts'};
		}

		if (chosen === undefined) {
			return {
				outputs: [...placed, ...requestStepAdvice(state, step, candidates, context)],
				waitReason: recordUnplacedStep(state.placement, search, step, context),
			};
		}

		if (!takeFromBudget(search.budgets, step, 1, context.now)) {
			return {outputs: placed, waitReason: 'account-cap'};
		}

		addCount(counts, chosen.endpoint.id);
		appendItems(placed, placeTask(state, {task, run, chosen}, context));
		search.startsLeft -= 1;
		if (!mayStart(search, chosen)) {
			startable = startable.filter(candidate => mayStart(search, candidate));
		}
	}

	return {outputs: placed, waitReason: undefined};
}

function requestStepAdvice(state: State, step: Step, candidates: readonly Candidate[], context: DecisionContext): JobOutput[] {
	if (!canRequestAdvice(state, step, context)) {
		return [];
	}

	const runnable = listRunnableCandidates(candidates, step);
	return requestAdvice(state, step, {renewable: listAllowedCandidates(state, step, runnable).slice(0, Math.max(minRenewedTickets, countPendingTasks(step))), others: runnable}, context);
}

/** Places either all tasks of a gang or none, as they cannot progress without each other. @internal */
export function placeGang(state: State, step: Step, search: PlacementSearch, context: DecisionContext): PlacementResult {
	const {candidates} = search;
	if (countWaitingTasks(state, step, context.now) === 0) {
		return {outputs: [], waitReason: undefined};
	}

	const ticketed = listTicketedCandidates(state, step, candidates, context);
	const startable = ticketed.filter(candidate => mayStart(search, candidate));
	const isLimited = startable.length < ticketed.length;
	const places = chooseGangEndpoints(startable, step) ?? (isLimited ? chooseGangEndpoints(listReservedCandidates(search, step.job, ticketed), step) : undefined);
	if (places === undefined && isLimited && chooseGangEndpoints(ticketed, step) !== undefined) {
		return {outputs: [], waitReason: 'unanswered-starts'};
	}

	if (places === undefined) {
		return {
			outputs: requestGangAdvice(state, step, candidates, context),
			waitReason: recordUnplacedStep(state.placement, search, step, context),
		};
	}

	if (!takeFromBudget(search.budgets, step, step.tasks.size, context.now)) {
		return {outputs: [], waitReason: 'account-cap'};
	}

	search.startsLeft -= places.length;
	const run = step.job.lastRun + 1;
	// All members resume from the same checkpoint; that of any member is valid for the whole gang.
	const members = [...listPendingTasks(step)];
	const checkpoint = members.map(task => task.checkpoint).sort().at(-1) ?? '';
	const outputs = members.flatMap((task, index) => placeTask(state, {
		task, run, chosen: places[index]!, checkpoint,
	}, context));
	return {outputs, waitReason: undefined};
}

/** Requests tickets for all members of a gang at once if its policy is known to allow enough endpoints, so that all are valid together; otherwise asks about others. */
function requestGangAdvice(state: State, step: Step, candidates: readonly Candidate[], context: DecisionContext): JobOutput[] {
	if (!canRequestAdvice(state, step, context)) {
		return [];
	}

	const allowedPlaces = chooseGangEndpoints(listAllowedCandidates(state, step, candidates), step);
	return requestAdvice(state, step, {renewable: [...new Set(allowedPlaces)], others: listRunnableCandidates(candidates, step)}, context);
}

/** Chooses an endpoint for each task of a gang, in one rack if the step asks for that and one has room. @returns Undefined if they do not all fit. */
function chooseGangEndpoints(candidates: readonly Candidate[], step: Step): readonly Candidate[] | undefined {
	for (const group of groupByRack(candidates, step)) {
		const copies = group.map(candidate => ({...candidate}));
		const counts = countRunsByEndpoint(step);
		const places: Candidate[] = [];
		for (const task of listPendingTasks(step)) {
			const chosen = chooseEndpoint(copies, task, counts, undefined);
			if (chosen === undefined) {
				break;
			}

			addCount(counts, chosen.endpoint.id);
			reserveCandidate(chosen, step);
			places.push(group[copies.indexOf(chosen)]!);
		}

		if (places.length === step.tasks.size) {
			return places;
		}
	}

	return undefined;
}

/** Groups the candidates by rack, the rack with the most free CPU first; all candidates together come last. */
function groupByRack(candidates: readonly Candidate[], step: Step): ReadonlyArray<readonly Candidate[]> {
	if (!step.spec.isSameRack) {
		return [candidates];
	}

	const racks = new Map<string, Candidate[]>();
	for (const candidate of candidates) {
		racks.set(candidate.endpoint.rack, [...(racks.get(candidate.endpoint.rack) ?? []), candidate]);
	}

	const sumFreeMillis = (group: readonly Candidate[]) => group.reduce((sum, candidate) => sum + candidate.free.cpuMillis, 0);
	return [...[...racks.values()].sort((left, right) => sumFreeMillis(right) - sumFreeMillis(left)), candidates];
}

function placeTask(state: State, {task, run, chosen, checkpoint = task.checkpoint}: {
	readonly task: Task;
	readonly run: number;
	readonly chosen: Candidate;
	readonly checkpoint?: string;
}, context: DecisionContext): JobOutput[] {
	const {placement, authority, supervision} = state;
	reserveCandidate(chosen, task.step);
	// Lets the rest of this search count the run; the ledger records it when the event arrives there.
	keepTask(task);
	task.runs.set(run, chosen.endpoint.id);
	const reserved = placement.reservedSteps.get(chosen.endpoint.id) ?? new Map<string, Step>();
	placement.reservedSteps.set(chosen.endpoint.id, reserved.set(task.id, task.step));
	return [
		emitLog('info', 'task placed', {
			job: task.step.job.record.id,
			task: task.id,
			run,
			endpoint: chosen.endpoint.id,
			freeMillis: chosen.free.cpuMillis,
			hasCheckpoint: checkpoint !== '',
			token: supervision.endpoints.get(chosen.endpoint.id)?.token,
			sessionLeftMs: Math.round(authority.validUntil - context.now),
			permittedMs: getPermittedMs({authority}, task.step.job.record.pool, context),
		}),
		restartEvent({
			kind: 'task-placed', pool: task.step.job.record.pool, taskId: task.id, run, endpointId: chosen.endpoint.id, checkpoint, ticket: getTicket(state, task.step, chosen),
		}),
	];
}
