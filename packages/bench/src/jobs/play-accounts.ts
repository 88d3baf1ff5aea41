import {createRandomSource} from '@pistachiogauge/chain';
import {type Resources} from '@pistachiogauge/jobs';
import {accountBounds, createAccountPlanner, type AccountPlan} from '../accounts/index.js';
import {listRunningEntries} from './inject-fault.js';
import {createPlainSpec, type SoakJob} from './job-loads.js';
import {type JobsSimulation} from './jobs-simulation.js';
import {type VirtualJobsEntry} from './virtual-jobs-entry.js';
import {muteWatches} from './virtual-watches.js';

/** Client accounts of a randomised run: keys of its requests, and the operator's changes. */
export type AccountsPlay = {
	readonly initialAccounts: readonly AccountPlan[];
	/** Takes over the choice of keys in a simulation. */
	start(simulation: JobsSimulation): void;
	/** Plays what happens beside one step. `hasFault`: a fault has just begun. */
	playStep(simulation: JobsSimulation, jobs: ReadonlyMap<string, SoakJob>, step: {readonly isHot: boolean; readonly hasFault: boolean}): void;
	/** Gives all accounts valid keys and caps at which the backlog ends, once the store accepts it. */
	finish(simulation: JobsSimulation): void;
};

/** Keeps the draws for accounts apart from those of the run, so that runs without accounts stay the same. */
const seedOffset = 5_000_000;
/** On average, one step in this many brings a change; one fault in `faultsPerChange` brings several at once. */
const stepsPerChange = 8;
const faultsPerChange = 2;
const maxBurst = 4;
/** Time within which the versions of a burst are written. */
const burstMs = 400;
const stepsPerStatusRequest = 2;
const writeRetryMs = 100;
/** On average, one step in this many keeps an entry from learning that keys are removed. */
const stepsPerStaleEntry = 30;
/** Duration of that, beyond `RevokeMs`. */
const staleMs = {min: 300, max: 4000} as const;
const staleRequestMs = 120;
const lateWatchMs = 500;

/** What keeps an entry from learning of a version for a duration. */
const staleCauses: ReadonlyArray<(simulation: JobsSimulation, entry: VirtualJobsEntry, durationMs: number) => void> = [
	({queue}, entry, durationMs) => {
		entry.pausedUntil = Math.max(entry.pausedUntil, queue.now + durationMs);
		// The connections of its watches are lost, so that waiting requests are handled before the changes are known.
		muteWatches(entry, entry.pausedUntil + lateWatchMs);
	},
	(simulation, entry, durationMs) => {
		entry.isStoreReachable = false;
		simulation.queue.add(durationMs, () => {
			simulation.reconnectStore(entry);
		});
	},
	({queue}, entry, durationMs) => {
		muteWatches(entry, queue.now + durationMs);
	},
];

export function createAccountsPlay(seed: number, capacity: Resources): AccountsPlay {
	const random = createRandomSource(seed + seedOffset);
	const planner = createAccountPlanner({random, capacity});
	const initialAccounts = planner.accounts;
	let isHotNow = false;
	let isFinished = false;
	/** Time of the last version of the present burst; a later change waits for it. */
	let lastWriteAt = 0;

	function writeAccounts(simulation: JobsSimulation, change: string, accounts: readonly AccountPlan[]): void {
		if (simulation.changeAccounts(accounts)) {
			simulation.logFault(`accounts of version ${simulation.configuration.current.version}: ${change}`);
			return;
		}

		simulation.queue.add(writeRetryMs, () => {
			// A version that a later one has replaced meanwhile is not written.
			if (accounts === planner.accounts) {
				writeAccounts(simulation, change, accounts);
			}
		});
	}

	function scheduleWrite(simulation: JobsSimulation, change: string): void {
		const {accounts} = planner;
		lastWriteAt = Math.max(simulation.queue.now, lastWriteAt) + (random.getFraction() * burstMs / maxBurst);
		simulation.queue.add(lastWriteAt - simulation.queue.now, () => {
			writeAccounts(simulation, change, accounts);
		});
	}

	/** Removes keys while an entry cannot learn of it, and goes on sending it requests with one of them. */
	function playStaleEntry(simulation: JobsSimulation, entry: VirtualJobsEntry, jobs: ReadonlyMap<string, SoakJob>): void {
		const removed = planner.removeKeys();
		const [firstJob] = jobs.values();
		if (removed === undefined || firstJob === undefined) {
			return;
		}

		const durationMs = accountBounds.revokeMs + staleMs.min + (random.getFraction() * (staleMs.max - staleMs.min));
		simulation.logFault(`${entry.node} does not learn that ${removed.key} is removed`);
		staleCauses[random.getInteger(staleCauses.length)]!(simulation, entry, durationMs);
		scheduleWrite(simulation, `keys of ${removed.name} removed`);
		const own = [...jobs.values()].find(({jobId}) => simulation.checker.accounts.listAccountsOf(jobId).includes(removed.name)) ?? firstJob;
		for (let atMs = accountBounds.revokeMs; atMs < durationMs + staleRequestMs; atMs += staleRequestMs) {
			simulation.queue.add(atMs, () => {
				simulation.submitJob(entry, firstJob.queueName, createPlainSpec(), {durationMs: 100}, removed.key);
				simulation.requestStatus(entry, own.queueName, own.jobId, removed.key);
			});
		}
	}

	return {
		initialAccounts,
		start(simulation) {
			simulation.keyChooser = {
				chooseKey: () => planner.chooseKey(isHotNow),
				chooseKeyForJob(jobId) {
					const names = simulation.checker.accounts.listAccountsOf(jobId);
					// The cancellations at the end have to succeed.
					return isFinished ? planner.chooseValidKeyOf(simulation.store.getStoredJob(jobId)?.job.account ?? names[0] ?? '') : planner.chooseKeyOf(names);
				},
			};
		},
		playStep(simulation, jobs, {isHot, hasFault}) {
			isHotNow = isHot;
			const isBurst = hasFault && random.getInteger(faultsPerChange) === 0;
			const changeCount = isBurst ? 1 + random.getInteger(maxBurst) : (random.getInteger(stepsPerChange) === 0 ? 1 : 0);
			for (let count = 0; count < changeCount; count++) {
				scheduleWrite(simulation, planner.change());
			}

			const entries = listRunningEntries(simulation);
			const asked = [...jobs.values()][random.getInteger(Math.max(1, jobs.size))];
			if (entries.length > 0 && asked !== undefined && random.getInteger(stepsPerStatusRequest) === 0) {
				simulation.requestStatus(entries[random.getInteger(entries.length)]!, asked.queueName, asked.jobId);
			}

			if (entries.length > 0 && random.getInteger(stepsPerStaleEntry) === 0) {
				playStaleEntry(simulation, entries[random.getInteger(entries.length)]!, jobs);
			}
		},
		finish(simulation) {
			isHotNow = false;
			isFinished = true;
			planner.restore();
			scheduleWrite(simulation, 'restored');
		},
	};
}
