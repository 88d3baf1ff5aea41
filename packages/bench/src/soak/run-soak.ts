import {createRandomSource, type RandomSource} from '@pistachiogauge/decisions';
import {allChecks, createMonitor, type Check} from '../checks/index.js';
import {applyBundle, type Fault} from '../faults/index.js';
import {createVirtualCluster, type ClusterOptions, type VirtualCluster} from '../virtual/virtual-cluster.js';
import {chooseItem, getBetween, type InvariantViolation} from '../virtual/world.js';

export type SoakOptions = {
	readonly seed: number;
	readonly stepCount: number;
	readonly faults: readonly Fault[];
	readonly checks?: readonly Check[];
	readonly onLine?: (line: string) => void;
};

export type SoakResult = {
	readonly seed: number;
	/** Steps that were begun. */
	readonly stepCount: number;
	readonly violation: InvariantViolation | undefined;
	readonly traceHash: string;
	readonly traceLength: number;
	readonly lastLines: readonly string[];
	readonly counts: ReadonlyMap<string, number>;
};

const classes = ['urgent', 'normal', 'deferrable'] as const;
const startMs = 4000;
const bundleRetryMs = 1000;
const minStepMs = 5;
const maxStepMs = 45;
const stepsPerRate = 1000;
const requestShare = 0.7;

/** Runs one randomised run in virtual time. The same options give the same trace. @public */
export function runSoak({seed, stepCount, faults, checks = allChecks, onLine}: SoakOptions): SoakResult {
	const random = createRandomSource(seed);
	const cluster = createVirtualCluster({...createPlan(seed, random), onLine}, callers => createMonitor(checks, callers));
	const {simulation: world} = cluster;
	startCluster(cluster);
	let step = 0;
	while (step < stepCount && world.violation === undefined) {
		step += 1;
		if (random.getFraction() < requestShare) {
			sendRequest(cluster, random);
		}

		for (const fault of faults) {
			if (random.getFraction() < fault.rate / stepsPerRate) {
				startFault(cluster, fault);
			}
		}

		cluster.run(getBetween(random, minStepMs, maxStepMs));
	}

	countOutcomes(cluster);
	return {
		seed,
		stepCount: step,
		violation: world.violation,
		traceHash: world.trace.getHash(),
		traceLength: world.trace.lineCount,
		lastLines: world.trace.getLines(),
		counts: world.counts,
	};
}

function createPlan(seed: number, random: RandomSource): ClusterOptions {
	const createPool = (name: string, isSpare: boolean) => ({
		name, instanceCount: 2 + random.getInteger(4), budget: 1 + random.getInteger(2), isSpare,
	});
	return {
		seed,
		zones: ['a', 'b', 'c'],
		entryCount: 3 + random.getInteger(4),
		pools: [createPool('badge-desk', false), createPool('approval', false), createPool('admin', true)],
		services: [
			{name: 'badges', pool: 'badge-desk', queueLimit: 50},
			{name: 'visits', pool: 'badge-desk', queueLimit: 50},
			{name: 'approvals', pool: 'approval', queueLimit: 50},
			{name: 'reports', pool: 'admin', queueLimit: 20},
		],
	};
}

/** Runs without faults until the first bundle is in force; the operator calls again until then. */
function startCluster(cluster: VirtualCluster): void {
	for (let waitedMs = 0; waitedMs < startMs; waitedMs += bundleRetryMs) {
		const isStarted = [...cluster.simulation.entries.values()].every(entry => entry.state.bundle.current !== undefined);
		if (!isStarted && waitedMs > 0) {
			applyBundle(cluster);
		}

		cluster.run(bundleRetryMs);
	}
}

function sendRequest(cluster: VirtualCluster, random: RandomSource): void {
	const alive = [...cluster.simulation.entries.values()].filter(entry => entry.isAlive);
	if (alive.length === 0) {
		return;
	}

	// The balancer leaves out entries that are not ready, but learns of it late.
	const ready = alive.filter(entry => entry.isReady);
	const entry = chooseItem(random, ready.length > 0 && random.getFraction() < 0.9 ? ready : alive);
	cluster.callers.send(entry, {
		service: chooseItem(random, cluster.simulation.bundles.serviceNames),
		requestClass: chooseItem(random, classes),
		isIdempotent: random.getFraction() < 0.4,
		deadlineMs: Math.round(getBetween(random, 300, 6000)),
	});
}

function startFault(cluster: VirtualCluster, fault: Fault): void {
	const {simulation: world} = cluster;
	world.trace.addLine(`${world.queue.now.toFixed(2)} fault ${fault.name}`);
	const end = fault.start(cluster);
	if (end !== undefined) {
		world.queue.add(getBetween(world.random, fault.minMs, fault.maxMs), () => {
			world.trace.addLine(`${world.queue.now.toFixed(2)} end of ${fault.name}`);
			end();
		});
	}
}

function countOutcomes({simulation: world, callers}: VirtualCluster): void {
	for (const {result} of callers.requests) {
		const name = `answered_${result?.outcome ?? 'nothing'}${result?.reason === undefined ? '' : `_${result.reason}`}`;
		world.counts.set(name, (world.counts.get(name) ?? 0) + 1);
	}
}
