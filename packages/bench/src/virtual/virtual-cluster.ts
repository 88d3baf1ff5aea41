import {applyEvent, createRandomSource} from '@pistachiogauge/decisions';
import {type OperatorCommand} from '@pistachiogauge/model';
import {createEventQueue} from './event-queue.js';
import {createTrace} from './trace.js';
import {createVirtualBundles, type PoolOptions, type ServiceOptions} from './virtual-bundles.js';
import {createVirtualCallers, type VirtualCallers} from './virtual-callers.js';
import {deliverEvent, startEntry} from './virtual-entry.js';
import {createVirtualFleet} from './virtual-fleet.js';
import {createVirtualNetwork} from './virtual-network.js';
import {createVirtualStore} from './virtual-store.js';
import {
	type FaultConditions, type Decide, type Observation, type VirtualEntry, type Simulation,
} from './simulation.js';

/** Size, configuration and seed of a simulated cluster. */
export type ClusterOptions = {
	readonly seed: number;
	readonly zones: readonly string[];
	readonly entryCount: number;
	readonly pools: readonly PoolOptions[];
	readonly services: readonly ServiceOptions[];
	/** Decision function of every entry; tests replace it to inject faults. */
	readonly decide?: Decide;
	/** Receives each line of the trace. */
	readonly onLine?: (line: string) => void;
};

/** Receives the observations of a run and records invariant violations. */
export type Monitor = (simulation: Simulation, observation: Observation) => void;

/** A call of an operator with its answer. */
export type OperatorCall = {
	readonly command: OperatorCommand;
	readonly at: number;
	answer: {readonly status: number; readonly body: unknown; readonly at: number} | undefined;
};

/** A cluster of entries, store, instances and callers in virtual time. */
export type VirtualCluster = {
	readonly simulation: Simulation;
	readonly callers: VirtualCallers;
	readonly operatorCalls: readonly OperatorCall[];
	callOperator(entry: VirtualEntry, command: OperatorCommand, operator?: string): OperatorCall;
	/** Starts a new incarnation of an entry. */
	startEntry(name: string): VirtualEntry;
	/** Returns the running incarnation of an entry; undefined if none runs. */
	findEntry(name: string): VirtualEntry | undefined;
	/** Advances virtual time; stops at the first invariant violation. */
	run(durationMs: number): void;
};

const observationIntervalMs = 250;
const instancesPerRack = 4;

/** Creates a cluster whose entries start at virtual time 0. @public */
export function createVirtualCluster(options: ClusterOptions, createMonitor: (callers: VirtualCallers) => Monitor): VirtualCluster {
	const simulation = createSimulation(options);
	const callers = createVirtualCallers(simulation);
	const monitor = createMonitor(callers);
	const calls = new Map<string, OperatorCall>();
	simulation.observe = observation => {
		if (observation.kind === 'caller-answered') {
			simulation.trace.addLine(`${simulation.queue.now.toFixed(2)} answer ${observation.requestId} ${observation.result.outcome} ${observation.result.reason ?? observation.result.status}`);
		}

		monitor(simulation, observation);
		if (observation.kind === 'caller-answered') {
			callers.recordAnswer(observation.requestId, observation.result);
		}
	};

	simulation.answerOperator = (callId, status, body) => {
		const call = calls.get(callId);
		if (call !== undefined) {
			call.answer ??= {status, body, at: simulation.queue.now};
		}
	};

	addInstances(simulation, options);
	const entryLocations = Array.from({length: options.entryCount}, (_, index) => ({
		name: `e${index + 1}`, zone: options.zones[index % options.zones.length]!, address: `10.0.0.${index + 1}:7000`,
	}));
	for (const {name, zone, address} of entryLocations) {
		startEntry(simulation, name, zone, address);
	}

	scheduleTimeObservation(simulation);
	return {
		simulation,
		callers,
		get operatorCalls() {
			return [...calls.values()];
		},
		callOperator(entry, command, operator = 'ayse') {
			const callId = `c${calls.size + 1}`;
			const call: OperatorCall = {command, at: simulation.queue.now, answer: undefined};
			calls.set(callId, call);
			simulation.deliver(entry, {
				kind: 'operator-called', callId, operator, command,
			});
			return call;
		},
		startEntry(name) {
			const location = entryLocations.find(item => item.name === name)!;
			return startEntry(simulation, name, location.zone, location.address);
		},
		findEntry: name => [...simulation.entries.values()].findLast(entry => entry.name === name && entry.isAlive),
		run(durationMs) {
			simulation.queue.runUntil(simulation.queue.now + durationMs, () => simulation.violation !== undefined);
		},
	};
}

function createSimulation(options: ClusterOptions): Simulation {
	const uninitialized = undefined as never;
	const simulation: Simulation = {
		queue: createEventQueue(),
		random: createRandomSource(options.seed),
		trace: createTrace(options.onLine),
		conditions: createConditions(),
		entries: new Map(),
		bundles: createVirtualBundles(options.pools, options.services),
		counts: new Map(),
		network: uninitialized,
		store: uninitialized,
		fleet: uninitialized,
		violation: undefined,
		observe: () => undefined,
		decide: options.decide ?? applyEvent,
		deliver(entry, event) {
			deliverEvent(simulation, entry, event);
		},
		answerOperator: () => undefined,
	};
	simulation.network = createVirtualNetwork(simulation);
	simulation.store = createVirtualStore(simulation);
	simulation.fleet = createVirtualFleet(simulation);
	return simulation;
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

function addInstances(simulation: Simulation, options: ClusterOptions): void {
	let count = 0;
	for (const {name, instanceCount} of options.pools) {
		for (let index = 0; index < instanceCount; index++) {
			const rack = Math.floor(count / instancesPerRack);
			count += 1;
			simulation.fleet.addInstance({
				id: `${name}-${index + 1}`,
				address: `10.1.0.${count}:80`,
				zone: options.zones[rack % options.zones.length]!,
				rack: `rack-${rack + 1}`,
				pool: name,
				state: 'live',
			});
		}
	}
}

function scheduleTimeObservation(simulation: Simulation): void {
	simulation.queue.add(observationIntervalMs, () => {
		simulation.observe({kind: 'interval-elapsed'});
		scheduleTimeObservation(simulation);
	});
}
