import {type ServiceRequest} from '@pistachiogauge/model';
import {type ClusterOptions, type OperatorCall, type VirtualCluster} from '../virtual/virtual-cluster.js';
import {type SentRequest} from '../virtual/virtual-callers.js';
import {type VirtualEntry} from '../virtual/simulation.js';
import {type Declarations, type Parameter} from './parameters.js';

/** Values of one line, by the names of its positional parameters and options. */
export type LineValues = {
	get(name: string): string | undefined;
	getText(name: string, fallback?: string): string;
	getNumber(name: string, fallback?: number): number;
};

/** Expected and actual result of a line that failed. */
export type Mismatch = {
	readonly expected: string;
	readonly actual: string;
};

/** State of a running scenario. */
export type ScenarioRun = {
	readonly clusterOptions: {-readonly [Name in keyof ClusterOptions]: ClusterOptions[Name]};
	cluster: VirtualCluster | undefined;
	readonly requests: Map<string, SentRequest[]>;
	readonly calls: Map<string, OperatorCall>;
	/** Requests that endpoints started to run, in order. */
	readonly runs: ServiceRequest[];
	readonly arrivals: Array<{readonly instanceId: string; readonly at: number}>;
	/** Instances that were rebooted, in order, once per reboot. */
	readonly reboots: string[];
};

/**
One command of the scenario language.

@public
*/
export type ScenarioCommand = {
	/** One or two words. */
	readonly name: string;
	/** `setup` commands come before `start`, `run` commands after it. */
	readonly phase: 'setup' | 'run';
	readonly positionals: Readonly<Record<string, Parameter>>;
	readonly options: Readonly<Record<string, Parameter>>;
	/** Adds names that the line declares in addition to those of its positional parameters. */
	readonly declare?: (values: LineValues, declarations: Declarations) => void;
	readonly run: (scenario: ScenarioRun, values: LineValues) => Mismatch | undefined;
};

/** Returns the cluster of a scenario. The parser ensures that `start` comes before every command that needs it. */
export function getCluster({cluster}: ScenarioRun): VirtualCluster {
	if (cluster === undefined) {
		throw new Error('no cluster: the scenario has not run start');
	}

	return cluster;
}

/** Returns the running incarnation of an entry or, if none runs, the last one. */
export function getEntry(scenario: ScenarioRun, name: string): VirtualEntry {
	const cluster = getCluster(scenario);
	return cluster.findEntry(name) ?? [...cluster.simulation.entries.values()].findLast(entry => entry.name === name)!;
}
