import {type JobSpec, type StepSpec} from '@pistachiogauge/jobs';
import {createJobsWorld, type JobsWorld, type WorldEntry} from './jobs-world.js';
import {type JobInvariantViolation} from './promises.js';

/** Result of a randomised run of jobs. */
export type JobsSoakResult = {
	readonly seed: number;
	readonly violations: readonly JobInvariantViolation[];
	/** Accepted jobs that were neither done, failed nor cancelled at the end, though the faults had ended. */
	readonly unfinishedJobIds: readonly string[];
	readonly acceptedCount: number;
	readonly startCount: number;
};

export type JobsSoakOptions = {
	readonly seed: number;
	readonly steps: number;
	readonly faults: readonly string[];
	/** Told each line of the entries' logs and each fault. */
	readonly onLine?: (line: string) => void;
};

type Fault = (world: JobsWorld) => void;

const pools = {desk: 3, notify: 3};
const entryCount = 4;
/** About one and a half times what the drawn jobs ask for, so that a backlog ends with the faults. */
const endpointRoom = {cpuMillis: 24_000, memoryMb: 64_000, gpus: 0};
/** Longest outage in virtual ms that a fault draws; longer than leases, so that these run out at times. */
const longestOutageMs = 9000;

function pick<Item>(world: JobsWorld, items: readonly Item[]): Item | undefined {
	return items.length === 0 ? undefined : items[world.random.getInteger(items.length)];
}

function drawMs(world: JobsWorld, longest = longestOutageMs): number {
	return 200 + world.random.getInteger(longest);
}

function listUp(world: JobsWorld): WorldEntry[] {
	return world.entries.filter(entry => entry.isUp);
}

const faults: Readonly<Record<string, Fault>> = {
	'entry-killed'(world) {
		const entry = pick(world, listUp(world));
		if (entry !== undefined) {
			world.killEntry(entry, drawMs(world));
		}
	},
	'all-entries-killed'(world) {
		for (const entry of listUp(world)) {
			world.killEntry(entry, 500 + world.random.getInteger(2500));
		}
	},
	'entry-paused'(world) {
		const entry = pick(world, listUp(world));
		if (entry !== undefined) {
			entry.frozenUntil = world.queue.now + drawMs(world, 6000);
		}
	},
	'entry-without-store'(world) {
		const entry = pick(world, listUp(world));
		if (entry !== undefined) {
			entry.isStoreReachable = false;
			world.queue.add(drawMs(world), () => {
				world.reconnect(entry);
			});
		}
	},
	'store-down'(world) {
		world.isStoreUp = false;
		world.queue.add(drawMs(world, 5000), () => {
			world.isStoreUp = true;
			world.loseHistory();
		});
	},
	'history-lost'(world) {
		world.loseHistory();
	},
	'endpoint-crashed'(world) {
		const endpoint = pick(world, [...world.endpoints.values()].filter(each => each.isUp));
		if (endpoint !== undefined) {
			world.crashEndpoint(endpoint, drawMs(world, 5000));
		}
	},
	'endpoint-cut'(world) {
		const endpoint = pick(world, [...world.endpoints.values()].filter(each => each.isUp));
		if (endpoint !== undefined) {
			endpoint.isReachable = false;
			world.queue.add(drawMs(world, 12_000), () => {
				endpoint.isReachable = true;
			});
		}
	},
	'orders-late'(world) {
		world.lateShare = 0.15;
		world.queue.add(drawMs(world, 5000), () => {
			world.lateShare = 0;
		});
	},
};

/** Names of the faults, for the command line. */
export const jobFaults: readonly string[] = Object.keys(faults);

function createStep(world: JobsWorld, isFirst: boolean): StepSpec {
	const isLongRunning = isFirst && world.random.getInteger(12) === 0;
	return {
		count: 1 + world.random.getInteger(5),
		room: {cpuMillis: 500 + world.random.getInteger(2500), memoryMb: 400, gpus: 0},
		estimateMs: 300 + world.random.getInteger(1500),
		after: isFirst ? [] : [0],
		isCheckpointing: false,
		isGang: false,
		isSameRack: false,
		requiredLabel: undefined,
		dataRack: undefined,
		endpointLimit: isLongRunning ? 2 : undefined,
		mayDuplicate: false,
		isLongRunning,
		image: '',
		tailTargetMs: undefined,
		isFiller: false,
		missLimit: isLongRunning ? 1 : undefined,
	};
}

function submitOne(world: JobsWorld): {readonly jobId: string; readonly queueName: string; readonly isLongRunning: boolean} | undefined {
	const entry = pick(world, listUp(world));
	if (entry === undefined) {
		return undefined;
	}

	const first = createStep(world, true);
	const steps = first.isLongRunning || world.random.getInteger(2) === 0 ? [first] : [first, createStep(world, false)];
	const spec: JobSpec = {
		payload: '', steps, repeatCount: 0, startAtMs: 0, intervalMs: 0,
	};
	const queueName = `jobs-${pick(world, Object.keys(pools))!}`;
	const jobId = world.submitJob(entry, queueName, spec, {
		durationMs: first.isLongRunning ? Number.POSITIVE_INFINITY : 200 + world.random.getInteger(2500), isHopeless: world.random.getInteger(30) === 0,
	});
	return {jobId, queueName, isLongRunning: first.isLongRunning};
}

/** Time in virtual ms between two steps, and for everything to end after the last one. */
const stepMs = 150;
const endMs = 60_000;
/** One step in this many brings a fault, and one a cancellation. */
const faultEvery = 14;
const cancelEvery = 11;

/** Plays jobs with random faults and checks the promises; the same seed gives the same run. */
export function runJobsSoak(options: JobsSoakOptions): JobsSoakResult {
	const world = createJobsWorld({
		seed: options.seed, entryCount, pools, room: endpointRoom, onLine: options.onLine,
	});
	world.runFor(1500);
	const jobs = new Map<string, {readonly queueName: string; readonly isLongRunning: boolean}>();
	for (let count = 0; count < options.steps && world.promises.breaches.length === 0; count++) {
		const job = submitOne(world);
		if (job !== undefined) {
			jobs.set(job.jobId, job);
		}

		if (world.random.getInteger(faultEvery) === 0) {
			const fault = pick(world, options.faults) ?? '';
			options.onLine?.(`${world.queue.now.toFixed(1)} fault ${fault}`);
			faults[fault]?.(world);
		}

		const entry = pick(world, listUp(world));
		const cancelled = pick(world, [...jobs.keys()]);
		if (entry !== undefined && cancelled !== undefined && world.random.getInteger(cancelEvery) === 0) {
			world.cancelJob(entry, jobs.get(cancelled)!.queueName, cancelled);
		}

		world.runFor(stepMs * 2 * world.random.getFraction());
	}

	for (const [jobId, {queueName, isLongRunning}] of jobs) {
		const entry = world.entries[0]!;
		if (isLongRunning) {
			world.queue.add(endMs / 2, () => {
				world.cancelJob(entry, queueName, jobId);
			});
		}
	}

	world.runFor(endMs);
	const accepted = [...jobs].filter(([id]) => world.answers.get(`submit-${id}`)?.kind === 'accepted');
	const unfinished = accepted
		.filter(([id]) => world.records.getProgress(id)?.endedAt === undefined)
		.map(([id]) => id);
	return {
		seed: options.seed, violations: world.promises.breaches, unfinishedJobIds: unfinished, acceptedCount: accepted.length, startCount: world.promises.getStartCount(),
	};
}
