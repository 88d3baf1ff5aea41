import {type ServiceRequest} from '@pistachiogauge/model';
import {type ClusterOptions, type OperatorCall, type VirtualCluster} from '../virtual/virtual-cluster.js';
import {type SentRequest} from '../virtual/virtual-callers.js';
import {type VirtualEntry} from '../virtual/world.js';
import {type Declarations, type Parameter} from './parameters.js';

/** Words of one line after its command. */
export type LineArguments = {
	get(name: string): string | undefined;
	getText(name: string, fallback?: string): string;
	getNumber(name: string, fallback?: number): number;
};

/** A line that did not hold. */
export type Mismatch = {
	readonly expected: string;
	readonly seen: string;
};

/** A scenario while it runs. */
export type ScenarioRun = {
	readonly plan: {-readonly [Name in keyof ClusterOptions]: ClusterOptions[Name]};
	cluster: VirtualCluster | undefined;
	readonly requests: Map<string, SentRequest[]>;
	readonly calls: Map<string, OperatorCall>;
	/** Requests that endpoints ran, in order. */
	readonly runs: ServiceRequest[];
	readonly arrivals: Array<{readonly instanceId: string; readonly at: number}>;
	/** Instances that were rebooted, in order. */
	readonly reboots: string[];
};

/**
One command of the scenario language.

@public
*/
export type Command = {
	/** One or two words. */
	readonly name: string;
	/** Setup comes before `start`, everything else after it. */
	readonly phase: 'setup' | 'run';
	readonly words: Readonly<Record<string, Parameter>>;
	readonly options: Readonly<Record<string, Parameter>>;
	/** Adds names that the line declares beyond those of its words. */
	readonly declare?: (values: LineArguments, declarations: Declarations) => void;
	readonly run: (scenario: ScenarioRun, values: LineArguments) => Mismatch | undefined;
};

/** The cluster of a scenario; the parser has made sure that `start` came before. */
export function getCluster({cluster}: ScenarioRun): VirtualCluster {
	if (cluster === undefined) {
		throw new Error('the cluster has not been started');
	}

	return cluster;
}

/** The running incarnation of an entry, or the last one. */
export function getEntry(scenario: ScenarioRun, name: string): VirtualEntry {
	const cluster = getCluster(scenario);
	return cluster.findEntry(name) ?? [...cluster.simulation.entries.values()].findLast(entry => entry.name === name)!;
}
