import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {emitLog, type JobFilter, type JobOutput} from '../filter.js';
import {findTask, type LedgerView} from '../ledger/index.js';
import {
	getOrderTarget, type Run, type SupervisionView, type SupervisedEndpoint,
} from '../supervision/index.js';

/** Pace of the tasks that fill on an endpoint. @public */
export type EndpointPace = {
	/** Share in percent at which they may work. */
	percent: number;
	changedAt: number;
	/** Percentage that was last too much for the serving tasks. */
	harmfulPercent: number;
	harmedAt: number;
};

/** @public */
export type PacingState = {readonly endpoints: Map<string, EndpointPace>};

/** @public */
export function createPacingState(): PacingState {
	return {endpoints: new Map()};
}

/** Share of its objective at which a serving task's tail is too near to it. */
const nearShare = 0.9;
/** Share of its objective below which the tasks beside it may work more. */
const easyShare = 0.6;
/** Time in ms for a change of pace to show: the pace holds from 100 ms on and the tail is of the last 500 ms. */
const settleMs = 700;
/** Time in ms without harm after which the pace is raised. */
const raisePauseMs = 1500;
/** Step in percent by which the pace is raised. */
const raiseStep = 20;
/** Time in ms after which a share that did harm is tried again; what disturbs changes within seconds. */
const retryHarmMs = 6000;

type State = {readonly pacing: PacingState} & SupervisionView & LedgerView;

/**
Slows tasks that fill an endpoint's idle processors where they make serving tasks miss their objective, and lets them work again when these have room.

@public
*/
export const pacingFilter: JobFilter<State> = {
	name: 'pacing',
	handlers: {
		'poll-answered'(state, {endpointId}, context) {
			const watch = state.supervision.endpoints.get(endpointId);
			return watch?.phase === 'answering' ? paceEndpoint(state, watch, context) : [];
		},
		'pace-answered'({supervision}, {endpointId, taskId, run: number, percent, refusal}) {
			const run = supervision.endpoints.get(endpointId)?.runs.get(taskId);
			if (run?.run === number && refusal === undefined) {
				run.pacePercent = percent;
			}

			return [];
		},
		'endpoint-forgotten'({pacing}, {endpointId}) {
			pacing.endpoints.delete(endpointId);
			return [];
		},
	},
};

function paceEndpoint(state: State, watch: Readonly<SupervisedEndpoint>, context: DecisionContext): JobOutput[] {
	const fillers = [...watch.runs.values()].filter(run => run.isFiller && run.phase === 'running');
	if (fillers.length === 0) {
		return [];
	}

	const pace = state.pacing.endpoints.get(watch.id) ?? {
		percent: 100, changedAt: Number.NEGATIVE_INFINITY, harmfulPercent: 101, harmedAt: Number.NEGATIVE_INFINITY,
	};
	state.pacing.endpoints.set(watch.id, pace);
	const strain = getStrain(state, watch);
	const before = pace.percent;
	adjustPace(pace, strain, context.now);
	return [
		...(before === pace.percent
			? []
			: [emitLog('info', 'pace changed', {
				endpoint: watch.id, percent: pace.percent, before, strain: Math.round(strain * 100) / 100, fillers: fillers.length,
			})]),
		...fillers.filter(run => run.pacePercent !== pace.percent).map(run => paceRun(watch, run, pace.percent)),
	];
}

/** The worst tail of the serving tasks as a share of its objective. */
function getStrain({ledger}: State, watch: Readonly<SupervisedEndpoint>): number {
	const pool = ledger.pools.get(watch.pool);
	let strain = 0;
	for (const run of watch.runs.values()) {
		const target = run.isFiller ? undefined : findTask(pool, run.taskId)?.step.spec.tailTargetMs;
		if (target !== undefined && target > 0) {
			strain = Math.max(strain, run.load / target);
		}
	}

	return strain;
}

function adjustPace(pace: EndpointPace, strain: number, now: number): void {
	if (now < pace.changedAt + settleMs) {
		return;
	}

	if (strain > nearShare) {
		if (pace.percent > 0) {
			pace.harmfulPercent = pace.percent;
			pace.harmedAt = now;
			pace.percent = strain > 1 ? Math.floor(pace.percent / 40) * 10 : Math.max(0, pace.percent - raiseStep);
			pace.changedAt = now;
		}

		return;
	}

	if (now > pace.harmedAt + retryHarmMs) {
		pace.harmfulPercent = 101;
	}

	const next = Math.min(100, pace.percent + raiseStep);
	if (strain < easyShare && next > pace.percent && next < pace.harmfulPercent && now > pace.changedAt + raisePauseMs) {
		pace.percent = next;
		pace.changedAt = now;
	}
}

function paceRun(watch: Readonly<SupervisedEndpoint>, run: Readonly<Run>, percent: number): JobOutput {
	return emitEffect({
		kind: 'pace-task', target: getOrderTarget(watch), taskId: run.taskId, run: run.run, percent,
	});
}
