import {type applyEvent, type EntryState, type RandomSource} from '@pistachiogauge/decisions';
import {
	type EffectOf, type Effect, type InputEvent, type ListedInstance, type PeerMessage, type RequestResult, type ServiceRequest,
} from '@pistachiogauge/model';
import {type EventQueue} from './event-queue.js';
import {type Trace} from './trace.js';
import {type VirtualClock} from './virtual-clock.js';
import {type VirtualBundles} from './virtual-bundles.js';

/** One incarnation of an entry. */
export type VirtualEntry = {
	readonly id: string;
	/** Name of the machine, which stays the same over restarts. */
	readonly name: string;
	readonly zone: string;
	readonly address: string;
	readonly state: EntryState;
	readonly clock: VirtualClock;
	readonly random: RandomSource;
	isAlive: boolean;
	isPaused: boolean;
	isReady: boolean;
	/** Virtual time in ms since which the entry has run without a pause. */
	runningSince: number;
	/** Whether an event is being applied; events that its effects cause are applied after it. */
	isApplying: boolean;
	/** Events that arrived during a pause or while another event was applied. */
	readonly pendingEvents: InputEvent[];
};

/** Something that happened in a run, for checks to evaluate. */
export type Observation =
	| {readonly kind: 'event-applied'; readonly entry: VirtualEntry; readonly event: InputEvent; readonly effects: readonly Effect[]}
	| {readonly kind: 'request-sent'; readonly entry: VirtualEntry; readonly request: ServiceRequest}
	/** The first byte of an attempt was written to an endpoint. `epoch` is the entry's epoch when it decided to send. */
	| {readonly kind: 'attempt-written'; readonly entry: VirtualEntry; readonly request: ServiceRequest; readonly instanceId: string; readonly pool: string; readonly epoch: number}
	| {readonly kind: 'run-started'; readonly instanceId: string; readonly request: ServiceRequest}
	| {readonly kind: 'slots-exceeded'; readonly instanceId: string}
	| {readonly kind: 'connection-opened'; readonly instanceId: string; readonly openCount: number}
	| {readonly kind: 'caller-answered'; readonly entry: VirtualEntry; readonly requestId: string; readonly result: RequestResult}
	| {readonly kind: 'store-written'; readonly key: string; readonly value: string | undefined; readonly cause: 'entry' | 'lease' | 'restore'}
	| {readonly kind: 'instance-rebooted'; readonly instanceId: string; readonly busyCount: number}
	| {readonly kind: 'entry-stopped'; readonly entry: VirtualEntry; readonly exitCode: number}
	/** Emitted every 250 ms of virtual time. */
	| {readonly kind: 'interval-elapsed'};

export type ObservationKind = Observation['kind'];
export type ObservationOf<Kind extends ObservationKind> = Extract<Observation, {kind: Kind}>;

/** The first invariant violation of a run, at which the run stops. */
export type InvariantViolation = {
	readonly invariant: string;
	readonly message: string;
	/** Virtual time in ms. */
	readonly at: number;
};

export type StoreEffect = EffectOf<'read-store'> | EffectOf<'write-store'> | EffectOf<'delete-store'>;

/** Conditions of store, network and instance list, which the simulated parts read and the faults change. */
export type FaultConditions = {
	isStoreDown: boolean;
	storeDelayMs: number;
	/** Share of store calls whose answer is lost after the call took effect. */
	lostAnswerShare: number;
	/** Share of writes that take effect only after the caller's timeout. */
	lateWriteShare: number;
	watchDelayMs: number;
	/** Names of entries whose watch stays open but delivers nothing. */
	readonly silentWatches: Set<string>;
	/** Directed pairs of entry names, `a>b`, between which no message arrives. */
	readonly blockedPaths: Set<string>;
	linkDelayMs: number;
	listLagMs: number;
	isListDown: boolean;
};

export type VirtualNetwork = {
	openLink(from: VirtualEntry, entryId: string, address: string): void;
	closeLink(from: VirtualEntry, entryId: string): void;
	sendMessage(from: VirtualEntry, to: string, message: PeerMessage): void;
	/** Closes the connections between two entry names; both ends are notified. */
	cutLinks(left: string, right: string): void;
	/** Closes the connections of a process that has ended. */
	removeEntry(entry: VirtualEntry): void;
	/** Returns the virtual time since which messages from one entry reach another; undefined while the path is blocked or not connected. */
	getUnblockedSince(from: VirtualEntry, to: VirtualEntry): number | undefined;
};

export type VirtualStore = {
	readonly keyValues: ReadonlyMap<string, {readonly value: string; readonly revision: number}>;
	addClient(entry: VirtualEntry): void;
	runOperation(entry: VirtualEntry, effect: StoreEffect): void;
	/** Closes the watches of all entries, as a restart of the store does. */
	breakWatches(): void;
	expireLeases(): void;
	/** Restores the keys with a prefix from a snapshot that is at least `ageMs` old, or else from the oldest one. */
	restoreState(ageMs: number, prefix?: string): void;
	/** Returns the virtual time since which the entry has a working watch; undefined without one. */
	getWatchedSince(entry: VirtualEntry): number | undefined;
};

/** How an endpoint treats its requests. */
export type EndpointMode = 'normal' | 'fail' | 'freeze' | 'cut' | 'truncate' | 'down';

export type VirtualEndpoint = {
	readonly instance: ListedInstance;
	mode: EndpointMode;
	runMs: number;
	busyCount: number;
	isRebooting: boolean;
	/** Number of stops; a request that was running across a stop is recognised as lost by it. */
	stopCount: number;
	/** Number of open connections by entry, and of those that are idle. */
	readonly connections: Map<string, {open: number; idle: number}>;
};

export type VirtualFleet = {
	readonly endpoints: ReadonlyMap<string, VirtualEndpoint>;
	addInstance(instance: ListedInstance): void;
	sendAttempt(entry: VirtualEntry, effect: EffectOf<'send-endpoint'>): void;
	probeEndpoint(entry: VirtualEntry, effect: EffectOf<'probe-endpoint'>): void;
	rebootInstance(entry: VirtualEntry, instanceId: string): void;
	setMode(instanceId: string, mode: EndpointMode): void;
	setLeaving(instanceId: string, isLeaving: boolean): void;
	/** Removes an instance from the platform's list, or adds it again. */
	setListed(instanceId: string, isPresent: boolean): void;
	startListPolling(entry: VirtualEntry): void;
	/** Returns the instance list that an entry gets if it polls now. */
	getListedInstances(): readonly ListedInstance[];
};

/** Function that applies an event to the state of an entry and returns the effects. */
export type Decide = typeof applyEvent;

/** State and parts of one simulated run. */
export type Simulation = {
	readonly queue: EventQueue;
	readonly random: RandomSource;
	readonly trace: Trace;
	readonly conditions: FaultConditions;
	readonly entries: Map<string, VirtualEntry>;
	readonly bundles: VirtualBundles;
	readonly counts: Map<string, number>;
	network: VirtualNetwork;
	store: VirtualStore;
	fleet: VirtualFleet;
	violation: InvariantViolation | undefined;
	readonly decide: Decide;
	observe(observation: Observation): void;
	/** Delivers an event to an entry, at once or after its pause. */
	deliver(entry: VirtualEntry, event: InputEvent): void;
	answerOperator(callId: string, status: number, body: unknown): void;
};

/** Draws a number from a range. */
export function getRandomBetween(random: RandomSource, low: number, high: number): number {
	return low + (random.getFraction() * (high - low));
}

/** Draws one item of a list, which must not be empty. */
export function chooseItem<Item>(random: RandomSource, items: readonly Item[]): Item {
	return items[random.getInteger(items.length)]!;
}

/** Adds to one of the run's counters. */
export function addCount(simulation: Simulation, name: string, by = 1): void {
	simulation.counts.set(name, (simulation.counts.get(name) ?? 0) + by);
}
