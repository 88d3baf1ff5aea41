import {createRandomSource, type RandomSource} from '@pistachiogauge/decisions';
import {type JobRequest} from '@pistachiogauge/platform/standins';
import {accountBounds, createAccountPlanner, type AccountPlan} from '../accounts/index.js';
import {type FaultKind, type FaultPlan} from './fault-plan.js';
import {advisedQueue} from './odd-jobs.js';
import {drawBetween, type JobPlan, type RunPlan} from './run-plan.js';

/** A new version of the accounts. */
export type AccountsChange = {readonly atMs: number; readonly accounts: readonly AccountPlan[]};

/** Requests with a key that was removed before, which go to all entries. */
export type RemovedKeyProbe = {readonly atMs: number; readonly key: string; readonly jobId: string; readonly queue: string};

/** Client accounts of a run. */
export type AccountsPlan = {
	readonly initial: readonly AccountPlan[];
	/** In order of their times; the last one lets the backlog end. */
	readonly changes: readonly AccountsChange[];
	readonly probes: readonly RemovedKeyProbe[];
};

const meanChangeMs = 1500;
/** One change in this many is followed by others at once. */
const changesPerBurst = 4;
const maxBurst = 4;
const burstGapMs = 60;
const firstChangeMs = 2000;
/** Time between the start of a fault and the removal of keys that some entries do not learn of. */
const removalMs = 200;
const probeIntervalMs = 250;
/** Requests are sent later than `RevokeMs` by more than a version may be written late. */
const probeDelayMs = accountBounds.revokeMs + 300;
/** Probes go on for this long after the fault. */
const probeAfterMs = 400;
/** Faults of which some last longer than `RevokeMs`, and what is added of them. */
const longFaults: readonly FaultPlan[] = [
	{
		kind: 'entry-paused', target: {kind: 'owner', pool: 0}, atMs: 0, durationMs: 6500,
	},
	{
		kind: 'one-way-cut', target: {kind: 'entry', index: 1}, side: 'store', atMs: 0, durationMs: 7500,
	},
	{
		kind: 'store-down', entries: [0, 2], state: 'cut', pausesLeases: false, atMs: 0, durationMs: 8000,
	},
];
/** Time between the added faults. */
const longFaultIntervalMs = 14_000;
const firstLongFaultMs = 5000;

/** Draws faults that last longer than `RevokeMs`. */
function drawLongFaults(random: RandomSource, durationMs: number, kinds: readonly FaultKind[]): FaultPlan[] {
	const candidates = longFaults.filter(({kind}) => kinds.includes(kind));
	const faults: FaultPlan[] = [];
	for (let atMs = firstLongFaultMs; candidates.length > 0; atMs += longFaultIntervalMs) {
		const fault = {...candidates[random.getInteger(candidates.length)]!, atMs};
		if (atMs + fault.durationMs > durationMs) {
			break;
		}

		faults.push(fault);
	}

	return faults;
}

type Occasion = {readonly atMs: number; readonly kind: 'change'} | {readonly atMs: number; readonly kind: 'long-fault'; readonly endsAtMs: number} | {readonly atMs: number; readonly kind: 'job'; readonly job: JobPlan};

/** Draws when accounts are changed: at times that faults do not know, and soon after the start of faults longer than `RevokeMs`. */
function drawOccasions(random: RandomSource, {durationMs, faults, jobs}: RunPlan): Occasion[] {
	const occasions: Occasion[] = jobs.map(job => ({atMs: job.atMs, kind: 'job', job}));
	for (let atMs = firstChangeMs; atMs < durationMs; atMs += drawBetween(random, 0, 2 * meanChangeMs)) {
		occasions.push({atMs, kind: 'change'});
	}

	for (const fault of faults) {
		if (fault.durationMs > accountBounds.revokeMs) {
			occasions.push({atMs: fault.atMs + removalMs, kind: 'long-fault', endsAtMs: fault.atMs + fault.durationMs});
		}
	}

	return occasions.sort((left, right) => left.atMs - right.atMs);
}

/** Times at which requests with a key are sent that was removed at a time during a fault. */
function listProbeTimes(removedAtMs: number, faultEndsAtMs: number): number[] {
	const firstMs = removedAtMs + probeDelayMs;
	const count = Math.max(0, Math.ceil((faultEndsAtMs + probeAfterMs - firstMs) / probeIntervalMs));
	return Array.from({length: count}, (_, index) => firstMs + (index * probeIntervalMs));
}

/** Delays versions that would be written before an earlier one. */
function sortChanges(changes: readonly AccountsChange[]): AccountsChange[] {
	let lastMs = 0;
	return changes.map(({atMs, accounts}) => {
		lastMs = Math.max(lastMs, atMs);
		return {atMs: lastMs, accounts};
	});
}

function formatPublicQueue(queue: string): string {
	return `open-${queue}`;
}

/** Whether a job goes to the public queue of its pool: long-running ones do, unless the queue requires advice. */
function isForPublicQueue({queue, steps}: JobRequest): boolean {
	return queue !== advisedQueue && steps.some(({isLongRunning}) => isLongRunning);
}

/** Adds client accounts to a plan: keys for its jobs, changes by the operator, and requests with removed keys. Its jobs stay the same otherwise, but long-running ones go to a public queue. */
export function addAccounts(plan: RunPlan, kinds: readonly FaultKind[]): RunPlan {
	const {seed, durationMs, endpoints, endpointCapacity} = plan;
	const random = createRandomSource(seed + 4_000_000);
	const planner = createAccountPlanner({
		random, capacity: {cpuMillis: endpointCapacity.cpuMillis * endpoints.length, memoryMb: endpointCapacity.memoryMb * endpoints.length, gpus: 0},
	});
	const initial = planner.accounts;
	const faults = [...plan.faults, ...drawLongFaults(random, durationMs, kinds)].sort((left, right) => left.atMs - right.atMs);
	const queues = [
		...plan.queues.map(queue => ({...queue, isPublic: false})),
		...plan.queues.filter(({advice}) => advice === undefined).map(queue => ({...queue, queue: formatPublicQueue(queue.queue), isPublic: true})),
	];
	const changes: AccountsChange[] = [];
	const probes: RemovedKeyProbe[] = [];
	const jobs: JobPlan[] = [];
	for (const occasion of drawOccasions(random, {...plan, faults})) {
		const {atMs} = occasion;
		if (occasion.kind === 'job') {
			const {job} = occasion.job;
			if (isForPublicQueue(job)) {
				jobs.push({...occasion.job, job: {...job, queue: formatPublicQueue(job.queue)}});
				continue;
			}

			// The hot account sends more in the middle third.
			const key = planner.chooseKey(atMs > durationMs / 3 && atMs < 2 * durationMs / 3);
			jobs.push({...occasion.job, job: {...job, apiKey: key}, account: planner.findOwner(key)});
		} else if (occasion.kind === 'change') {
			const count = random.getInteger(changesPerBurst) === 0 ? 1 + random.getInteger(maxBurst) : 1;
			for (let number = 0; number < count; number++) {
				planner.change();
				changes.push({atMs: atMs + (number * burstGapMs), accounts: planner.accounts});
			}
		} else {
			const removed = planner.removeKeys();
			changes.push({atMs, accounts: planner.accounts});
			const times = removed === undefined ? [] : listProbeTimes(atMs, occasion.endsAtMs);
			probes.push(...times.map((probeAtMs, index) => ({
				atMs: probeAtMs, key: removed!.key, jobId: `e${(probes.length + index).toString(16).padStart(15, '0')}`, queue: queues[0]!.queue,
			})));
		}
	}

	planner.restore();
	return {
		...plan,
		queues,
		jobs,
		faults,
		accounts: {
			initial,
			changes: sortChanges([...changes, {atMs: durationMs, accounts: planner.accounts}]),
			probes,
		},
	};
}
