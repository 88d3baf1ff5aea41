import {
	createEntryState, createRandomSource, type DecisionContext,
} from '@pistachiogauge/decisions';
import {
	defaultTimings, type Effect, type EffectKind, type EffectOf, type InputEvent,
} from '@pistachiogauge/model';
import {createVirtualClock} from './virtual-clock.js';
import {addCount, type VirtualEntry, type Simulation} from './simulation.js';

type SinkTable = {readonly [Kind in EffectKind]: (simulation: Simulation, entry: VirtualEntry, effect: EffectOf<Kind>) => void};

const tickMs = 50;

const sinks: SinkTable = {
	'answer-caller'(simulation, entry, {requestId, result}) {
		simulation.observe({
			kind: 'caller-answered', entry, requestId, result,
		});
	},
	'send-endpoint'(simulation, entry, effect) {
		simulation.fleet.sendAttempt(entry, effect);
	},
	'probe-endpoint'(simulation, entry, effect) {
		simulation.fleet.probeEndpoint(entry, effect);
	},
	'reboot-instance'(simulation, entry, {instanceId}) {
		simulation.fleet.rebootInstance(entry, instanceId);
	},
	'send-peer'(simulation, entry, {to, message}) {
		simulation.network.sendMessage(entry, to, message);
	},
	'open-link'(simulation, entry, {entryId, address}) {
		simulation.network.openLink(entry, entryId, address);
	},
	'close-link'(simulation, entry, {entryId}) {
		simulation.network.closeLink(entry, entryId);
	},
	'read-store': runStoreEffect,
	'write-store': runStoreEffect,
	'delete-store': runStoreEffect,
	'answer-operator'(simulation, _entry, {callId, status, body}) {
		simulation.answerOperator(callId, status, body);
	},
	'set-readiness'(_simulation, entry, {isReady}) {
		entry.isReady = isReady;
	},
	'stop-process'(simulation, entry, {exitCode}) {
		simulation.observe({kind: 'entry-stopped', entry, exitCode});
		endEntry(simulation, entry);
	},
	count(simulation, _entry, {metric, by}) {
		addCount(simulation, metric, by);
	},
	observe() {
		// The simulation does not evaluate latency quantiles.
	},
	log(simulation, entry, {message, fields}) {
		if (message === 'invariant broken') {
			simulation.violation ??= {invariant: String(fields.invariant), message: `${entry.id}: ${String(fields.detail)}`, at: simulation.queue.now};
		}
	},
	'handler-failed'(simulation, entry, {filter, eventKind, error}) {
		simulation.violation ??= {
			invariant: 'handler-failed', message: `${entry.id}: filter ${filter} failed on ${eventKind}: ${error instanceof Error ? error.stack ?? error.message : String(error)}`, at: simulation.queue.now,
		};
	},
};

function runStoreEffect(simulation: Simulation, entry: VirtualEntry, effect: EffectOf<'read-store'> | EffectOf<'write-store'> | EffectOf<'delete-store'>): void {
	simulation.store.runOperation(entry, effect);
}

/** Starts a new incarnation of an entry. */
export function startEntry(simulation: Simulation, name: string, zone: string, address: string): VirtualEntry {
	const {random, queue} = simulation;
	const incarnation = [...simulation.entries.values()].filter(entry => entry.name === name).length + 1;
	const id = `${name}.${incarnation}`;
	const entry: VirtualEntry = {
		id,
		name,
		zone,
		address,
		state: createEntryState({
			id, zone, peerAddress: address, timings: defaultTimings, verifyBundle: simulation.bundles.verifyBundle,
		}),
		clock: createVirtualClock(random),
		random: createRandomSource(random.getInteger(2 ** 30)),
		isAlive: true,
		isPaused: false,
		isReady: false,
		isApplying: false,
		runningSince: queue.now,
		pendingEvents: [],
	};
	simulation.entries.set(id, entry);
	simulation.store.addClient(entry);
	simulation.fleet.startListPolling(entry);
	queue.add(random.getInteger(tickMs), () => {
		tickEntry(simulation, entry);
	});
	return entry;
}

function tickEntry(simulation: Simulation, entry: VirtualEntry): void {
	if (!entry.isAlive) {
		return;
	}

	if (!entry.isPaused) {
		deliverEvent(simulation, entry, {kind: 'tick'});
	}

	simulation.queue.add(entry.clock.computeVirtualMs(tickMs), () => {
		tickEntry(simulation, entry);
	});
}

/** Delivers an event to an entry; while the entry is paused the event stays queued. */
export function deliverEvent(simulation: Simulation, entry: VirtualEntry, event: InputEvent): void {
	if (!entry.isAlive) {
		return;
	}

	entry.pendingEvents.push(event);
	applyPendingEvents(simulation, entry);
}

function applyPendingEvents(simulation: Simulation, entry: VirtualEntry): void {
	if (entry.isApplying) {
		return;
	}

	entry.isApplying = true;
	while (entry.pendingEvents.length > 0 && entry.isAlive && !entry.isPaused) {
		applyEventToEntry(simulation, entry, entry.pendingEvents.shift()!);
	}

	entry.isApplying = false;
}

function applyEventToEntry(simulation: Simulation, entry: VirtualEntry, event: InputEvent): void {
	const time = simulation.queue.now;
	const context: DecisionContext = {
		now: entry.clock.getNow(time), wallTime: entry.clock.getWallTime(time), random: entry.random,
	};
	const effects = simulation.decide(entry.state, event, context);
	if (event.kind !== 'tick' || effects.length > 0) {
		simulation.trace.addLine(formatAppliedEvent(time, entry, event, effects));
	}

	simulation.observe({
		kind: 'event-applied', entry, event, effects,
	});
	for (const effect of effects) {
		(sinks[effect.kind] as (target: Simulation, source: VirtualEntry, value: Effect) => void)(simulation, entry, effect);
	}
}

function formatAppliedEvent(time: number, entry: VirtualEntry, event: InputEvent, effects: readonly Effect[]): string {
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

/** Pauses a process; its events are queued until it resumes. */
export function pauseEntry(entry: VirtualEntry): void {
	entry.isPaused = true;
}

/** Resumes a paused process; in half of the cases the due tick runs before the queued events. */
export function resumeEntry(simulation: Simulation, entry: VirtualEntry): void {
	if (!entry.isAlive || !entry.isPaused) {
		return;
	}

	entry.isPaused = false;
	entry.runningSince = simulation.queue.now;
	if (entry.random.getFraction() < 0.5) {
		entry.pendingEvents.unshift({kind: 'tick'});
	}

	applyPendingEvents(simulation, entry);
}

/** Ends a process at once, without a graceful shutdown. */
export function endEntry(simulation: Simulation, entry: VirtualEntry): void {
	if (entry.isAlive) {
		entry.isAlive = false;
		entry.isReady = false;
		simulation.network.removeEntry(entry);
		for (const endpoint of simulation.fleet.endpoints.values()) {
			endpoint.connections.delete(entry.id);
		}
	}
}
