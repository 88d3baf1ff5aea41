import {
	computeOrderToken, type JobEffectOf, type JobEvent, type OrderRefusal, type ReportedEnd, type RunId, type RunOutcome,
} from '../model/index.js';

/** An order that an endpoint carries out. @internal */
export type TestOrder = JobEffectOf<'poll-endpoint'> | JobEffectOf<'start-task'> | JobEffectOf<'stop-task'>;

/** Collects the starts that break the rule that a task runs once. @internal */
export type TestRunLog = {
	readonly violations: readonly string[];
	recordStart(process: string, run: RunId, now: number): void;
	recordEnd(process: string, run: RunId, outcome: RunOutcome): void;
	/** The owner has acknowledged the end: no start of the task may follow it, or have followed it. */
	recordAcknowledgedEnd(process: string, run: RunId): void;
	recordCrash(process: string): void;
};

/** One process of an endpoint. @internal */
export type TestProcess = {
	/** Carries out an order. @returns Its answer. */
	carryOut(order: TestOrder, now: number): JobEvent;
	/** Ends runs that are over, and all of them when the lease has expired. */
	advance(now: number): void;
	crash(): void;
};

type Run = {readonly run: number; readonly startedAt: number; readonly endsAt: number; readonly outcome: RunOutcome};

const firstClockMs = 1000;
/** Endpoints shorten longer leases to this time. */
const maxLeaseMs = 10_000;
const stopMs = 50;

type TrackedRun = {
	readonly process: string;
	readonly taskId: string;
	readonly name: string;
	state: 'running' | 'done' | 'acknowledged';
	/** Starts of the task since it was done. */
	readonly laterStarts: string[];
};

/** @internal */
export function createTestRunLog(): TestRunLog {
	const violations: string[] = [];
	let runs: TrackedRun[] = [];
	const describeRun = (process: string, {taskId, run}: RunId): string => `${taskId} run ${run} on ${process}`;
	const findRun = (process: string, run: RunId): TrackedRun | undefined => runs.find(({name}) => name === describeRun(process, run));
	const handleOtherRun: Readonly<Record<TrackedRun['state'], (other: TrackedRun, start: string) => void>> = {
		running(other, start) {
			violations.push(`${start} beside ${other.name}`);
		},
		done(other, start) {
			other.laterStarts.push(start);
		},
		acknowledged(other, start) {
			violations.push(`${start} after the end of ${other.name}`);
		},
	};
	return {
		violations,
		recordStart(process, run, now) {
			const start = `${describeRun(process, run)} at ${now} ms`;
			for (const other of runs.filter(({taskId}) => taskId === run.taskId)) {
				handleOtherRun[other.state](other, start);
			}

			runs.push({
				process, taskId: run.taskId, name: describeRun(process, run), state: 'running', laterStarts: [],
			});
		},
		recordEnd(process, run, outcome) {
			const ended = findRun(process, run);
			if (outcome === 'done' && ended !== undefined) {
				ended.state = 'done';
				return;
			}

			runs = runs.filter(each => each !== ended);
		},
		recordAcknowledgedEnd(process, run) {
			const ended = findRun(process, run);
			if (ended?.state === 'done') {
				ended.state = 'acknowledged';
				violations.push(...ended.laterStarts.map(start => `${start} after the end of ${ended.name}`));
			}
		},
		recordCrash(process) {
			runs = runs.filter(each => each.process !== process || each.state === 'acknowledged');
		},
	};
}

/** Creates a process that knows nothing of an earlier one under the same id, and on which each task takes `durationMs`. @internal */
export function createTestProcess({
	name, startedAt, bornAt, durationMs, log,
}: {
	readonly name: string;
	/** Unix ms that the process gives as its start. */
	readonly startedAt: number;
	/** Start in ms of the test; its clock is at 1000 then. */
	readonly bornAt: number;
	readonly durationMs: number;
	readonly log: TestRunLog;
}): TestProcess {
	const runs = new Map<string, Run>();
	const highestRuns = new Map<string, number>();
	let ends: ReportedEnd[] = [];
	let endCount = 0;
	let highestToken = 0;
	let leaseDeadlineMs = 0;
	let isUp = true;
	const getClockMs = (now: number): number => firstClockMs + now - bornAt;

	function extendLease(deadlineMs: number, now: number): void {
		leaseDeadlineMs = Math.max(leaseDeadlineMs, Math.min(deadlineMs, getClockMs(now) + maxLeaseMs));
	}

	function endRun(taskId: string, run: number, outcome: RunOutcome): void {
		runs.delete(taskId);
		highestRuns.set(taskId, Math.max(run, highestRuns.get(taskId) ?? 0));
		endCount += 1;
		ends.push({
			number: endCount, taskId, run, outcome, checkpoint: '',
		});
		log.recordEnd(name, {taskId, run}, outcome);
	}

	function startRun({taskId, run, deadlineMs}: JobEffectOf<'start-task'>, now: number): OrderRefusal | undefined {
		if (deadlineMs <= getClockMs(now)) {
			return 'late';
		}

		extendLease(deadlineMs, now);
		if (runs.get(taskId)?.run === run) {
			return undefined;
		}

		if (run <= Math.max(highestRuns.get(taskId) ?? 0, runs.get(taskId)?.run ?? 0)) {
			return 'outdated';
		}

		runs.set(taskId, {
			run, startedAt: now, endsAt: now + durationMs, outcome: 'done',
		});
		log.recordStart(name, {taskId, run}, now);
		return undefined;
	}

	function stopRun({taskId, run}: JobEffectOf<'stop-task'>, now: number): void {
		highestRuns.set(taskId, Math.max(run, highestRuns.get(taskId) ?? 0));
		const current = runs.get(taskId);
		if (current !== undefined && current.run <= run) {
			runs.set(taskId, {...current, endsAt: Math.min(current.endsAt, now + stopMs), outcome: 'stopped'});
		}
	}

	function acknowledgeEnds(lastNumber: number): void {
		for (const end of ends.filter(({number}) => number <= lastNumber)) {
			log.recordAcknowledgedEnd(name, end);
		}

		ends = ends.filter(({number}) => number > lastNumber);
	}

	const handlers: {readonly [Kind in TestOrder['kind']]: (order: JobEffectOf<Kind>, now: number) => JobEvent} = {
		'poll-endpoint'(order, now) {
			extendLease(order.deadlineMs ?? 0, now);
			acknowledgeEnds(order.lastSavedEnd);
			return {
				kind: 'poll-answered',
				endpointId: order.target.endpointId,
				token: order.target.token,
				generation: order.target.generation,
				clockMs: getClockMs(now),
				startedAt,
				running: [...runs].map(([taskId, {run, startedAt: begunAt}]) => ({
					taskId, run, checkpoint: '', percent: Math.floor(100 * (now - begunAt) / durationMs), load: 0,
				})),
				ended: [...ends],
			};
		},
		'start-task'(order, now) {
			const {target: {endpointId, token}, taskId, run} = order;
			const refusal = startRun(order, now);
			return refusal === undefined
				? {
					kind: 'start-answered', endpointId, token, taskId, run, clockMs: getClockMs(now),
				}
				: {
					kind: 'start-refused', endpointId, token, taskId, run, refusal,
				};
		},
		'stop-task'(order, now) {
			const {target: {endpointId, token, generation}, taskId, run} = order;
			stopRun(order, now);
			return {
				kind: 'stop-answered', endpointId, token, generation, taskId, run, refusal: undefined,
			};
		},
	};

	return {
		advance(now) {
			const isLeaseOver = getClockMs(now) >= leaseDeadlineMs;
			for (const [taskId, {run, endsAt, outcome}] of isUp ? runs : []) {
				if (now >= endsAt || isLeaseOver) {
					endRun(taskId, run, now >= endsAt ? outcome : 'lapsed');
				}
			}
		},
		carryOut(order, now) {
			const fencingToken = computeOrderToken(order.target);
			if (fencingToken < highestToken) {
				return createTestRefusal(order, 'fenced');
			}

			highestToken = fencingToken;
			const handle = handlers[order.kind] as (order: TestOrder, now: number) => JobEvent;
			return handle(order, now);
		},
		crash() {
			isUp = false;
			log.recordCrash(name);
		},
	};
}

/** Creates the event of an order that was refused or got no answer. @internal */
export function createTestRefusal(order: TestOrder, refusal: OrderRefusal): JobEvent {
	const {endpointId, token, generation} = order.target;
	if (order.kind === 'poll-endpoint') {
		return {
			kind: 'poll-refused', endpointId, token, generation, refusal,
		};
	}

	const {taskId, run} = order;
	return order.kind === 'start-task'
		? {
			kind: 'start-refused', endpointId, token, taskId, run, refusal,
		}
		: {
			kind: 'stop-answered', endpointId, token, generation, taskId, run, refusal,
		};
}
