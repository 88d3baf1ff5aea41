import {applyEvent, createRandomSource} from '@pistachiogauge/decisions';
import {type OperatorCommand} from '@pistachiogauge/model';
import {createEventQueue} from './event-queue.js';
import {createTrace} from './trace.js';
import {createVirtualBundles, type PoolPlan, type ServicePlan} from './virtual-bundles.js';
import {createVirtualCallers, type VirtualCallers} from './virtual-callers.js';
import {deliverEvent, startEntry} from './virtual-entry.js';
import {createVirtualFleet} from './virtual-fleet.js';
import {createVirtualNetwork} from './virtual-network.js';
import {createVirtualStore} from './virtual-store.js';
import {
	type FaultConditions, type Decide, type Observation, type VirtualEntry, type Simulation,
} from './world.js';

/** What a run consists of. */
export type ClusterOptions = {
	readonly seed: number;
	readonly zones: readonly string[];
	readonly entryCount: number;
	readonly pools: readonly PoolPlan[];
	readonly services: readonly ServicePlan[];
	/** Decisions of every entry; tests put a deliberate fault into them. */
	readonly decide?: Decide;
	/** Told each line of the trace. */
	readonly onLine?: (line: string) => void;
};

/** Looks at what happens in a run and tells what is broken. */
export type Monitor = (world: Simulation, observation: Observation) => void;

/** An operator's call with its answer. */
export type OperatorCall = {
	readonly command: OperatorCommand;
	readonly at: number;
	answer: {readonly status: number; readonly body: unknown; readonly at: number} | undefined;
};

/** Entries, store, instances and callers in virtual time. */
export type VirtualCluster = {
	readonly simulation: Simulation;
	readonly callers: VirtualCallers;
	readonly calls: readonly OperatorCall[];
	callOperator(entry: VirtualEntry, command: OperatorCommand, operator?: string): OperatorCall;
	/** Starts another incarnation of an entry. */
	startEntry(name: string): VirtualEntry;
	/** The running incarnation of a name. */
	findEntry(name: string): VirtualEntry | undefined;
	/** Advances virtual time; stops at the first broken invariant. */
	run(durationMs: number): void;
};

const observeMs = 250;
const rackSize = 4;

/** Creates a cluster whose entries start at once. @public */
export function createVirtualCluster(plan: ClusterOptions, createMonitor: (callers: VirtualCallers) => Monitor): VirtualCluster {
	const world = createWorld(plan);
	const callers = createVirtualCallers(world);
	const monitor = createMonitor(callers);
	const calls = new Map<string, OperatorCall>();
	world.observe = observation => {
		if (observation.kind === 'caller-answered') {
			world.trace.addLine(`${world.queue.now.toFixed(2)} answer ${observation.requestId} ${observation.result.outcome} ${observation.result.reason ?? observation.result.status}`);
		}

		monitor(world, observation);
		if (observation.kind === 'caller-answered') {
			callers.recordAnswer(observation.requestId, observation.result);
		}
	};

	world.answerOperator = (callId, status, body) => {
		const call = calls.get(callId);
		if (call !== undefined) {
			call.answer ??= {status, body, at: world.queue.now};
		}
	};

	addInstances(world, plan);
	const places = Array.from({length: plan.entryCount}, (_, index) => ({
		name: `e${index + 1}`, zone: plan.zones[index % plan.zones.length]!, address: `10.0.0.${index + 1}:7000`,
	}));
	for (const {name, zone, address} of places) {
		startEntry(world, name, zone, address);
	}

	recordTime(world);
	return {
		simulation: world,
		callers,
		get calls() {
			return [...calls.values()];
		},
		callOperator(entry, command, operator = 'ayse') {
			const callId = `c${calls.size + 1}`;
			const call: OperatorCall = {command, at: world.queue.now, answer: undefined};
			calls.set(callId, call);
			world.deliver(entry, {
				kind: 'operator-called', callId, operator, command,
			});
			return call;
		},
		startEntry(name) {
			const place = places.find(item => item.name === name)!;
			return startEntry(world, name, place.zone, place.address);
		},
		findEntry: name => [...world.entries.values()].findLast(entry => entry.name === name && entry.isAlive),
		run(durationMs) {
			world.queue.runUntil(world.queue.now + durationMs, () => world.violation !== undefined);
		},
	};
}

function createWorld(plan: ClusterOptions): Simulation {
	const unset = undefined as never;
	const world: Simulation = {
		queue: createEventQueue(),
		random: createRandomSource(plan.seed),
		trace: createTrace(plan.onLine),
		conditions: createConditions(),
		entries: new Map(),
		bundles: createVirtualBundles(plan.pools, plan.services),
		counts: new Map(),
		network: unset,
		store: unset,
		fleet: unset,
		violation: undefined,
		observe: () => undefined,
		decide: plan.decide ?? applyEvent,
		deliver(entry, event) {
			deliverEvent(world, entry, event);
		},
		answerOperator: () => undefined,
	};
	world.network = createVirtualNetwork(world);
	world.store = createVirtualStore(world);
	world.fleet = createVirtualFleet(world);
	return world;
}

function createConditions(): FaultConditions {
	return {
		isStoreDown: false,
		storeDelayMs: 2,
		lostAnswerShare: 0,
		lateWriteShare: 0,
		watchDelayMs: 3,
		silentWatches: new Set(),
		blockedPaths: new Set(),
		linkDelayMs: 1,
		listLagMs: 500,
		isListDown: false,
	};
}

function addInstances(world: Simulation, plan: ClusterOptions): void {
	let count = 0;
	for (const {name, instanceCount} of plan.pools) {
		for (let index = 0; index < instanceCount; index++) {
			const rack = Math.floor(count / rackSize);
			count += 1;
			world.fleet.addInstance({
				id: `${name}-${index + 1}`,
				address: `10.1.0.${count}:80`,
				zone: plan.zones[rack % plan.zones.length]!,
				rack: `rack-${rack + 1}`,
				pool: name,
				state: 'live',
			});
		}
	}
}

function recordTime(world: Simulation): void {
	world.queue.add(observeMs, () => {
		world.observe({kind: 'time-passed'});
		recordTime(world);
	});
}
