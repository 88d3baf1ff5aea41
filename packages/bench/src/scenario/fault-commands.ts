import {endEntry, pauseEntry, resumeEntry} from '../virtual/virtual-entry.js';
import {type FaultConditions} from '../virtual/simulation.js';
import {
	getCluster, getEntry, type ScenarioCommand, type LineValues, type ScenarioRun,
} from './command.js';
import {type Parameter} from './parameters.js';

const entryPositional = {entry: {kind: 'entry'}} as const;
const pathPositionals = {from: {kind: 'entry'}, to: {kind: 'entry'}} as const;
const slowStoreDelayMs = 500;

function createCommand(name: string, positionals: Readonly<Record<string, Parameter>>, apply: (scenario: ScenarioRun, values: LineValues) => void): ScenarioCommand {
	return {
		name,
		phase: 'run',
		positionals,
		options: {},
		run(scenario, values) {
			apply(scenario, values);
			return undefined;
		},
	};
}

function listPathsBothWays(entry: string, others: readonly string[]): string[] {
	return others.flatMap(other => [`${entry}>${other}`, `${other}>${entry}`]);
}

function blockPaths(scenario: ScenarioRun, paths: readonly string[]): void {
	for (const path of paths) {
		getCluster(scenario).simulation.conditions.blockedPaths.add(path);
	}
}

/** Simulated conditions that each mode of the store sets. */
const storeModes: Readonly<Record<string, Partial<FaultConditions>>> = {
	up: {
		isStoreDown: false, storeDelayMs: 2, lostAnswerShare: 0, lateWriteShare: 0, watchDelayMs: 3,
	},
	down: {isStoreDown: true},
	slow: {storeDelayMs: slowStoreDelayMs},
	'loses-answers': {lostAnswerShare: 1},
	'writes-late': {lateWriteShare: 1},
	'watches-late': {watchDelayMs: 2000},
};

/** Commands that inject and clear faults. */
export const faultCommands: readonly ScenarioCommand[] = [
	createCommand('kill', entryPositional, (scenario, values) => {
		endEntry(getCluster(scenario).simulation, getEntry(scenario, values.getText('entry')));
	}),
	createCommand('restart', entryPositional, (scenario, values) => {
		const entry = getEntry(scenario, values.getText('entry'));
		endEntry(getCluster(scenario).simulation, entry);
		getCluster(scenario).startEntry(entry.name);
	}),
	createCommand('stop', entryPositional, (scenario, values) => {
		getCluster(scenario).simulation.deliver(getEntry(scenario, values.getText('entry')), {kind: 'shutdown-requested'});
	}),
	createCommand('pause', entryPositional, (scenario, values) => {
		pauseEntry(getEntry(scenario, values.getText('entry')));
	}),
	createCommand('resume', entryPositional, (scenario, values) => {
		resumeEntry(getCluster(scenario).simulation, getEntry(scenario, values.getText('entry')));
	}),
	createCommand('cut', pathPositionals, (scenario, values) => {
		getCluster(scenario).simulation.network.cutLinks(values.getText('from'), values.getText('to'));
	}),
	createCommand('block', pathPositionals, (scenario, values) => {
		blockPaths(scenario, [`${values.getText('from')}>${values.getText('to')}`]);
	}),
	createCommand('silence', pathPositionals, (scenario, values) => {
		blockPaths(scenario, listPathsBothWays(values.getText('from'), [values.getText('to')]));
	}),
	createCommand('isolate', entryPositional, (scenario, values) => {
		const name = values.getText('entry');
		const others = new Set([...getCluster(scenario).simulation.entries.values()].map(entry => entry.name));
		others.delete(name);
		blockPaths(scenario, listPathsBothWays(name, [...others]));
	}),
	createCommand('heal', {}, scenario => {
		getCluster(scenario).simulation.conditions.blockedPaths.clear();
	}),
	createCommand('store', {mode: {kind: 'choice', choices: Object.keys(storeModes)}}, (scenario, values) => {
		Object.assign(getCluster(scenario).simulation.conditions, storeModes[values.getText('mode')]);
	}),
	createCommand('watch', {...entryPositional, mode: {kind: 'choice', choices: ['silent', 'normal']}}, (scenario, values) => {
		const {silentWatches} = getCluster(scenario).simulation.conditions;
		if (values.getText('mode') === 'silent') {
			silentWatches.add(values.getText('entry'));
			return;
		}

		silentWatches.delete(values.getText('entry'));
	}),
	createCommand('lapse-leases', {}, scenario => {
		getCluster(scenario).simulation.store.expireLeases();
	}),
	createCommand('restore-store', {age: {kind: 'milliseconds'}}, (scenario, values) => {
		getCluster(scenario).simulation.store.restoreState(values.getNumber('age'));
	}),
	createCommand('endpoint', {instance: {kind: 'instance'}, mode: {kind: 'choice', choices: ['normal', 'fail', 'freeze', 'cut', 'truncate', 'down']}}, (scenario, values) => {
		getCluster(scenario).simulation.fleet.setMode(values.getText('instance'), values.getText('mode') as 'normal');
	}),
	createCommand('list', {instance: {kind: 'instance'}, mode: {kind: 'choice', choices: ['live', 'leaving', 'absent']}}, (scenario, values) => {
		const {fleet} = getCluster(scenario).simulation;
		fleet.setListed(values.getText('instance'), values.getText('mode') !== 'absent');
		fleet.setLeaving(values.getText('instance'), values.getText('mode') === 'leaving');
	}),
	createCommand('rack', {rack: {kind: 'rack'}, state: {kind: 'choice', choices: ['down', 'up']}}, (scenario, values) => {
		const {fleet} = getCluster(scenario).simulation;
		for (const {instance} of fleet.endpoints.values()) {
			if (instance.rack === values.getText('rack')) {
				fleet.setMode(instance.id, values.getText('state') === 'down' ? 'down' : 'normal');
			}
		}
	}),
];
