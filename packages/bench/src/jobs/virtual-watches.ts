import {type RandomSource} from '@pistachiogauge/chain';
import {type JobEvent, type JobEventOf} from '@pistachiogauge/jobs';
import {type EventQueue} from '../virtual/event-queue.js';
import {type EventDelivery} from './event-delivery.js';
import {type VirtualJobsEntry} from './virtual-jobs-entry.js';

/** The watches of all entries on the store. */
export type VirtualWatches = {
	/** Delivers changes of the store to the entries whose watches work; the others get them later. */
	publish(changes: readonly JobEvent[]): void;
	/** Resumes interrupted watches of an entry at once if the store can be reached. */
	resume(entry: VirtualJobsEntry): void;
	/** Starts the watches of an entry's present incarnation. */
	start(entry: VirtualJobsEntry): void;
};

export type VirtualWatchesTools = {
	readonly queue: EventQueue;
	readonly random: RandomSource;
	readonly entries: readonly VirtualJobsEntry[];
	readonly delivery: EventDelivery;
	readonly chooseDelayMs: () => number;
	/** Whether calls of the entry to the store are answered. */
	readonly canCallStore: (entry: VirtualJobsEntry) => boolean;
	/** Lists the events of a full listing for an entry. */
	readonly listState: (entry: VirtualJobsEntry) => readonly JobEvent[];
};

/** Bounds of the time after which an interrupted watch is tried again; a long poll of a dead connection ends only after more than a second. */
const retryMs = {min: 60, max: 1500} as const;

type RegistrationCheck<Kind extends JobEvent['kind']> = (entry: VirtualJobsEntry, event: JobEventOf<Kind>) => boolean;

/** Whether an event shows that the entry's registration is missing or belongs to another incarnation. */
const registrationChecks: {readonly [Kind in JobEvent['kind']]?: RegistrationCheck<Kind>} = {
	'member-changed': ({node, incarnation}, event) => event.node === node && event.member?.incarnation !== incarnation,
	'members-listed': ({node, incarnation}, {members}) => !members.some(member => member.node === node && member.incarnation === incarnation),
};

type FollowCheck<Kind extends JobEvent['kind']> = (state: VirtualJobsEntry['state'], event: JobEventOf<Kind>) => boolean;

const ownsPool = ({ledger}: VirtualJobsEntry['state'], pool: string) => ledger.pools.has(pool);
const holdsFleet = ({fleet}: VirtualJobsEntry['state']) => fleet.token !== undefined;

/** Whether an entry watches the records of an event; those of other events are watched by all. */
const followChecks: {readonly [Kind in JobEvent['kind']]?: FollowCheck<Kind>} = {
	'evacuation-requested': (state, {request}) => ownsPool(state, request.pool) || holdsFleet(state),
	'evacuation-withdrawn': (state, {pool}) => ownsPool(state, pool),
	'endpoint-evacuated': holdsFleet,
	'report-changed': holdsFleet,
	'shares-changed': ({quota}) => quota.followed.length > 0,
	'shares-listed': ({quota}) => quota.followed.length > 0,
};

/** Makes an entry's watches list the full state, as after a start or when the store has discarded its history. */
export function loseWatchHistory({watch}: VirtualJobsEntry): void {
	watch.missed ??= [];
	watch.isHistoryLost = true;
}

/** Keeps an entry's watches from delivering anything until a virtual time in ms, although its calls work; then they list the full state. */
export function muteWatches(entry: VirtualJobsEntry, until: number): void {
	entry.watch.deafUntil = Math.max(entry.watch.deafUntil, until);
	loseWatchHistory(entry);
}

/** Creates the watches of all entries. */
export function createVirtualWatches({
	queue, random, entries, delivery, chooseDelayMs, canCallStore, listState,
}: VirtualWatchesTools): VirtualWatches {
	function canWatch(entry: VirtualJobsEntry): boolean {
		return canCallStore(entry) && queue.now >= entry.watch.deafUntil;
	}

	/** Delivers an event to an entry after all earlier ones. */
	function send(entry: VirtualJobsEntry, event: JobEvent): void {
		const {incarnation, watch} = entry;
		watch.lastDeliveryAt = Math.max(watch.lastDeliveryAt, queue.now + chooseDelayMs());
		queue.add(watch.lastDeliveryAt - queue.now, () => {
			delivery.runInProcess(entry, () => {
				if ((registrationChecks[event.kind] as RegistrationCheck<JobEvent['kind']> | undefined)?.(entry, event) === true) {
					entry.session?.reopen();
				}

				if ((followChecks[event.kind] as FollowCheck<JobEvent['kind']> | undefined)?.(entry.state, event) !== false) {
					delivery.deliver(entry, event, incarnation);
				}
			}, incarnation);
		});
	}

	function resume(entry: VirtualJobsEntry): void {
		const {watch} = entry;
		if (watch.missed === undefined || !canWatch(entry)) {
			return;
		}

		const events = watch.isHistoryLost ? listState(entry) : watch.missed;
		watch.missed = undefined;
		watch.isHistoryLost = false;
		for (const event of events) {
			send(entry, event);
		}
	}

	return {
		publish(changes) {
			for (const entry of entries) {
				if (!canWatch(entry)) {
					entry.watch.missed ??= [];
				}

				for (const change of changes) {
					if (entry.watch.missed === undefined) {
						send(entry, change);
					} else {
						entry.watch.missed.push(change);
					}
				}
			}
		},
		resume,
		start(entry) {
			const {incarnation} = entry;
			loseWatchHistory(entry);
			const retry = () => {
				if (entry.isUp && entry.incarnation === incarnation) {
					delivery.runInProcess(entry, () => {
						resume(entry);
					}, incarnation);
					queue.add(retryMs.min + (random.getFraction() * (retryMs.max - retryMs.min)), retry);
				}
			};

			retry();
		},
	};
}
