import {type Resources} from './resources.js';

/** @public */
export type MachineState = 'up' | 'moving' | 'maintenance' | 'down';

/** A machine of the platform. Its name stays the same across moves between pools and maintenance. @public */
export type Machine = {
	readonly name: string;
	readonly pool: string;
	readonly state: MachineState;
	readonly zone: string;
	readonly labels: readonly string[];
	readonly capacity: Resources;
	/** Endpoint that currently runs on it; undefined for none. */
	readonly endpointId: string | undefined;
};

/** A maintenance wave: the operator's request to have a group of machines maintained. @public */
export type Wave = {
	readonly number: number;
	readonly machines: readonly string[];
	/** Time in ms from the request within which all machines must be maintained. */
	readonly durationMs: number;
	/** Maximum number of the wave's machines that may be down at once. */
	readonly downLimit: number;
};

/** @public */
export type WaveStatus = 'running' | 'done';
