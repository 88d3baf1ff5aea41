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
	/** Name of the machine; a restart keeps it. */
	readonly name: string;
	readonly zone: string;
	readonly address: string;
	readonly state: EntryState;
	readonly clock: VirtualClock;
	readonly random: RandomSource;
	isAlive: boolean;
	isPaused: boolean;
	isReady: boolean;
	/** Virtual time since which the entry has run without a pause. */
	runningSince: number;
	/** Whether an event is being applied; events that its effects cause follow after it. */
	isApplying: boolean;
	/** Events that arrived during a pause or while another was applied. */
	readonly inbox: InputEvent[];
};

/** Something that a check can look at. */
export type Observation =
	| {readonly kind: 'entry-stepped'; readonly entry: VirtualEntry; readonly event: InputEvent; readonly effects: readonly Effect[]}
	| {readonly kind: 'request-sent'; readonly entry: VirtualEntry; readonly request: ServiceRequest}
	/** The first byte of an attempt is written to an endpoint. `epoch` is that of the decision to send. */
	| {readonly kind: 'attempt-written'; readonly entry: VirtualEntry; readonly request: ServiceRequest; readonly instanceId: string; readonly pool: string; readonly epoch: number}
	| {readonly kind: 'run-started'; readonly instanceId: string; readonly request: ServiceRequest}
	| {readonly kind: 'slots-overrun'; readonly instanceId: string}
	| {readonly kind: 'connection-opened'; readonly instanceId: string; readonly openCount: number}
	| {readonly kind: 'caller-answered'; readonly entry: VirtualEntry; readonly requestId: string; readonly result: RequestResult}
	| {readonly kind: 'store-written'; readonly key: string; readonly value: string | undefined; readonly cause: 'entry' | 'lease' | 'restore'}
	| {readonly kind: 'instance-rebooted'; readonly instanceId: string; readonly busyCount: number}
	| {readonly kind: 'entry-stopped'; readonly entry: VirtualEntry; readonly exitCode: number}
	/** Comes every 250 ms of virtual time. */
	| {readonly kind: 'time-passed'};

export type ObservationKind = Observation['kind'];
export type ObservationOf<Kind extends ObservationKind> = Extract<Observation, {kind: Kind}>;

/** The first broken invariant of a run. */
export type InvariantViolation = {
	readonly invariant: string;
	readonly message: string;
	/** Virtual milliseconds. */
	readonly at: number;
};

export type StoreEffect = EffectOf<'read-store'> | EffectOf<'write-store'> | EffectOf<'delete-store'>;

/** Faults that the parts of a run consult; `faults` switches them. */
export type FaultConditions = {
	isStoreDown: boolean;
	storeDelayMs: number;
	/** Share of store answers that are lost after the call took effect. */
	lostAnswerShare: number;
	/** Share of writes that take effect only after the caller has given up. */
	lateWriteShare: number;
	watchDelayMs: number;
	/** Names of entries whose watch brings nothing. */
	readonly silentWatches: Set<string>;
	/** Directed pairs of entry names, `a>b`, over which nothing arrives. */
	readonly blockedPaths: Set<string>;
	linkDelayMs: number;
	listLagMs: number;
	isListDown: boolean;
};

export type VirtualNetwork = {
	openLink(from: VirtualEntry, entryId: string, address: string): void;
	closeLink(from: VirtualEntry, entryId: string): void;
	sendMessage(from: VirtualEntry, to: string, message: PeerMessage): void;
	/** Breaks the connections between two names; both ends are told. */
	cutLinks(left: string, right: string): void;
	/** Ends the connections of a process that ended. */
	removeEntry(entry: VirtualEntry): void;
	/** Virtual time since which messages pass from one entry to another without hindrance; undefined while they do not. */
	getPassingSince(from: VirtualEntry, to: VirtualEntry): number | undefined;
};

export type VirtualStore = {
	readonly keyValues: ReadonlyMap<string, {readonly value: string; readonly revision: number}>;
	addClient(entry: VirtualEntry): void;
	runOperation(entry: VirtualEntry, effect: StoreEffect): void;
	/** Breaks the watches of all entries, as a restart of the service does. */
	breakWatches(): void;
	expireLeases(): void;
	/** Puts the keys with a prefix back to their state of some time ago. */
	restoreState(ageMs: number, prefix?: string): void;
	/** Virtual time since which the entry has a working watch; undefined without one. */
	getWatchedSince(entry: VirtualEntry): number | undefined;
};

/** How an endpoint behaves. */
export type EndpointMode = 'normal' | 'fail' | 'freeze' | 'cut' | 'truncate' | 'down';

export type VirtualEndpoint = {
	readonly instance: ListedInstance;
	mode: EndpointMode;
	runMs: number;
	busyCount: number;
	isRebooting: boolean;
	/** Rises with each stop, so that work of the life before is known as lost. */
	life: number;
	/** Connections of each entry: all, and those without a request on them. */
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
	/** Removes an instance from the list, or puts it back. */
	setListed(instanceId: string, isPresent: boolean): void;
	addListClient(entry: VirtualEntry): void;
	/** Instances as entries that poll now see them. */
	getList(): readonly ListedInstance[];
};

/** Signature of the decisions' entry point. */
export type Decide = typeof applyEvent;

/** Everything in a run. */
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
	/** Hands an event to an entry, at once or after its pause. */
	deliver(entry: VirtualEntry, event: InputEvent): void;
	answerOperator(callId: string, status: number, body: unknown): void;
};

/** Draws a number between two limits. */
export function getBetween(random: RandomSource, low: number, high: number): number {
	return low + (random.getFraction() * (high - low));
}

/** Draws one item of a list that is not empty. */
export function chooseItem<Item>(random: RandomSource, items: readonly Item[]): Item {
	return items[random.getInteger(items.length)]!;
}

/** Adds to a count of the run. */
export function addCount(world: Simulation, name: string, by = 1): void {
	world.counts.set(name, (world.counts.get(name) ?? 0) + by);
}
