import {type DecisionContext} from '@pistachiogauge/chain';
import {type ConfigurationView} from '../configuration/index.js';
import {type JobOutput} from '../filter.js';
import {type Job, type PoolLedger, type TaskTable} from '../ledger/index.js';
import {type StepSpec} from '../model/index.js';
import {getJobEstimate, type ObservationView} from '../observation/index.js';
import {type SupervisionView} from '../supervision/index.js';
import {getAccountWeights} from './account-shares.js';
import {createPoolDisplacement, type DisplacementPolicy, type PoolDisplacement} from './displacement-state.js';
import {orderByLeastCost, type PoolSupply} from './order-by-least-cost.js';
import {orderByLargestFirst, rankJob, type RankedJob} from './order-jobs.js';
import {type PlacementSearch} from './placement-search.js';
import {type PlacementState} from './placement-state.js';
import {preemptRuns} from './preempt-runs.js';
import {getAccount} from './classify-jobs.js';
import {reportDisplacedJobs} from './report-displaced.js';

type State = {readonly placement: PlacementState} & ObservationView & ConfigurationView & SupervisionView;

/** Jobs of a pool that wait in a search, and the capacity of the endpoints in use. @public */
export type OrderInput = {
	readonly pool: Readonly<PoolLedger>;
	readonly waiting: readonly Job[];
	/** Thousandths of a core. */
	readonly capacityMillis: number;
};

type OrderResult = {readonly ordered: RankedJob[]; readonly outputs: JobOutput[]};

const orderHandlers: Readonly<Record<DisplacementPolicy, (state: State, input: OrderInput, context: DecisionContext) => OrderResult>> = {
	'largest-first': (state, {waiting, capacityMillis}, {now}) => ({
		ordered: orderByLargestFirst(rankJobs(state, waiting, now), capacityMillis), outputs: [],
	}),
	'least-cost'(state, input, context) {
		const displacement = getPoolDisplacement(state.placement, input.pool.pool);
		const weights = getAccountWeights(state.configuration.current?.accounts);
		const supply = measureSupply(state, input, context.now);
		const {
			ordered, displaced, timely, late,
		} = orderByLeastCost(rankJobs(state, input.waiting, context.now), displacement, {supply, weights}, context);
		displacement.backlog = displaced.length + late.length === 0
			? undefined
			: {
				measuredAt: context.now, totalMillis: input.capacityMillis, capacityMillis: supply.capacityMillis, runningWork: supply.runningWork, timely, late,
			};
		return {ordered, outputs: reportDisplacedJobs(state.placement, input.pool.pool, {displaced, waitingCount: input.waiting.length}, context)};
	},
};

/** Chooses the displacement policy: what the settings say, else least cost in a deployment with client accounts, and largest first in others. @internal */
export function chooseDisplacementPolicy({placement, configuration}: Pick<State, 'placement' | 'configuration'>): DisplacementPolicy {
	return placement.options.displacement ?? (configuration.current?.accounts === undefined ? 'largest-first' : 'least-cost');
}

/** Orders the waiting jobs of a pool for placement by the displacement policy in force. @public */
export function orderWaitingJobs(state: State, input: OrderInput, context: DecisionContext): OrderResult {
	return orderHandlers[chooseDisplacementPolicy(state)](state, input, context);
}

const preemptionHandlers: Readonly<Record<DisplacementPolicy, typeof preemptRuns>> = {
	'largest-first': () => [],
	'least-cost': preemptRuns,
};

/** Requests stops of runs in favour of waiting jobs, if the displacement policy in force does so. @internal */
export function preemptForWaitingJobs(state: State, pool: Readonly<PoolLedger>, search: PlacementSearch, ordered: readonly RankedJob[], context: DecisionContext): JobOutput[] {
	return preemptionHandlers[chooseDisplacementPolicy(state)](state, pool, search, ordered, context);
}

/** Returns what the order by least cost remembers of a pool. @internal */
export function getPoolDisplacement({displacements}: PlacementState, pool: string): PoolDisplacement {
	const displacement = displacements.get(pool) ?? createPoolDisplacement();
	displacements.set(pool, displacement);
	return displacement;
}

/** Ranks jobs by the durations measured so far. @internal */
export function rankJobs(state: ObservationView, jobs: readonly Job[], now: number): RankedJob[] {
	return jobs.map(job => rankJob(job, getJobEstimate(state, job, now), now));
}

/** Measures what running jobs take of a pool's capacity. */
function measureSupply(state: State, {pool, waiting, capacityMillis}: OrderInput, now: number): PoolSupply {
	const waitingJobs = new Set(waiting);
	const runningJobs = new Set<Job>();
	const runningWork = new Map<string, number>();
	let servingMillis = 0;
	let runningMillis = 0;
	for (const job of pool.activeJobs) {
		if (job.record.spec.steps.some(step => step.isLongRunning)) {
			servingMillis += sumRunningMillis(job, spec => spec.isLongRunning);
			continue;
		}

		const jobMillis = waitingJobs.has(job) ? 0 : sumRunningMillis(job, () => true);
		if (jobMillis > 0) {
			runningJobs.add(job);
			runningMillis += jobMillis;
			const account = getAccount(job);
			runningWork.set(account, (runningWork.get(account) ?? 0) + getJobEstimate(state, job, now).remainingWork);
		}
	}

	return {
		capacityMillis: Math.max(0, capacityMillis - servingMillis), runningWork, runningMillis, runningJobs,
	};
}

function countTasksWithRuns({started}: TaskTable): number {
	let count = 0;
	for (const {runs} of started.values()) {
		count += runs.size > 0 ? 1 : 0;
	}

	return count;
}

/** Sums what the running tasks of some steps take; fillers take only what others leave. */
function sumRunningMillis(job: Job, isCounted: (spec: StepSpec) => boolean): number {
	let millis = 0;
	for (const {spec, tasks} of job.steps.values()) {
		if (!spec.isFiller && isCounted(spec)) {
			millis += spec.room.cpuMillis * countTasksWithRuns(tasks);
		}
	}

	return millis;
}
