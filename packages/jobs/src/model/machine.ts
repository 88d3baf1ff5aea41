import {type Resources} from './room.js';

/** @public */
export type MachineState = 'up' | 'moving' | 'maintenance' | 'down';

/** A machine of the platform, which keeps its name over moves and maintenance. @public */
export type Machine = {
	readonly name: string;
	readonly pool: string;
	readonly state: MachineState;
	readonly zone: string;
	readonly labels: readonly string[];
	readonly capacity: Resources;
	/** Endpoint that runs on it at present. */
	readonly endpointId: string | undefined;
};

/** The operator's request to have machines maintained. @public */
export type Wave = {
	readonly number: number;
	readonly machines: readonly string[];
	/** Time in ms in which all are to be maintained, counted from the request. */
	readonly durationMs: number;
	/** Most machines of the wave that may be down at once. */
	readonly downLimit: number;
};

/** @public */
export type WaveStatus = 'running' | 'done';
