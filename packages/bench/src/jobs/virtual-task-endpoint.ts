import {
	computeOrderToken, type RunOutcome, type Endpoint, type JobEffectOf, type JobEvent, type OrderRefusal, type OrderTarget, type ReportedEnd, type Resources,
} from '@pistachiogauge/jobs';
import {type EventQueue} from '../virtual/event-queue.js';
import {type VirtualAdviceService} from './virtual-advice-service.js';

/** One run of a task on a simulated endpoint. */
export type VirtualRun = {
	readonly taskId: string;
	readonly run: number;
	readonly resources: Resources;
	readonly startedAt: number;
	/** Virtual time in ms at which the run ends by itself; infinite for a long-running task. */
	readonly endsAt: number;
	readonly starter: OrderSender;
};

/** The entry that sent an order, at the time when the order arrived. */
export type OrderSender = {
	readonly node: string;
	/** Whether it held the claim on the pool. */
	readonly isOwner: boolean;
	/** Whether it had reached the store, and the store it, for some seconds. */
	readonly isInTouch: boolean;
	/** Whether the endpoint held the order back for seconds. */
	readonly isLate: boolean;
};

/** How a task behaves in the simulation; the scheduler does not know it. */
export type TaskBehaviour = {
	readonly resources: Resources;
	readonly isFiller: boolean;
	/** Infinite for a long-running task. */
	readonly durationMs: number;
	/** Whether every run of the task fails. */
	readonly isFailing: boolean;
	/** Whether its queue requires a ticket of the advice service. */
	readonly isAdvised: boolean;
};

/** Is notified of what happens on simulated endpoints. */
export type EndpointObserver = {
	readonly recordStart: (endpoint: VirtualTaskEndpoint, run: VirtualRun) => void;
	readonly recordEnd: (endpoint: VirtualTaskEndpoint, run: VirtualRun, end: ReportedEnd) => void;
	/** The endpoint's lease has expired; ends that no poll has acknowledged before count as never acknowledged. */
	readonly recordLeaseExpiry: (endpoint: VirtualTaskEndpoint) => void;
	/** The owner has saved this end and acknowledged it in a poll. */
	readonly recordAcknowledgedEnd: (endpoint: VirtualTaskEndpoint, end: ReportedEnd) => void;
};

/** An endpoint that runs tasks in virtual time, according to the platform's page on running tasks. */
export type VirtualTaskEndpoint = {
	readonly registration: Endpoint;
	readonly runs: ReadonlyMap<string, VirtualRun>;
	isUp: boolean;
	/** Whether orders and answers get through. */
	isReachable: boolean;
	/** Whether orders that arrive after its end wait for the next process under its id, instead of being refused. */
	isDark: boolean;
	/** The order that last extended the lease, in virtual ms. */
	lastRenewal: {readonly sender: OrderSender; readonly at: number} | undefined;
	poll(order: JobEffectOf<'poll-endpoint'>, sender: OrderSender, answer: (event: JobEvent) => void): void;
	startTask(order: JobEffectOf<'start-task'>, sender: OrderSender): OrderRefusal | number;
	stopTask(order: JobEffectOf<'stop-task'>): OrderRefusal | undefined;
	crash(): void;
};

export type VirtualTaskEndpointOptions = {
	/** Rate of the endpoint's clock; at most 2% below 1. */
	readonly clockRate: number;
	readonly getBehaviour: (taskId: string) => TaskBehaviour;
	readonly advice: VirtualAdviceService;
	/** Is notified of starts and ends. */
	readonly observer: EndpointObserver;
};

const clockStartMs = 500_000;
/** Longest lease that an endpoint accepts; a longer one is shortened. */
const maxLeaseMs = 10_000;

/** Startup time of a long-running task, after which it reports 100 percent. */
const startupMs = 300;

/** Progress of a run in percent; for a long-running task, progress of its startup. */
function getPercent({startedAt, endsAt}: VirtualRun, now: number): number {
	const totalMs = Number.isFinite(endsAt) ? endsAt - startedAt : startupMs;
	return Math.min(100, Math.floor((100 * (now - startedAt)) / totalMs));
}

/** Creates an endpoint with an empty state. */
export function createVirtualTaskEndpoint(queue: EventQueue, registration: Endpoint, {
	clockRate, getBehaviour, advice, observer,
}: VirtualTaskEndpointOptions): VirtualTaskEndpoint {
	const createdAt = queue.now;
	const runs = new Map<string, VirtualRun>();
	const highestRuns = new Map<string, number>();
	let unacknowledgedEnds: ReportedEnd[] = [];
	let lastEndNumber = 0;
	let highestToken = 0;
	let leaseDeadlineMs = 0;
	let answerPendingPoll: (() => void) | undefined;
	const getClockMs = () => Math.floor(clockStartMs + ((queue.now - createdAt) * clockRate));

	function endRun(run: VirtualRun, outcome: RunOutcome): void {
		if (!endpoint.isUp || runs.get(run.taskId) !== run) {
			return;
		}

		runs.delete(run.taskId);
		highestRuns.set(run.taskId, Math.max(highestRuns.get(run.taskId) ?? 0, run.run));
		lastEndNumber += 1;
		const end: ReportedEnd = {
			number: lastEndNumber, taskId: run.taskId, run: run.run, outcome, checkpoint: '',
		};
		unacknowledgedEnds.push(end);
		observer.recordEnd(endpoint, run, end);
		answerPendingPoll?.();
	}

	/** Stops all runs once the lease has expired. */
	function expireLease(): void {
		if (endpoint.isUp && getClockMs() >= leaseDeadlineMs) {
			observer.recordLeaseExpiry(endpoint);
			for (const run of runs.values()) {
				endRun(run, 'lapsed');
			}
		}
	}

	function extendLease(requestedDeadlineMs: number, sender: OrderSender): void {
		const newDeadlineMs = Math.min(requestedDeadlineMs, getClockMs() + maxLeaseMs);
		if (newDeadlineMs > leaseDeadlineMs) {
			leaseDeadlineMs = newDeadlineMs;
			endpoint.lastRenewal = {sender, at: queue.now};
			queue.add(((newDeadlineMs - getClockMs()) / clockRate) + 2, expireLease);
		}
	}

	function computeFreeResources(): Resources {
		let {cpuMillis, memoryMb, gpus} = registration.capacity;
		for (const run of runs.values()) {
			cpuMillis -= run.resources.cpuMillis;
			memoryMb -= run.resources.memoryMb;
			gpus -= run.resources.gpus;
		}

		return {cpuMillis, memoryMb, gpus};
	}

	/** Refuses an order that is for another incarnation or carries an outdated fencing token; records a newer token. */
	function checkOrder({target}: {readonly target: OrderTarget}): OrderRefusal | undefined {
		if (!endpoint.isUp) {
			return 'not-sent';
		}

		if (target.endpointId !== registration.id) {
			return 'other-incarnation';
		}

		const fencingToken = computeOrderToken(target);
		if (fencingToken < highestToken) {
			return 'fenced';
		}

		highestToken = fencingToken;
		return undefined;
	}

	const endpoint: VirtualTaskEndpoint = {
		registration,
		runs,
		isUp: true,
		isReachable: true,
		isDark: false,
		lastRenewal: undefined,
		poll(order, sender, answer) {
			const refusal = checkOrder(order);
			if (refusal !== undefined) {
				answer({
					kind: 'poll-refused', endpointId: registration.id, token: order.target.token, generation: order.target.generation, refusal,
				});
				return;
			}

			extendLease(order.deadlineMs ?? 0, sender);
			for (const end of unacknowledgedEnds.filter(({number}) => number <= order.lastSavedEnd)) {
				observer.recordAcknowledgedEnd(endpoint, end);
			}

			unacknowledgedEnds = unacknowledgedEnds.filter(({number}) => number > order.lastSavedEnd);
			let isAnswered = false;
			const answerOnce = () => {
				if (isAnswered || !endpoint.isUp) {
					return;
				}

				isAnswered = true;
				answerPendingPoll = undefined;
				answer({
					kind: 'poll-answered',
					endpointId: registration.id,
					token: order.target.token,
					generation: order.target.generation,
					clockMs: getClockMs(),
					startedAt: registration.startedAt,
					running: [...runs.values()].map(run => ({
						taskId: run.taskId, run: run.run, checkpoint: '', percent: getPercent(run, queue.now), load: 0,
					})),
					ended: [...unacknowledgedEnds],
				});
			};

			if (unacknowledgedEnds.length > 0 || order.waitMs === 0) {
				answerOnce();
				return;
			}

			answerPendingPoll = answerOnce;
			queue.add(order.waitMs, answerOnce);
		},
		startTask(order, sender) {
			const refusal = checkOrder(order);
			if (refusal !== undefined) {
				return refusal;
			}

			if (order.deadlineMs <= getClockMs()) {
				return 'late';
			}

			extendLease(order.deadlineMs, sender);
			if (runs.get(order.taskId)?.run === order.run) {
				return getClockMs();
			}

			if (order.run <= (highestRuns.get(order.taskId) ?? 0)) {
				return 'outdated';
			}

			const behaviour = getBehaviour(order.taskId);
			if (behaviour.isAdvised && !advice.isTicketValid(order.ticket, order.taskId, registration)) {
				return 'no-ticket';
			}

			const resources = behaviour.isFiller ? {...behaviour.resources, cpuMillis: 0} : behaviour.resources;
			const freeResources = computeFreeResources();
			if (resources.cpuMillis > freeResources.cpuMillis || resources.memoryMb > freeResources.memoryMb || resources.gpus > freeResources.gpus) {
				return 'no-room';
			}

			const run: VirtualRun = {
				taskId: order.taskId, run: order.run, resources, startedAt: queue.now, endsAt: queue.now + behaviour.durationMs, starter: sender,
			};
			runs.set(order.taskId, run);
			observer.recordStart(endpoint, run);
			if (Number.isFinite(behaviour.durationMs)) {
				queue.add(behaviour.durationMs, () => {
					endRun(run, behaviour.isFailing ? 'failed' : 'done');
				});
			}

			return getClockMs();
		},
		stopTask(order) {
			const refusal = checkOrder(order);
			if (refusal !== undefined) {
				return refusal;
			}

			const run = runs.get(order.taskId);
			highestRuns.set(order.taskId, Math.max(highestRuns.get(order.taskId) ?? 0, order.run));
			if (run !== undefined && run.run <= order.run) {
				queue.add(100, () => {
					endRun(run, 'stopped');
				});
			}

			return undefined;
		},
		crash() {
			endpoint.isUp = false;
			runs.clear();
		},
	};
	return endpoint;
}
