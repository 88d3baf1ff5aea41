import {
	addResources, noResources, type AccountSummary, type Resources,
} from '@pistachiogauge/jobs';
import {type Metrics} from '@pistachiogauge/telemetry';

/** Maximum number of accounts that the metrics name in the life of a process, so that the number of time series is bounded. */
const maxNamedAccounts = 50;
const otherAccounts = 'other';

type Gauges = {readonly share: Resources; readonly used: Resources; readonly waitingJobs: number; readonly cap: Resources};

const noGauges: Gauges = {
	share: noResources, used: noResources, waitingJobs: 0, cap: noResources,
};

/** Creates the function that sets the gauges of the accounts; the first accounts are named, all others are summed up as `other`. @internal */
export function createAccountGauges(metrics: Pick<Metrics, 'setGauge'>): (summaries: readonly AccountSummary[]) => void {
	const namedAccounts = new Set<string>();
	const labels = new Set<string>();
	return summaries => {
		const gauges = new Map<string, Gauges>();
		for (const summary of summaries) {
			if (namedAccounts.size < maxNamedAccounts) {
				namedAccounts.add(summary.account);
			}

			const label = namedAccounts.has(summary.account) ? escapeLabel(summary.account) : otherAccounts;
			labels.add(label);
			gauges.set(label, addGauges(gauges.get(label) ?? noGauges, summary));
		}

		for (const label of labels) {
			const {share, used, waitingJobs, cap} = gauges.get(label) ?? noGauges;
			metrics.setGauge(`account_cap_millis{account="${label}"}`, cap.cpuMillis);
			metrics.setGauge(`account_share_millis{account="${label}"}`, share.cpuMillis);
			metrics.setGauge(`account_used_millis{account="${label}"}`, used.cpuMillis);
			metrics.setGauge(`account_share_memory_mb{account="${label}"}`, share.memoryMb);
			metrics.setGauge(`account_used_memory_mb{account="${label}"}`, used.memoryMb);
			metrics.setGauge(`account_waiting_jobs{account="${label}"}`, waitingJobs);
		}
	};
}

function addGauges(left: Gauges, right: Gauges): Gauges {
	return {
		share: addResources(left.share, right.share), used: addResources(left.used, right.used), cap: addResources(left.cap, right.cap), waitingJobs: left.waitingJobs + right.waitingJobs,
	};
}

/** Replaces what would end a label or be taken for another one; a name may hold any character. */
function escapeLabel(name: string): string {
	const text = name.replaceAll(/["\\{},\p{Cc}]/gu, '_');
	return text === otherAccounts ? `${text}_` : text;
}
