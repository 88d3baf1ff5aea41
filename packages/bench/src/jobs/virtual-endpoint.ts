import {
	type RunOutcome, type Endpoint, type JobEffectOf, type JobEvent, type OrderRefusal, type ReportedEnd, type Resources,
} from '@pistachiogauge/jobs';
import {type EventQueue} from '../virtual/event-queue.js';

/** A run on a virtual endpoint. */
export type VirtualRun = {
	readonly taskId: string;
	readonly run: number;
	readonly room: Resources;
	readonly startedAt: number;
	/** Virtual ms at which it ends by itself; infinite for a long-running task. */
	readonly endsAt: number;
	readonly sentBy: string;
};

/** What a task is like, as only the emulator knows it. */
export type TaskNature = {
	readonly room: Resources;
	readonly isFiller: boolean;
	/** Infinite for a long-running task. */
	readonly durationMs: number;
	/** Whether its runs fail. */
	readonly isHopeless: boolean;
};

export type EndpointObserver = {
	readonly started: (endpoint: VirtualEndpoint, run: VirtualRun) => void;
	readonly ended: (endpoint: VirtualEndpoint, run: VirtualRun, how: RunOutcome) => void;
	/** The lease has run out; ends that were not taken note of before count as never taken note of. */
	readonly lapsed: (endpoint: VirtualEndpoint) => void;
	/** Ends up to a number have been taken note of. */
	readonly noted: (endpoint: VirtualEndpoint, end: ReportedEnd) => void;
};

/** An endpoint in virtual time, by the rules of the platform's page on running tasks. */
export type VirtualEndpoint = {
	readonly registration: Endpoint;
	readonly runs: ReadonlyMap<string, VirtualRun>;
	isUp: boolean;
	/** Whether answers get through. */
	isReachable: boolean;
	hold(order: JobEffectOf<'poll-endpoint'>, answer: (event: JobEvent) => void): void;
	startTask(order: JobEffectOf<'start-task'>, sentBy: string): OrderRefusal | number;
	stopTask(order: JobEffectOf<'stop-task'>): OrderRefusal | undefined;
	crash(): void;
};

/** Endpoints' clocks are slow by as much as they may be. */
const clockRate = 1 / 1.02;
const clockStart = 500_000;

/** Startup of a long-running task in ms, after which it is at work. */
const startupMs = 300;

/** Share of a run's work that is done; of its startup, for a long-running task. */
function getPercent({startedAt, endsAt}: VirtualRun, now: number): number {
	const wholeMs = Number.isFinite(endsAt) ? endsAt - startedAt : startupMs;
	return Math.min(100, Math.floor((100 * (now - startedAt)) / wholeMs));
}

export function createVirtualEndpoint(queue: EventQueue, registration: Endpoint, getNature: (taskId: string) => TaskNature, observer: EndpointObserver): VirtualEndpoint {
	const bornAt = queue.now;
	const runs = new Map<string, VirtualRun>();
	const highest = new Map<string, number>();
	let ended: ReportedEnd[] = [];
	let endNumber = 0;
	let token = 0;
	let deadlineMs = 0;
	let waiting: (() => void) | undefined;
	const getClock = () => Math.floor(clockStart + ((queue.now - bornAt) * clockRate));

	function endRun(run: VirtualRun, how: RunOutcome): void {
		if (!endpoint.isUp || runs.get(run.taskId) !== run) {
			return;
		}

		runs.delete(run.taskId);
		highest.set(run.taskId, Math.max(highest.get(run.taskId) ?? 0, run.run));
		endNumber += 1;
		ended.push({
			number: endNumber, taskId: run.taskId, run: run.run, outcome: how, checkpoint: '',
		});
		observer.ended(endpoint, run, how);
		waiting?.();
	}

	/** Kills everything once the lease has run out. */
	function checkLease(): void {
		if (endpoint.isUp && getClock() >= deadlineMs) {
			observer.lapsed(endpoint);
			for (const run of runs.values()) {
				endRun(run, 'lapsed');
			}
		}
	}

	function extendLease(untilMs: number): void {
		if (untilMs > deadlineMs) {
			deadlineMs = untilMs;
			queue.add(((untilMs - getClock()) / clockRate) + 2, checkLease);
		}
	}

	function getFreeRoom(): Resources {
		let {cpuMillis, memoryMb, gpus} = registration.capacity;
		for (const run of runs.values()) {
			cpuMillis -= run.room.cpuMillis;
			memoryMb -= run.room.memoryMb;
			gpus -= run.room.gpus;
		}

		return {cpuMillis, memoryMb, gpus};
	}

	function refuse(order: {readonly target: {readonly endpointId: string; readonly token: number}}): OrderRefusal | undefined {
		if (!endpoint.isUp) {
			return 'not-sent';
		}

		if (order.target.endpointId !== registration.id) {
			return 'other-incarnation';
		}

		if (order.target.token < token) {
			return 'fenced';
		}

		token = order.target.token;
		return undefined;
	}

	const endpoint: VirtualEndpoint = {
		registration,
		runs,
		isUp: true,
		isReachable: true,
		hold(order, answer) {
			const refusal = refuse(order);
			if (refusal !== undefined) {
				answer({
					kind: 'poll-refused', endpointId: registration.id, token: order.target.token, refusal,
				});
				return;
			}

			extendLease(order.deadlineMs ?? 0);
			for (const end of ended.filter(({number}) => number <= order.lastSavedEnd)) {
				observer.noted(endpoint, end);
			}

			ended = ended.filter(({number}) => number > order.lastSavedEnd);
			let isAnswered = false;
			const finish = () => {
				if (isAnswered) {
					return;
				}

				isAnswered = true;
				waiting = undefined;
				answer({
					kind: 'poll-answered',
					endpointId: registration.id,
					token: order.target.token,
					clockMs: getClock(),
					startedAt: registration.startedAt,
					running: [...runs.values()].map(run => ({
						taskId: run.taskId, run: run.run, checkpoint: '', percent: getPercent(run, queue.now), load: 0,
					})),
					ended,
				});
			};

			if (ended.length > 0 || order.waitMs === 0) {
				finish();
				return;
			}

			waiting = finish;
			queue.add(order.waitMs, finish);
		},
		startTask(order, sentBy) {
			const refusal = refuse(order);
			if (refusal !== undefined) {
				return refusal;
			}

			extendLease(order.deadlineMs);
			if (order.deadlineMs <= getClock()) {
				return 'late';
			}

			if (runs.get(order.taskId)?.run === order.run) {
				return getClock();
			}

			if (order.run <= (highest.get(order.taskId) ?? 0)) {
				return 'outdated';
			}

			const nature = getNature(order.taskId);
			const room = nature.isFiller ? {...nature.room, cpuMillis: 0} : nature.room;
			const free = getFreeRoom();
			if (room.cpuMillis > free.cpuMillis || room.memoryMb > free.memoryMb || room.gpus > free.gpus) {
				return 'no-room';
			}

			const run: VirtualRun = {
				taskId: order.taskId, run: order.run, room, startedAt: queue.now, endsAt: queue.now + nature.durationMs, sentBy,
			};
			runs.set(order.taskId, run);
			observer.started(endpoint, run);
			if (Number.isFinite(nature.durationMs)) {
				queue.add(nature.durationMs, () => {
					endRun(run, nature.isHopeless ? 'failed' : 'done');
				});
			}

			return getClock();
		},
		stopTask(order) {
			const refusal = refuse(order);
			if (refusal !== undefined) {
				return refusal;
			}

			const run = runs.get(order.taskId);
			highest.set(order.taskId, Math.max(highest.get(order.taskId) ?? 0, order.run));
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
