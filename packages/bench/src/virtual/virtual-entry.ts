import {
	createEntryState, createRandomSource, type DecisionContext,
} from '@pistachiogauge/decisions';
import {
	defaultTimings, type Effect, type EffectKind, type EffectOf, type InputEvent,
} from '@pistachiogauge/model';
import {createVirtualClock} from './virtual-clock.js';
import {addCount, type VirtualEntry, type Simulation} from './world.js';

type SinkTable = {readonly [Kind in EffectKind]: (world: Simulation, entry: VirtualEntry, effect: EffectOf<Kind>) => void};

const tickMs = 50;

const sinks: SinkTable = {
	'answer-caller'(world, entry, {requestId, result}) {
		world.observe({
			kind: 'caller-answered', entry, requestId, result,
		});
	},
	'send-endpoint'(world, entry, effect) {
		world.fleet.sendAttempt(entry, effect);
	},
	'probe-endpoint'(world, entry, effect) {
		world.fleet.probeEndpoint(entry, effect);
	},
	'reboot-instance'(world, entry, {instanceId}) {
		world.fleet.rebootInstance(entry, instanceId);
	},
	'send-peer'(world, entry, {to, message}) {
		world.network.sendMessage(entry, to, message);
	},
	'open-link'(world, entry, {entryId, address}) {
		world.network.openLink(entry, entryId, address);
	},
	'close-link'(world, entry, {entryId}) {
		world.network.closeLink(entry, entryId);
	},
	'read-store': runStoreEffect,
	'write-store': runStoreEffect,
	'delete-store': runStoreEffect,
	'answer-operator'(world, _entry, {callId, status, body}) {
		world.answerOperator(callId, status, body);
	},
	'set-readiness'(_world, entry, {isReady}) {
		entry.isReady = isReady;
	},
	'stop-process'(world, entry, {exitCode}) {
		world.observe({kind: 'entry-stopped', entry, exitCode});
		endEntry(world, entry);
	},
	count(world, _entry, {metric, by}) {
		addCount(world, metric, by);
	},
	observe() {
		// Quantiles are of no use to a run.
	},
	log(world, entry, {message, fields}) {
		if (message === 'invariant broken') {
			world.violation ??= {invariant: String(fields.invariant), message: `${entry.id}: ${String(fields.detail)}`, at: world.queue.now};
		}
	},
	'handler-failed'(world, entry, {filter, eventKind, error}) {
		world.violation ??= {
			invariant: 'handler-failed', message: `${entry.id}: filter ${filter} failed on ${eventKind}: ${error instanceof Error ? error.stack ?? error.message : String(error)}`, at: world.queue.now,
		};
	},
};

function runStoreEffect(world: Simulation, entry: VirtualEntry, effect: EffectOf<'read-store'> | EffectOf<'write-store'> | EffectOf<'delete-store'>): void {
	world.store.runOperation(entry, effect);
}

/** Starts one incarnation of an entry. */
export function startEntry(world: Simulation, name: string, zone: string, address: string): VirtualEntry {
	const {random, queue} = world;
	const incarnation = [...world.entries.values()].filter(entry => entry.name === name).length + 1;
	const id = `${name}.${incarnation}`;
	const entry: VirtualEntry = {
		id,
		name,
		zone,
		address,
		state: createEntryState({
			id, zone, peerAddress: address, timings: defaultTimings, verifyBundle: world.bundles.verifyBundle,
		}),
		clock: createVirtualClock(random),
		random: createRandomSource(random.getInteger(2 ** 30)),
		isAlive: true,
		isPaused: false,
		isReady: false,
		isApplying: false,
		runningSince: queue.now,
		inbox: [],
	};
	world.entries.set(id, entry);
	world.store.addClient(entry);
	world.fleet.addListClient(entry);
	queue.add(random.getInteger(tickMs), () => {
		advanceEntry(world, entry);
	});
	return entry;
}

function advanceEntry(world: Simulation, entry: VirtualEntry): void {
	if (!entry.isAlive) {
		return;
	}

	if (!entry.isPaused) {
		deliverEvent(world, entry, {kind: 'tick'});
	}

	world.queue.add(entry.clock.getDuration(tickMs), () => {
		advanceEntry(world, entry);
	});
}

/** Hands an event to an entry; during a pause it waits. */
export function deliverEvent(world: Simulation, entry: VirtualEntry, event: InputEvent): void {
	if (!entry.isAlive) {
		return;
	}

	entry.inbox.push(event);
	runInbox(world, entry);
}

function runInbox(world: Simulation, entry: VirtualEntry): void {
	if (entry.isApplying) {
		return;
	}

	entry.isApplying = true;
	while (entry.inbox.length > 0 && entry.isAlive && !entry.isPaused) {
		applyToEntry(world, entry, entry.inbox.shift()!);
	}

	entry.isApplying = false;
}

function applyToEntry(world: Simulation, entry: VirtualEntry, event: InputEvent): void {
	const time = world.queue.now;
	const context: DecisionContext = {
		now: entry.clock.getNow(time), wallTime: entry.clock.getWallTime(time), random: entry.random,
	};
	const effects = world.decide(entry.state, event, context);
	if (event.kind !== 'tick' || effects.length > 0) {
		world.trace.addLine(formatStep(time, entry, event, effects));
	}

	world.observe({
		kind: 'entry-stepped', entry, event, effects,
	});
	for (const effect of effects) {
		(sinks[effect.kind] as (target: Simulation, source: VirtualEntry, value: Effect) => void)(world, entry, effect);
	}
}

function formatStep(time: number, entry: VirtualEntry, event: InputEvent, effects: readonly Effect[]): string {
	const parts = [time.toFixed(2), entry.id, event.kind];
	if ('from' in event) {
		parts.push('from', event.from);
	}

	for (const name of ['requestId', 'attemptId', 'operationId', 'key', 'result', 'entryId'] as const) {
		if (name in event) {
			parts.push(String((event as Partial<Record<typeof name, unknown>>)[name]));
		}
	}

	return `${parts.join(' ')} -> ${effects.map(effect => formatEffect(effect)).join(' ')}`;
}

function formatEffect(effect: Effect): string {
	if (effect.kind === 'send-peer') {
		return `${effect.message.kind}>${effect.to}`;
	}

	return effect.kind === 'send-endpoint' ? `send:${effect.request.requestId}` : effect.kind;
}

/** Stops a process from running; events wait for its return. */
export function pauseEntry(entry: VirtualEntry): void {
	entry.isPaused = true;
}

/** Lets a paused process run again: timers are due first, then what has arrived. */
export function resumeEntry(world: Simulation, entry: VirtualEntry): void {
	if (!entry.isAlive || !entry.isPaused) {
		return;
	}

	entry.isPaused = false;
	entry.runningSince = world.queue.now;
	if (entry.random.getFraction() < 0.5) {
		entry.inbox.unshift({kind: 'tick'});
	}

	runInbox(world, entry);
}

/** Ends a process at once, without a farewell. */
export function endEntry(world: Simulation, entry: VirtualEntry): void {
	if (entry.isAlive) {
		entry.isAlive = false;
		entry.isReady = false;
		world.network.removeEntry(entry);
		for (const endpoint of world.fleet.endpoints.values()) {
			endpoint.connections.delete(entry.id);
		}
	}
}
