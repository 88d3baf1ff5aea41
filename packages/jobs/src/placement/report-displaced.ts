import {type DecisionContext} from '@pistachiogauge/chain';
import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {noAccount} from './account-shares.js';
import {type DisplacedJob} from './order-by-least-cost.js';
import {type PlacementState} from './placement-state.js';

/** Minimum interval between two log lines on the displaced jobs of a pool. */
const displacedLogIntervalMs = 5000;
/** Maximum number of jobs, and of accounts, that a log line names. */
const maxLoggedNames = 10;
/** Maximum number of accounts that metrics name; the others are counted together. */
const maxLabelledAccounts = 50;

/** Counts each job when it is displaced for the first time, and logs who is displaced and why. @internal */
export function reportDisplacedJobs(placement: PlacementState, pool: string, {displaced, waitingCount}: {readonly displaced: readonly DisplacedJob[]; readonly waitingCount: number}, {now}: DecisionContext): JobOutput[] {
	const displacement = placement.displacements.get(pool);
	if (displacement === undefined || displaced.length === 0) {
		return [];
	}

	const newCounts = new Map<string, number>();
	for (const {ranked: {job}, account, reason} of displaced) {
		const profile = displacement.profiles.get(job);
		if (profile !== undefined && profile.displacedFor === undefined) {
			profile.displacedFor = reason;
			addTo(newCounts, `jobs_displaced_total{reason="${reason}",account="${getAccountLabel(placement.accountLabels, account)}"}`);
		}
	}

	const outputs = [...newCounts].map(([metric, count]) => emitCount(metric, count));
	if (now < displacement.loggedAt + displacedLogIntervalMs) {
		return outputs;
	}

	displacement.loggedAt = now;
	const reasons = new Map<string, number>();
	const accounts = new Map<string, number>();
	for (const {account, reason} of displaced) {
		addTo(reasons, reason);
		addTo(accounts, account === noAccount ? 'none' : account);
	}

	return [...outputs, emitLog('info', 'jobs displaced', {
		pool,
		waiting: waitingCount,
		displaced: displaced.length,
		reasons: Object.fromEntries(reasons),
		accounts: Object.fromEntries([...accounts].sort(([, left], [, right]) => right - left).slice(0, maxLoggedNames)),
		jobs: displaced.slice(0, maxLoggedNames).map(({ranked: {job, remainingWork, dueInMs}, reason}) => ({
			job: job.record.id, reason, priority: job.record.priority, remainingCoreMs: Math.round(remainingWork / 1000), dueInMs: Math.round(dueInMs),
		})),
	})];
}

/** Returns the label value of an account in metrics: `none` without an account, and `other` once enough accounts are named. @internal */
export function getAccountLabel(labels: Set<string>, account: string): string {
	if (account === noAccount) {
		return 'none';
	}

	// Braces and quotes would end the label.
	const label = account.replaceAll(/[^\w.:@-]/gu, '_');
	if (labels.has(label)) {
		return label;
	}

	if (labels.size >= maxLabelledAccounts) {
		return 'other';
	}

	labels.add(label);
	return label;
}

function addTo(counts: Map<string, number>, key: string): void {
	counts.set(key, (counts.get(key) ?? 0) + 1);
}
