import {createRandomSource, type RandomSource} from '@pistachiogauge/decisions';
import {allChecks, createMonitor, type Check} from '../checks/index.js';
import {applyBundle, type Fault} from '../faults/index.js';
import {createVirtualCluster, type ClusterOptions, type VirtualCluster} from '../virtual/virtual-cluster.js';
import {chooseItem, getRandomBetween, type InvariantViolation} from '../virtual/simulation.js';

export type SoakOptions = {
	readonly seed: number;
	readonly stepCount: number;
	readonly faults: readonly Fault[];
	readonly checks?: readonly Check[];
	readonly onLine?: (line: string) => void;
};

export type SoakResult = {
	readonly seed: number;
	/** Number of steps that were started. */
	readonly stepCount: number;
	readonly violation: InvariantViolation | undefined;
	readonly traceHash: string;
	readonly traceLength: number;
	readonly lastLines: readonly string[];
	readonly counts: ReadonlyMap<string, number>;
};

const requestClasses = ['urgent', 'normal', 'deferrable'] as const;
const setupMs = 4000;
const bundleRetryMs = 1000;
const minStepMs = 5;
const maxStepMs = 45;
const stepsPerRate = 1000;
const requestProbability = 0.7;

/** Executes one randomised run in virtual time. The same options give the same trace. @public */
export function runSoak({seed, stepCount, faults, checks = allChecks, onLine}: SoakOptions): SoakResult {
	const random = createRandomSource(seed);
	const cluster = createVirtualCluster({...createClusterOptions(seed, random), onLine}, callers => createMonitor(checks, callers));
	const {simulation} = cluster;
	startCluster(cluster);
	let step = 0;
	while (step < stepCount && simulation.violation === undefined) {
		step += 1;
		if (random.getFraction() < requestProbability) {
			sendRequest(cluster, random);
		}

		for (const fault of faults) {
			if (random.getFraction() < fault.rate / stepsPerRate) {
				startFault(cluster, fault);
			}
		}

		cluster.run(getRandomBetween(random, minStepMs, maxStepMs));
	}

	countResults(cluster);
	return {
		seed,
		stepCount: step,
		violation: simulation.violation,
		traceHash: simulation.trace.getHash(),
		traceLength: simulation.trace.lineCount,
		lastLines: simulation.trace.getLines(),
		counts: simulation.counts,
	};
}

function createClusterOptions(seed: number, random: RandomSource): ClusterOptions {
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

/** Runs the cluster without faults while the first bundle is rolled out; the operator repeats the call until every entry has it in force. */
function startCluster(cluster: VirtualCluster): void {
	for (let waitedMs = 0; waitedMs < setupMs; waitedMs += bundleRetryMs) {
		const isStarted = [...cluster.simulation.entries.values()].every(entry => entry.state.bundle.current !== undefined);
		if (!isStarted && waitedMs > 0) {
			applyBundle(cluster);
		}

		cluster.run(bundleRetryMs);
	}
}

function sendRequest(cluster: VirtualCluster, random: RandomSource): void {
	const aliveEntries = [...cluster.simulation.entries.values()].filter(entry => entry.isAlive);
	if (aliveEntries.length === 0) {
		return;
	}

	// The load balancer skips entries that are not ready, but notices it late.
	const readyEntries = aliveEntries.filter(entry => entry.isReady);
	const entry = chooseItem(random, readyEntries.length > 0 && random.getFraction() < 0.9 ? readyEntries : aliveEntries);
	cluster.callers.send(entry, {
		service: chooseItem(random, cluster.simulation.bundles.serviceNames),
		requestClass: chooseItem(random, requestClasses),
		isIdempotent: random.getFraction() < 0.4,
		deadlineMs: Math.round(getRandomBetween(random, 300, 6000)),
	});
}

function startFault(cluster: VirtualCluster, fault: Fault): void {
	const {simulation} = cluster;
	simulation.trace.addLine(`${simulation.queue.now.toFixed(2)} fault ${fault.name}`);
	const end = fault.start(cluster);
	if (end !== undefined) {
		simulation.queue.add(getRandomBetween(simulation.random, fault.minDurationMs, fault.maxDurationMs), () => {
			simulation.trace.addLine(`${simulation.queue.now.toFixed(2)} end of ${fault.name}`);
			end();
		});
	}
}

function countResults({simulation, callers}: VirtualCluster): void {
	for (const {result} of callers.requests) {
		const name = `answered_${result?.outcome ?? 'nothing'}${result?.reason === undefined ? '' : `_${result.reason}`}`;
		simulation.counts.set(name, (simulation.counts.get(name) ?? 0) + 1);
	}
}
