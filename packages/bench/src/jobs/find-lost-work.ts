import {
	formatTaskId, hasCapacityFor, poolClaimPrefix, subtractResources, type StepSpec,
} from '@pistachiogauge/jobs';
import {type JobsSimulation} from './jobs-simulation.js';
import {type VirtualTaskEndpoint} from './virtual-task-endpoint.js';

/** Lists the accepted jobs of which nothing runs although an endpoint has room twice over for a task whose turn has come, and their accounts use less than half of their caps. */
export function findIdleJobs(simulation: JobsSimulation, jobIds: Iterable<string>): string[] {
	const endpoints = [...simulation.endpoints.values()].filter(({isUp, isReachable}) => isUp && isReachable);
	const busyJobIds = new Set(endpoints.flatMap(({runs}) => [...runs.keys()]).map(taskId => taskId.split('.', 1)[0]!));
	return [...jobIds].filter(jobId => {
		const stored = simulation.store.getStoredJob(jobId);
		if (stored === undefined || stored.isCancelled || stored.progress.endedAt !== undefined || busyJobIds.has(jobId)) {
			return false;
		}

		const {steps} = stored.job.spec;
		return steps.some((step, index) => isTurnOf(simulation, jobId, steps, index) && simulation.checker.accounts.hasCapFor(jobId, step.room) && endpoints.some(endpoint => endpoint.registration.pool === stored.job.pool
			&& hasRoomTwice(endpoint, step)
			&& (!step.isGang || countGangRoom(endpoints.filter(({registration}) => registration.pool === stored.job.pool), step) >= 2 * step.count)
			&& (stored.job.advice === undefined || simulation.advice.mayRun(`${jobId}.0.${index}`, endpoint.registration.id))));
	});
}

/** Lists the long-running tasks of accepted jobs that do not run although an endpoint that may run them has room twice over. */
export function findIdleTasks(simulation: JobsSimulation, jobIds: Iterable<string>): string[] {
	const endpoints = [...simulation.endpoints.values()].filter(({isUp, isReachable}) => isUp && isReachable);
	const runningIds = new Set(endpoints.flatMap(({runs}) => [...runs.keys()]));
	return [...jobIds].flatMap(jobId => {
		const stored = simulation.store.getStoredJob(jobId);
		if (stored === undefined || stored.isCancelled || stored.progress.endedAt !== undefined || stored.job.advice !== undefined) {
			return [];
		}

		return stored.job.spec.steps.flatMap((step, index) => {
			const prefix = `${jobId}.0.${index}.`;
			const countOwn = ({runs}: VirtualTaskEndpoint) => [...runs.keys()].filter(taskId => taskId.startsWith(prefix)).length;
			const canRun = step.isLongRunning && simulation.checker.accounts.hasCapFor(jobId, step.room) && endpoints.some(endpoint => endpoint.registration.pool === stored.job.pool
				&& hasRoomTwice(endpoint, step) && countOwn(endpoint) < (step.endpointLimit ?? Number.POSITIVE_INFINITY));
			return canRun ? Array.from({length: step.count}, (_unused, task) => `${prefix}${task}`).filter(taskId => !runningIds.has(taskId)) : [];
		});
	});
}

/** Whether a step is not done and all steps that it depends on are. */
function isTurnOf(simulation: JobsSimulation, jobId: string, steps: readonly StepSpec[], index: number): boolean {
	const isDone = (step: number) => Array.from({length: steps[step]!.count}, (_unused, task) => formatTaskId({
		jobId, occurrence: 0, step, index: task,
	})).every(taskId => simulation.checker.isTaskDone(taskId));
	return !isDone(index) && steps[index]!.after.every(step => isDone(step));
}

function hasRoomTwice({registration, runs}: VirtualTaskEndpoint, {room, requiredLabel}: StepSpec): boolean {
	let free = registration.capacity;
	for (const {resources} of runs.values()) {
		free = subtractResources(free, resources);
	}

	return (requiredLabel === undefined || registration.labels.includes(requiredLabel)) && hasCapacityFor(subtractResources(free, room), room);
}

/** Counts the members of a gang that endpoints have room for. */
function countGangRoom(endpoints: readonly VirtualTaskEndpoint[], {room}: StepSpec): number {
	let count = 0;
	for (const {registration, runs} of endpoints) {
		let usedMillis = 0;
		let usedMb = 0;
		for (const {resources} of runs.values()) {
			usedMillis += resources.cpuMillis;
			usedMb += resources.memoryMb;
		}

		count += Math.max(0, Math.min(Math.floor((registration.capacity.cpuMillis - usedMillis) / room.cpuMillis), Math.floor((registration.capacity.memoryMb - usedMb) / room.memoryMb)));
	}

	return count;
}

/** Watches for runs that the owner of a pool counts on an endpoint that answers it and does not have them, or that its ledger counts and its supervision does not. */
export type LeakWatch = {
	/** Lists the runs that have been counted in vain at each look for the time that an owner may need to notice. */
	look(): string[];
};

/** An unanswered start is given up after 0.7 s and a poll after 2.7 s; for 3 s an owner waits for jobs that it does not know. */
const leakMs = 6000;
/** Number of ends that an endpoint lists at once. While as many wait for the store, a run that is not listed may have ended with a later one. */
const maxListedEnds = 500;

export function createLeakWatch(simulation: JobsSimulation): LeakWatch {
	let firstSeenAt = new Map<string, number>();
	return {
		look() {
			const {now} = simulation.queue;
			firstSeenAt = new Map([...listMissingRuns(simulation), ...listLedgerOnlyRuns(simulation)].map(run => [run, firstSeenAt.get(run) ?? now]));
			return [...firstSeenAt].filter(([, at]) => now > at + leakMs).map(([run]) => run);
		},
	};
}

function listMissingRuns({entries, endpoints, store}: JobsSimulation): string[] {
	const missing: string[] = [];
	for (const {node, incarnation, isUp, state} of entries) {
		for (const {id, pool, phase, runs, unsavedEnds} of isUp ? state.supervision.endpoints.values() : []) {
			if (phase === 'answering' && unsavedEnds.size < maxListedEnds && store.claims.get(`${poolClaimPrefix}${pool}`)?.node === node) {
				const present = endpoints.get(id)?.runs;
				missing.push(...[...runs.values()].filter(({taskId}) => present?.has(taskId) !== true).map(({taskId, run}) => `run ${run} of ${taskId} on ${id} by ${node} (${incarnation})`));
			}
		}
	}

	return missing;
}

/** Lists the runs of tasks that an owner's ledger counts on an endpoint that it supervises without them. */
function listLedgerOnlyRuns({entries, store}: JobsSimulation): string[] {
	const ledgerOnly: string[] = [];
	for (const {node, isUp, state} of entries) {
		for (const pool of isUp ? state.ledger.pools.values() : []) {
			const isOwner = store.claims.get(`${poolClaimPrefix}${pool.pool}`)?.node === node;
			const steps = isOwner ? [...pool.activeJobs].flatMap(job => [...job.steps.values()]) : [];
			for (const task of steps.flatMap(({tasks}) => [...tasks.started.values()])) {
				for (const [run, endpointId] of task.runs) {
					if (state.supervision.endpoints.get(endpointId)?.runs.has(task.id) !== true) {
						ledgerOnly.push(`run ${run} of ${task.id} on ${endpointId} in the ledger of ${node}`);
					}
				}
			}
		}
	}

	return ledgerOnly;
}
