import {createPlainSpec} from './job-loads.js';
import {type JobInvariantViolation} from './job-invariant-checker.js';
import {createJobsSimulation, type JobsSimulation} from './jobs-simulation.js';
import {type EndpointOrder, type OrderRoute} from './order-routes.js';
import {muteWatches} from './virtual-watches.js';

/** What happens to the pool, its owner, or the endpoint that restarts. */
type StepName = 'submit' | 'submit-filler' | 'restart' | 'restart-quickly' | 'cut' | 'block-orders' | 'unblock-orders' | 'kill-owner' | 'deafen-owner';

/** A restart of an endpoint, and orders that are carried out by its next process. */
export type RecutCase = {
	readonly name: string;
	/** Duration of the tasks that `submit` adds. */
	readonly durationMs: number;
	/** What happens when, in ms. At 0, no endpoint has a run. */
	readonly steps: ReadonlyArray<readonly [at: number, name: StepName]>;
	/** Chooses the route of an order that reaches the endpoint at a time in ms; undefined for the usual one. */
	readonly route: (order: EndpointOrder, at: number) => OrderRoute | undefined;
};

export type RecutResult = {
	readonly violations: readonly JobInvariantViolation[];
	readonly unfinishedJobIds: readonly string[];
	/** Number of orders whose route the case has chosen. */
	readonly routedCount: number;
};

const seed = 7;
const queueName = 'jobs-desk';
/** The endpoint that restarts. The first task is placed there. */
const endpointId = 'endpoint-1';
/** Time in which the clocks of the first processes get ahead of those of the next ones. */
const settleMs = 20_000;
/** Time after the last step in which all jobs end. */
const endMs = 60_000;
const darkMs = 600;
/** Short enough that the owner's next poll waits on the new process, and no poll fails. */
const quickRestartMs = 20;
const cutMs = 9000;
const fillerMs = 8000;
const deafMs = 15_000;
/** A task takes all that an endpoint has. */
const endpointCapacity = {cpuMillis: 1000, memoryMb: 1000, gpus: 0};

function submitJob(simulation: JobsSimulation, durationMs: number): string {
	const entry = simulation.entries.find(each => each.isUp)!;
	return simulation.submitJob(entry, queueName, createPlainSpec({room: endpointCapacity, estimateMs: durationMs}), {durationMs});
}

function findOwner({entries, store}: JobsSimulation) {
	return entries.find(({node}) => node === store.claims.get('pool/desk')?.node)!;
}

function restartEndpoint(simulation: JobsSimulation, downMs: number): void {
	const endpoint = simulation.endpoints.get(endpointId)!;
	endpoint.isDark = true;
	simulation.restartEndpoint(endpoint, downMs);
}

/** Handlers of steps; those that submit a job return its id. */
const stepHandlers: Readonly<Record<StepName, (simulation: JobsSimulation, durationMs: number) => string | void>> = {
	submit: submitJob,
	'submit-filler': simulation => submitJob(simulation, fillerMs),
	restart(simulation) {
		restartEndpoint(simulation, darkMs);
	},
	'restart-quickly'(simulation) {
		restartEndpoint(simulation, quickRestartMs);
	},
	cut(simulation) {
		const cut = {nodes: new Set([endpointId]), direction: 'both'} as const;
		simulation.network.startCut(cut);
		simulation.queue.add(cutMs, () => {
			simulation.network.endCut(cut);
		});
	},
	'block-orders'(simulation) {
		simulation.endpoints.get(endpointId)!.isReachable = false;
	},
	'unblock-orders'(simulation) {
		simulation.endpoints.get(endpointId)!.isReachable = true;
	},
	'kill-owner'(simulation) {
		simulation.killEntry(findOwner(simulation), endMs);
	},
	'deafen-owner'(simulation) {
		muteWatches(findOwner(simulation), simulation.queue.now + deafMs);
	},
};

/** Plays a case in virtual time. */
export function playRecut({durationMs, steps, route}: RecutCase): RecutResult {
	const simulation = createJobsSimulation({
		seed, entryCount: 4, pools: {desk: 2}, endpointCapacity,
	});
	simulation.runFor(settleMs);
	let routedCount = 0;
	simulation.orderRouter = order => {
		const chosen = order.target.endpointId === endpointId ? route(order, simulation.queue.now - settleMs) : undefined;
		routedCount += chosen === undefined ? 0 : 1;
		return chosen;
	};

	const jobIds: string[] = [];
	for (const [at, name] of steps) {
		simulation.runFor(settleMs + at - simulation.queue.now);
		const jobId = stepHandlers[name](simulation, durationMs);
		if (typeof jobId === 'string') {
			jobIds.push(jobId);
		}
	}

	simulation.runFor(endMs);
	return {
		violations: simulation.checker.violations,
		unfinishedJobIds: jobIds.filter(id => simulation.store.getProgress(id)?.status !== 'done'),
		routedCount,
	};
}

/** Chooses a route that carries the starts that arrive before a time out late. */
export function holdStarts(beforeMs: number, delayMs: number): RecutCase['route'] {
	return ({kind}, at) => kind === 'start-task' && at < beforeMs ? {kind: 'late', delayMs} : undefined;
}
