import {createRandomSource, type DecisionContext} from '@pistachiogauge/chain';
import {getConfirmedAt, getPermittedMs} from '../authority/index.js';
import {findQueue} from '../configuration/index.js';
import {
	isStepReady, restoreJob, type Job, type PoolLedger, type Step,
} from '../ledger/index.js';
import {
	addResources, computeResources, noResources, poolClaimPrefix, type Claim, type Clocks, type Configuration, type JobSpec, type Member, type Queue, type Resources,
} from '../model/index.js';
import {
	getAllowance, getCap, measurePoolUsage, multiplyResources,
} from '../quota/index.js';
import {startValidityMs} from '../supervision/index.js';
import {createAccountBudgets, listReservedSteps} from './account-budgets.js';
import {countRunsByEndpoint, getTakenResources, type Candidate} from './choose-endpoint.js';
import {copyForSearch} from './copy-for-search.js';
import {chooseDisplacementPolicy} from './displacement-policies.js';
import {type DisplacementPolicy} from './displacement-state.js';
import {countEndpointUses, type EndpointUseSummary} from './endpoint-use.js';
import {countSearchStarts} from './limit-starts.js';
import {listCandidates} from './list-candidates.js';
import {listReadySteps, type ObjectiveStatus, type RankedJob} from './order-jobs.js';
import {
	getStartableSince, hasPendingTasks, orderStartableJobs, placeWaitingStep, rankByMeasuredDurations, type PlacementFilterState,
} from './placement-filter.js';
import {createPlacementSearch, type PlacementSearch} from './placement-search.js';
import {type WaitReason} from './placement-state.js';

/** A job whose placement is to be explained. @public */
export type PlacementQuestion = {
	readonly target: {readonly queue: string} | {readonly host: string; readonly path: string};
	/** Name of a client account. */
	readonly account: string | undefined;
	readonly spec: JobSpec;
};

/** Resources whose components are absent where there is no limit. @public */
export type LimitedResources = Partial<Resources>;

/** What the account of the job has in the pool. @public */
export type AccountExplanation = {
	readonly name: string;
	/** Absent for an account without a cap, as is the share. */
	readonly cap?: LimitedResources | undefined;
	/** What the account may have running in the pool. */
	readonly share?: LimitedResources | undefined;
	/** What may be running in the pool. */
	readonly used: Resources;
};

/** An endpoint on which tasks of a step would be started. @public */
export type EndpointExplanation = {
	readonly endpointId: string;
	readonly rack: string;
	readonly tasks: number;
	/** Free resources before these tasks are started. */
	readonly free: Resources;
};

/**
What would become of a step's tasks.

- `starts`: all of them would be started.
- `starts-in-part`: some of them.
- `waits`: none.
- `not-ready`: the step depends on others.
- `not-due`: the job is to start later.

@public
*/
export type StepOutcome = 'starts' | 'starts-in-part' | 'waits' | 'not-ready' | 'not-due';

/** @public */
export type StepExplanation = {
	readonly step: number;
	readonly tasks: number;
	readonly outcome: StepOutcome;
	readonly endpoints: readonly EndpointExplanation[];
	/** Why the tasks wait that would not be started. */
	readonly waitReason?: WaitReason | undefined;
};

/** Where a job would go now, and why. @public */
export type PlacementExplanation =
	| {readonly kind: 'not-configured' | 'unknown-queue' | 'unknown-account'}
	/** No entry is known to own the pool. */
	| {readonly kind: 'owner-unknown'; readonly queue: string; readonly pool: string}
	/** Another entry owns the pool; the address of its peer server is absent if it has none. */
	| {readonly kind: 'owned-elsewhere'; readonly queue: string; readonly pool: string; readonly owner: PoolOwner; readonly peerAddress: string | undefined}
	| OwnPoolExplanation;

/** Entry that owns a pool, and the fencing token of its claim. @public */
export type PoolOwner = {readonly node: string; readonly token: number};

/** @public */
export type OwnPoolExplanation = {
	readonly kind: 'explained';
	readonly queue: string;
	readonly pool: string;
	readonly owner: PoolOwner;
	/** Whether at least one task would be started now. */
	readonly isStarted: boolean;
	/** Whether a caller without a key of an account would be refused. */
	readonly isKeyRequired: boolean;
	readonly policy: DisplacementPolicy;
	readonly objectiveStatus: ObjectiveStatus;
	/** Position among the jobs that wait and could start, from 1; absent if the job is held back before they are ranked. */
	readonly rank?: number | undefined;
	/** Number of the jobs that are ranked, this one included if it is. */
	readonly rankedJobs: number;
	readonly endpointUses: EndpointUseSummary;
	readonly account?: AccountExplanation | undefined;
	readonly steps: readonly StepExplanation[];
};

type State = PlacementFilterState & {
	readonly authority: {readonly claims: ReadonlyMap<string, Claim>; readonly members: ReadonlyMap<string, Member>};
};

/** A job that waits in a copy of the pool. */
type Trial = {
	readonly state: PlacementFilterState;
	readonly pool: Readonly<PoolLedger>;
	readonly job: Job;
};

/** What a search finds out about the job. */
type TrialResult = Pick<OwnPoolExplanation, 'objectiveStatus' | 'rank' | 'rankedJobs' | 'steps'>;

type StepResult = Pick<StepExplanation, 'endpoints' | 'waitReason'>;

/** Jobs have ids without brackets, so this is the id of none. */
const trialJobId = '(trial)';

/**
Explains where a job would be placed if it were accepted now. It makes the same search as placement does, on copies, and changes nothing in the state.

The job counts as stored before the last confirmation of the claim. The wait for that confirmation, and preemption in favour of the job, are not part of the explanation.

@public
*/
export function explainPlacement(state: State, question: PlacementQuestion, clocks: Clocks): PlacementExplanation {
	const {current} = state.configuration;
	if (current === undefined) {
		return {kind: 'not-configured'};
	}

	const queue = findTargetQueue(current, question);
	if (queue === undefined) {
		return {kind: 'unknown-queue'};
	}

	if (question.account !== undefined && current.accounts?.some(({name}) => name === question.account) !== true) {
		return {kind: 'unknown-account'};
	}

	const {authority} = state;
	const target = {queue: queue.name, pool: queue.pool};
	const claimName = `${poolClaimPrefix}${queue.pool}`;
	const held = authority.heldClaims.get(claimName);
	if (held !== undefined) {
		return {...target, ...explainOwnPool(state, queue, question, clocks), owner: {node: authority.node, token: held.token}};
	}

	const claim = authority.claims.get(claimName);
	// A claim of this entry that it does not hold is that of an earlier process.
	if (claim === undefined || claim.node === authority.node) {
		return {kind: 'owner-unknown', ...target};
	}

	const {node, token} = claim;
	return {
		kind: 'owned-elsewhere', ...target, owner: {node, token}, peerAddress: authority.members.get(node)?.peerServer?.address,
	};
}

function findTargetQueue(configuration: Configuration, {target}: PlacementQuestion): Queue | undefined {
	return 'queue' in target
		? configuration.queues.find(({name}) => name === target.queue)
		: findQueue(configuration, target.host, target.path)?.queue;
}

function explainOwnPool(state: State, queue: Queue, question: PlacementQuestion, clocks: Clocks): Omit<OwnPoolExplanation, 'queue' | 'pool' | 'owner'> {
	const context: DecisionContext = {...clocks, random: createRandomSource(0)};
	const job = createTrialJob(queue, question, clocks);
	const ledger = state.ledger.pools.get(queue.pool);
	const copy = ledger === undefined ? undefined : copyForSearch(state, ledger);
	copy?.pool.activeJobs.add(job);
	const result = copy === undefined ? explainLoadingPool(state, job, clocks) : tryPlacement({...copy, job}, context);
	const account = job.record.account === undefined ? undefined : explainAccount(state, queue.pool, job.record.account);
	return {
		kind: 'explained',
		isStarted: result.steps.some(({endpoints}) => endpoints.length > 0),
		isKeyRequired: !queue.isPublic,
		policy: chooseDisplacementPolicy(state),
		endpointUses: countEndpointUses((copy?.state ?? state).placement, queue.pool, clocks.now),
		account,
		...result,
	};
}

function createTrialJob(queue: Queue, {account, spec}: PlacementQuestion, clocks: Clocks): Job {
	return restoreJob({
		job: {
			id: trialJobId,
			queue: queue.name,
			pool: queue.pool,
			spec,
			priority: queue.priority,
			attempts: queue.attempts,
			stretch: queue.stretch,
			latencyTargetMs: queue.latencyTargetMs,
			advice: queue.advice,
			account: queue.isPublic ? undefined : account,
			acceptedAt: clocks.wallTime,
		},
		progress: {
			queue: queue.name, status: 'queued', steps: {}, lastRun: 0,
		},
		revision: 0,
		isCancelled: false,
	}, clocks);
}

/** A job that is stored before the pool's records are loaded waits for the survey, as jobs of the previous owner do. */
function explainLoadingPool(state: State, job: Job, {now}: Clocks): TrialResult {
	const observation = {...state.observation, jobEstimates: new WeakMap()};
	return {
		objectiveStatus: rankByMeasuredDurations({observation}, job, now).objectiveStatus, rankedJobs: 0, steps: explainSteps(job, () => ({endpoints: [], waitReason: 'survey'})),
	};
}

function tryPlacement({state, pool, job}: Trial, context: DecisionContext): TrialResult {
	const candidates = listCandidates(state, pool, context);
	if (getPermittedMs(state, pool.pool, context) < startValidityMs) {
		return explainUnranked({state, job}, 'claim', [], context);
	}

	const confirmedAt = getConfirmedAt(state, pool.pool);
	const usable = candidates.filter(candidate => getStartableSince(state, candidate) <= confirmedAt);
	if (usable.length === 0) {
		return explainUnranked({state, job}, 'no-endpoint', [], context);
	}

	const search = createPlacementSearch(usable, createAccountBudgets(state, pool, context), countSearchStarts(state));
	const waiting = [...pool.activeJobs].filter(each => each === job || (each.firstSeenAt <= confirmedAt && hasPendingTasks(each.steps.values())));
	const {ordered} = orderStartableJobs(state, pool, search, waiting, context);
	const index = ordered.findIndex(ranked => ranked.job === job);
	if (index === -1) {
		const reason = [...search.waitingJobs].find(([, jobs]) => jobs.includes(job))?.[0];
		return explainUnranked({state, job}, reason, ordered, context);
	}

	for (const {job: earlier} of ordered.slice(0, index)) {
		placeJob(state, search, earlier, context);
	}

	const {objectiveStatus} = ordered[index]!;
	return {
		objectiveStatus, rank: index + 1, rankedJobs: ordered.length, steps: placeTrialJob(state, search, job, context),
	};
}

function explainUnranked({state, job}: Pick<Trial, 'state' | 'job'>, waitReason: WaitReason | undefined, ordered: readonly RankedJob[], {now}: DecisionContext): TrialResult {
	return {
		objectiveStatus: rankByMeasuredDurations(state, job, now).objectiveStatus, rankedJobs: ordered.length, steps: explainSteps(job, () => ({endpoints: [], waitReason})),
	};
}

function placeJob(state: PlacementFilterState, search: PlacementSearch, job: Job, context: DecisionContext): void {
	if (job.isAwaitingSurvey) {
		return;
	}

	for (const step of listReadySteps(job)) {
		placeWaitingStep(state, search, step, context);
	}
}

function placeTrialJob(state: PlacementFilterState, search: PlacementSearch, job: Job, context: DecisionContext): StepExplanation[] {
	const candidates = new Map(search.candidates.map(candidate => [candidate.endpoint.id, candidate]));
	const results = new Map<string, StepResult>();
	for (const step of listReadySteps(job)) {
		const {waitReason} = placeWaitingStep(state, search, step, context);
		results.set(step.key, {endpoints: listChosenEndpoints(step, candidates), waitReason});
	}

	return explainSteps(job, key => results.get(key)!);
}

function listChosenEndpoints(step: Step, candidates: ReadonlyMap<string, Candidate>): EndpointExplanation[] {
	return [...countRunsByEndpoint(step)].map(([endpointId, tasks]) => {
		const {endpoint: {rack}, free} = candidates.get(endpointId)!;
		return {
			endpointId, rack, tasks, free: addResources(free, multiplyResources(getTakenResources(step), tasks)),
		};
	});
}

/** Explains the steps of the job's first occurrence. */
function explainSteps(job: Job, getResult: (key: string) => StepResult): StepExplanation[] {
	return job.record.spec.steps.map((spec, index): StepExplanation => {
		const step = job.steps.get(`0.${index}`);
		const common = {step: index, tasks: spec.count, endpoints: []};
		if (step === undefined) {
			return {...common, outcome: 'not-due'};
		}

		if (!isStepReady(step)) {
			return {...common, outcome: 'not-ready'};
		}

		const result = getResult(step.key);
		const startedCount = result.endpoints.reduce((sum, {tasks}) => sum + tasks, 0);
		return {...common, ...result, outcome: getStartOutcome(startedCount, spec.count)};
	});
}

function getStartOutcome(startedCount: number, count: number): StepOutcome {
	if (startedCount === count) {
		return 'starts';
	}

	return startedCount === 0 ? 'waits' : 'starts-in-part';
}

function explainAccount(state: State, pool: string, account: string): AccountExplanation {
	const ledger = state.ledger.pools.get(pool);
	const cap = getCap(state, account);
	const share = getAllowance(state, pool, account);
	const used = ledger === undefined ? undefined : measurePoolUsage(state, ledger, listReservedSteps(state)).get(account)?.possible;
	return {
		name: account,
		cap: cap === undefined ? undefined : removeUnlimited(computeResources(name => cap[name] === 0 ? Number.POSITIVE_INFINITY : cap[name])),
		share: share === undefined ? undefined : removeUnlimited(share),
		used: used ?? noResources,
	};
}

function removeUnlimited(resources: Resources): LimitedResources {
	return Object.fromEntries(Object.entries(resources).filter(([, amount]) => Number.isFinite(amount)));
}
