import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {emitLog, type JobFilter, type JobOutput} from '../filter.js';
import {findTask, type LedgerView} from '../ledger/index.js';
import {
	getOrderTarget, isInProgress, type Run, type SupervisionView, type SupervisedEndpoint,
} from '../supervision/index.js';

/** CPU limit of the filler tasks on an endpoint. @public */
export type EndpointPace = {
	/** Percentage of their full speed at which the tasks may run. */
	percent: number;
	changedAt: number;
	/** Percentage that was last too high for the serving tasks, 101 for none; the pace stays below it for some time. */
	harmfulPercent: number;
	harmedAt: number;
};

/** @public */
export type PacingState = {
	readonly endpoints: Map<string, EndpointPace>;
	/** Runs of a previous owner, which may have paced them, until they have taken a pace from this one. */
	readonly adoptedRuns: WeakSet<Run>;
};

/** @public */
export function createPacingState(): PacingState {
	return {endpoints: new Map(), adoptedRuns: new WeakSet()};
}

/** Ratio of tail latency to objective above which the pace is lowered. */
const criticalTailRatio = 0.9;
/** Ratio of tail latency to objective below which the pace may be raised. */
const relaxedTailRatio = 0.6;
/** Time until a change of pace shows in the tail latency: the new pace applies after 100 ms, and the tail latency covers the last 500 ms. */
const settlingMs = 700;
/** Minimum time after a change before the pace is raised. */
const raiseDelayMs = 1500;
/** Step by which the pace is raised, or lowered while the objective is still met. */
const paceStepPercent = 20;
/** Time after which a harmful pace is tried again; the load that made it harmful changes within seconds. */
const harmfulPaceRetryMs = 6000;

type State = {readonly pacing: PacingState} & SupervisionView & LedgerView;

/**
Slows down filler (best-effort) tasks on endpoints where they endanger the latency objective of serving tasks, and speeds them up again when the latency allows it.

@public
*/
export const pacingFilter: JobFilter<State> = {
	name: 'pacing',
	handlers: {
		'poll-answered'(state, {endpointId}, context) {
			const supervised = state.supervision.endpoints.get(endpointId);
			return supervised?.phase === 'answering' ? updatePace(state, supervised, context) : [];
		},
		'run-adopted'({pacing, supervision}, {endpointId, taskId}) {
			const run = supervision.endpoints.get(endpointId)?.runs.get(taskId);
			if (run !== undefined) {
				pacing.adoptedRuns.add(run);
			}

			return [];
		},
		'pace-answered'({pacing, supervision}, {endpointId, taskId, run: number, percent, refusal}) {
			const run = supervision.endpoints.get(endpointId)?.runs.get(taskId);
			if (run?.run === number && refusal === undefined) {
				run.pacePercent = percent;
				pacing.adoptedRuns.delete(run);
			}

			return [];
		},
		'endpoint-forgotten'({pacing}, {endpointId}) {
			pacing.endpoints.delete(endpointId);
			return [];
		},
	},
};

function updatePace(state: State, supervised: Readonly<SupervisedEndpoint>, context: DecisionContext): JobOutput[] {
	const fillers = [...supervised.runs.values()].filter(run => run.isFiller && isInProgress(run));
	if (fillers.length === 0) {
		return [];
	}

	const pace = state.pacing.endpoints.get(supervised.id) ?? {
		percent: 100, changedAt: Number.NEGATIVE_INFINITY, harmfulPercent: 101, harmedAt: Number.NEGATIVE_INFINITY,
	};
	state.pacing.endpoints.set(supervised.id, pace);
	const tailRatio = computeTailRatio(state, supervised);
	const before = pace.percent;
	adjustPace(pace, tailRatio, context.now);
	const isPaceDue = (run: Run) => run.pacePercent !== pace.percent || (tailRatio < relaxedTailRatio && state.pacing.adoptedRuns.has(run));
	return [
		...(before === pace.percent
			? []
			: [emitLog('info', 'pace of filler tasks on endpoint changed', {
				endpoint: supervised.id, percent: pace.percent, before, strain: Math.round(tailRatio * 100) / 100, fillers: fillers.length,
			})]),
		...fillers.filter(run => isPaceDue(run)).map(run => sendPace(supervised, run, pace.percent)),
	];
}

/** Largest ratio of tail latency to objective among the serving tasks of an endpoint; 0 if there are none. */
function computeTailRatio({ledger}: State, supervised: Readonly<SupervisedEndpoint>): number {
	const pool = ledger.pools.get(supervised.pool);
	let worst = 0;
	for (const run of supervised.runs.values()) {
		const target = run.isFiller ? undefined : findTask(pool, run.taskId)?.step.spec.tailTargetMs;
		if (target !== undefined && target > 0) {
			worst = Math.max(worst, run.load / target);
		}
	}

	return worst;
}

/** Lowers or raises the pace according to the tail latency. A pace with which an objective is missed is cut to a quarter, rounded down to a multiple of 10. */
function adjustPace(pace: EndpointPace, tailRatio: number, now: number): void {
	if (now < pace.changedAt + settlingMs) {
		return;
	}

	if (tailRatio > criticalTailRatio) {
		if (pace.percent > 0) {
			pace.harmfulPercent = pace.percent;
			pace.harmedAt = now;
			pace.percent = tailRatio > 1 ? Math.floor(pace.percent / 40) * 10 : Math.max(0, pace.percent - paceStepPercent);
			pace.changedAt = now;
		}

		return;
	}

	if (now > pace.harmedAt + harmfulPaceRetryMs) {
		pace.harmfulPercent = 101;
	}

	const next = Math.min(100, pace.percent + paceStepPercent);
	if (tailRatio < relaxedTailRatio && next > pace.percent && next < pace.harmfulPercent && now > pace.changedAt + raiseDelayMs) {
		pace.percent = next;
		pace.changedAt = now;
	}
}

function sendPace(supervised: Readonly<SupervisedEndpoint>, run: Readonly<Run>, percent: number): JobOutput {
	return emitEffect({
		kind: 'pace-task', target: getOrderTarget(supervised), taskId: run.taskId, run: run.run, percent,
	});
}
