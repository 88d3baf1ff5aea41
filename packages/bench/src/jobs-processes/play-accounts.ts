import {setTimeout as delay} from 'node:timers/promises';
import {type JobRequest} from '@pistachiogauge/platform/standins';
import {type Installation} from './installation.js';
import {type RemovedKeyProbe} from './plan-accounts.js';

const probeStep = {
	taskCount: 1, cpuMillis: 100, memoryMb: 100, estimateMs: 200, after: [], isLongRunning: false, mayDuplicate: false,
};

/** Writes the versions of the accounts that the plan has, and sends its requests with removed keys. */
export async function playAccounts(installation: Installation): Promise<void> {
	const {changes = [], probes = []} = installation.plan.accounts ?? {};
	await Promise.all([playChanges(installation, changes), ...probes.map(async probe => playProbe(installation, probe))]);
}

async function playChanges({writeAccounts}: Installation, changes: NonNullable<Installation['plan']['accounts']>['changes']): Promise<void> {
	const startedAt = performance.now();
	for (const {atMs, accounts} of changes) {
		// eslint-disable-next-line no-await-in-loop
		await delay(Math.max(0, startedAt + atMs - performance.now()));
		writeAccounts(accounts);
	}
}

/** Submits a job to every entry with a removed key, and asks for its state. */
async function playProbe({plan, callers, observe, getNowMs}: Installation, {atMs, key, jobId, queue}: RemovedKeyProbe): Promise<void> {
	const job: JobRequest = {
		jobId, queue, payload: 'ms=100', steps: [probeStep], apiKey: key,
	};
	await delay(atMs);
	await Promise.all(plan.entries.flatMap(entry => {
		const sentAt = getNowMs();
		const caller = callers.get(entry)!;
		return [
			(async () => {
				const {status} = await caller.submit(job);
				observe({
					kind: 'submit-answered', job, isRepeat: false, entry, sentAt, status, key,
				});
			})(),
			(async () => {
				const {status, state} = await caller.requestState(job);
				observe({
					kind: 'state-answered', jobId, state, entry, sentAt, status, key,
				});
			})(),
		];
	}));
}
