import {endEntry, pauseEntry, resumeEntry} from '../virtual/virtual-entry.js';
import {type Conditions} from '../virtual/world.js';
import {
	getCluster, getEntry, type Command, type LineArguments, type ScenarioRun,
} from './command.js';
import {type Parameter} from './parameters.js';

const entryWords = {entry: {kind: 'entry'}} as const;
const pairWords = {from: {kind: 'entry'}, to: {kind: 'entry'}} as const;
const slowStoreMs = 500;

function createCommand(name: string, words: Readonly<Record<string, Parameter>>, apply: (scenario: ScenarioRun, values: LineArguments) => void): Command {
	return {
		name,
		phase: 'run',
		words,
		options: {},
		run(scenario, values) {
			apply(scenario, values);
			return undefined;
		},
	};
}

function listPaths(left: string, rights: readonly string[]): string[] {
	return rights.flatMap(right => [`${left}>${right}`, `${right}>${left}`]);
}

function closePaths(scenario: ScenarioRun, paths: readonly string[]): void {
	for (const path of paths) {
		getCluster(scenario).simulation.conditions.blockedPaths.add(path);
	}
}

/** What each mode of the store sets. */
const storeModes: Readonly<Record<string, Partial<Conditions>>> = {
	up: {
		isStoreDown: false, storeDelayMs: 2, lostAnswerShare: 0, lateWriteShare: 0, watchDelayMs: 3,
	},
	down: {isStoreDown: true},
	slow: {storeDelayMs: slowStoreMs},
	'loses-answers': {lostAnswerShare: 1},
	'writes-late': {lateWriteShare: 1},
	'watches-late': {watchDelayMs: 2000},
};

/** Commands that break and mend. */
export const faultCommands: readonly Command[] = [
	createCommand('kill', entryWords, (scenario, values) => {
		endEntry(getCluster(scenario).simulation, getEntry(scenario, values.getText('entry')));
	}),
	createCommand('restart', entryWords, (scenario, values) => {
		const entry = getEntry(scenario, values.getText('entry'));
		endEntry(getCluster(scenario).simulation, entry);
		getCluster(scenario).startEntry(entry.name);
	}),
	createCommand('stop', entryWords, (scenario, values) => {
		getCluster(scenario).simulation.deliver(getEntry(scenario, values.getText('entry')), {kind: 'shutdown-requested'});
	}),
	createCommand('pause', entryWords, (scenario, values) => {
		pauseEntry(getEntry(scenario, values.getText('entry')));
	}),
	createCommand('resume', entryWords, (scenario, values) => {
		resumeEntry(getCluster(scenario).simulation, getEntry(scenario, values.getText('entry')));
	}),
	createCommand('cut', pairWords, (scenario, values) => {
		getCluster(scenario).simulation.network.cutLinks(values.getText('from'), values.getText('to'));
	}),
	createCommand('block', pairWords, (scenario, values) => {
		closePaths(scenario, [`${values.getText('from')}>${values.getText('to')}`]);
	}),
	createCommand('silence', pairWords, (scenario, values) => {
		closePaths(scenario, listPaths(values.getText('from'), [values.getText('to')]));
	}),
	createCommand('isolate', entryWords, (scenario, values) => {
		const name = values.getText('entry');
		const others = new Set([...getCluster(scenario).simulation.entries.values()].map(entry => entry.name));
		others.delete(name);
		closePaths(scenario, listPaths(name, [...others]));
	}),
	createCommand('heal', {}, scenario => {
		getCluster(scenario).simulation.conditions.blockedPaths.clear();
	}),
	createCommand('store', {mode: {kind: 'choice', choices: Object.keys(storeModes)}}, (scenario, values) => {
		Object.assign(getCluster(scenario).simulation.conditions, storeModes[values.getText('mode')]);
	}),
	createCommand('watch', {...entryWords, mode: {kind: 'choice', choices: ['silent', 'normal']}}, (scenario, values) => {
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
