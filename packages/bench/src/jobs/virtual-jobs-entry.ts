import {type JobEvent, type JobsState} from '@pistachiogauge/jobs';
import {type VirtualSession} from './virtual-session.js';

/** An entry of the simulation. */
export type VirtualJobsEntry = {
	readonly node: string;
	incarnation: string;
	state: JobsState;
	isUp: boolean;
	/** Whether calls of this entry reach the store. */
	isStoreReachable: boolean;
	/** Virtual time in ms until which the entry is paused. */
	pausedUntil: number;
	/** Virtual time in ms of the last event; a long time without any means that the process was paused. */
	lastEventAt: number;
	/** Virtual time in ms of the last cut between this entry and the store, or failure of its watches or writes. */
	disturbedAt: number;
	/** Virtual time in ms at which this entry last was down, paused, or without calls or watches on the store. */
	outOfTouchAt: number;
	/** Virtual time in ms of the last answer from the store. */
	storeAnsweredAt: number;
	/** Undefined until the entry has started for the first time. */
	session: VirtualSession | undefined;
	readonly watch: VirtualWatch;
};

/** The watches of an entry, all of which fail together. */
export type VirtualWatch = {
	/** Changes since the watches stopped delivering; undefined while they deliver. */
	missed: JobEvent[] | undefined;
	/** Whether the store no longer has the missed changes, so that the full state has to be listed. */
	isHistoryLost: boolean;
	/** Virtual time in ms until which the watches deliver nothing, although calls work. */
	deafUntil: number;
	/** Virtual time in ms at which the last change arrives; later ones do not overtake it. */
	lastDeliveryAt: number;
};

/** Creates an entry that has not started yet. */
export function createVirtualJobsEntry(node: string, state: JobsState): VirtualJobsEntry {
	return {
		node,
		incarnation: '',
		state,
		isUp: false,
		isStoreReachable: true,
		pausedUntil: 0,
		lastEventAt: 0,
		disturbedAt: 0,
		outOfTouchAt: 0,
		storeAnsweredAt: Number.NEGATIVE_INFINITY,
		session: undefined,
		watch: {
			missed: [], isHistoryLost: true, deafUntil: 0, lastDeliveryAt: 0,
		},
	};
}
