import {type JobEvent} from '@pistachiogauge/jobs';
import {type EventQueue} from '../virtual/event-queue.js';
import {type VirtualJobsEntry} from './virtual-jobs-entry.js';

/** Runs steps of entries' processes, which stand still while the entry is paused and end when it is killed. */
export type EventDelivery = {
	/** Runs a step of an incarnation of an entry: at once, or after its pause if it is paused. */
	runInProcess(entry: VirtualJobsEntry, run: () => void, incarnation?: string): void;
	/** Delivers an event at once if the entry still runs in the given incarnation. */
	deliver(entry: VirtualJobsEntry, event: JobEvent, incarnation?: string): void;
	/** Delivers an event after a delay, by default that of one message. */
	deliverLater(entry: VirtualJobsEntry, event: JobEvent, delayMs?: number): void;
};

export type EventDeliveryOptions = {
	readonly queue: EventQueue;
	readonly chooseDelayMs: () => number;
	readonly applyEvent: (entry: VirtualJobsEntry, event: JobEvent) => void;
};

/** Time without any event that counts as a pause of the process. */
const minPauseMs = 500;

/** Creates the delivery of events to entries; after a pause, `process-resumed` comes before any other event. */
export function createEventDelivery({queue, chooseDelayMs, applyEvent}: EventDeliveryOptions): EventDelivery {
	function runInProcess(entry: VirtualJobsEntry, run: () => void, incarnation = entry.incarnation): void {
		if (!entry.isUp || entry.incarnation !== incarnation) {
			return;
		}

		if (queue.now >= entry.pausedUntil) {
			run();
			return;
		}

		queue.add(entry.pausedUntil - queue.now, () => {
			runInProcess(entry, run, incarnation);
		});
	}

	function deliver(entry: VirtualJobsEntry, event: JobEvent, incarnation = entry.incarnation): void {
		runInProcess(entry, () => {
			const pausedMs = queue.now - entry.lastEventAt;
			entry.lastEventAt = queue.now;
			if (pausedMs >= minPauseMs) {
				applyEvent(entry, {kind: 'process-resumed', pausedMs});
			}

			applyEvent(entry, event);
		}, incarnation);
	}

	return {
		runInProcess,
		deliver,
		deliverLater(entry, event, delayMs = chooseDelayMs()) {
			const {incarnation} = entry;
			queue.add(delayMs, () => {
				deliver(entry, event, incarnation);
			});
		},
	};
}
