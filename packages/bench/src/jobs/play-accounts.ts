import {createRandomSource} from '@pistachiogauge/chain';
import {type Resources} from '@pistachiogauge/jobs';
import {createAccountPlanner, type AccountPlan} from '../accounts/index.js';
import {listRunningEntries} from './inject-fault.js';
import {type SoakJob} from './job-loads.js';
import {type JobsSimulation} from './jobs-simulation.js';

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

export function createAccountsPlay(seed: number, capacity: Resources): AccountsPlay {
	const random = createRandomSource(seed + seedOffset);
	const planner = createAccountPlanner({random, capacity});
	const initialAccounts = planner.accounts;
	let isHotNow = false;
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

	return {
		initialAccounts,
		start(simulation) {
			simulation.keyChooser = {
				chooseKey: () => planner.chooseKey(isHotNow),
				chooseKeyForJob: jobId => planner.chooseKeyOf(simulation.checker.accounts.listAccountsOf(jobId)),
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
		},
		finish(simulation) {
			isHotNow = false;
			planner.restore();
			scheduleWrite(simulation, 'restored');
		},
	};
}
