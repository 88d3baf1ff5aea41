import {passEvent, type DecisionContext} from '@pistachiogauge/chain';
import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {type JobEventOf} from '../model/index.js';
import {dropRun} from './drop-runs.js';
import {getLateOrderExpiry, getRestartedLeaseExpiry, getRestartedStartTime} from './lease-clock.js';
import {advanceGeneration, type SupervisedEndpoint} from './supervision-state.js';

/** Counts the runs of an endpoint by what is known of them, for the log. */
function summarizeRuns({runs, unsavedEnds}: SupervisedEndpoint): {readonly runs: number; readonly unansweredStarts: number; readonly unsavedEnds: number} {
	return {runs: runs.size, unansweredStarts: [...runs.values()].filter(({phase}) => phase !== 'running').length, unsavedEnds: unsavedEnds.size};
}

/** Drops the runs of an endpoint's former process. Starts that it has not listed are kept, as a later process may carry them out. @internal */
export function recordRestart(endpoint: SupervisedEndpoint, answer: JobEventOf<'poll-answered'>, context: DecisionContext): JobOutput[] {
	return [
		emitLog('warn', 'endpoint restarted', {
			endpoint: endpoint.id, bornAt: answer.startedAt, before: endpoint.startedAt, clockMs: answer.clockMs, lastReadMs: endpoint.clockMs, lastAnswerAgeMs: Math.round(context.now - endpoint.clockReadAt), ...summarizeRuns(endpoint),
		}),
		emitCount('endpoint_restarts_total'),
		...dropListedRuns(endpoint),
	];
}

/** Handles the certain knowledge that a process of an endpoint has been replaced, before an answer has shut out the orders that were meant for it. @internal */
export function handleReplacedProcess(endpoint: SupervisedEndpoint, {now}: DecisionContext): JobOutput[] {
	advanceGeneration(endpoint, now);
	endpoint.isProcessReplaced = true;
	endpoint.phase = 'silent';
	endpoint.silentSince ??= now;
	endpoint.startableSince = Number.POSITIVE_INFINITY;
	// Its deadlines are times on the former clock.
	endpoint.clockMs = undefined;
	endpoint.leaseDeadlineMs = 0;
	endpoint.previousLeaseExpiresAt = Math.max(endpoint.previousLeaseExpiresAt, getLateOrderExpiry(now));
	return dropListedRuns(endpoint);
}

function dropListedRuns(endpoint: SupervisedEndpoint): JobOutput[] {
	return [...endpoint.runs.values()]
		.filter(({listedByProcess}) => listedByProcess !== undefined && listedByProcess === endpoint.startedAt)
		.flatMap(run => dropRun(endpoint, run, 'endpoint-restarted'));
}

/** Begins with a process of an endpoint, once no earlier order takes effect there any more. It may have been granted a lease by such an order until now. @internal */
export function acceptProcess(endpoint: SupervisedEndpoint, startedAt: number, {now}: DecisionContext): JobOutput {
	const isFirst = endpoint.startedAt === undefined;
	const former = endpoint.startedAt ?? endpoint.recordedProcess;
	const hasRestarted = former !== undefined && former !== startedAt;
	if (hasRestarted || !isFirst || now < endpoint.previousLeaseExpiresAt) {
		// The previous owner may not have noticed a restart.
		endpoint.previousLeaseExpiresAt = getRestartedLeaseExpiry(now);
	}

	endpoint.startableSince = hasRestarted || !isFirst ? getRestartedStartTime(now) : now;
	endpoint.startedAt = startedAt;
	endpoint.isProcessReplaced = false;
	endpoint.lateStartsUntil = 0;
	const accepted = passEvent({
		kind: 'endpoint-process-accepted', pool: endpoint.pool, endpointId: endpoint.id, startedAt,
	} as const);
	if (isFirst || !hasRestarted) {
		return accepted;
	}

	endpoint.hasSeenRestart = true;
	endpoint.lastProcessedEnd = 0;
	endpoint.acknowledgedEnd = 0;
	endpoint.acknowledgingEnd = 0;
	endpoint.acknowledgementHeldSince = undefined;
	endpoint.unsavedEnds.clear();
	endpoint.clockMs = undefined;
	endpoint.leaseDeadlineMs = 0;
	for (const run of endpoint.runs.values()) {
		run.startedClockMs = undefined;
		run.confirmedClockMs = undefined;
		run.progressedClockMs = 0;
	}

	return accepted;
}
