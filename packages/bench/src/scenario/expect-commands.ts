import {storeKeys} from '@pistachiogauge/model';
import {parsePoolRecord, readInstancePool} from '../checks/read-records.js';
import {type SentRequest} from '../virtual/virtual-callers.js';
import {
	getCluster, getEntry, type ScenarioCommand, type LineValues, type Mismatch, type ScenarioRun,
} from './command.js';
import {type Parameter} from './parameters.js';

const withinOption = {within: {kind: 'milliseconds', isOptional: true}} as const;
const outcomes = ['completed', 'not-run', 'unknown', 'none'] as const;

type ExpectationCheck = (scenario: ScenarioRun, values: LineValues) => {readonly isMet: boolean; readonly expected: string; readonly actual: string};

function createExpectation(
	name: string,
	positionals: Readonly<Record<string, Parameter>>,
	options: Readonly<Record<string, Parameter>>,
	checkExpectation: ExpectationCheck,
): ScenarioCommand {
	return {
		name: `expect ${name}`,
		phase: 'run',
		positionals,
		options: {...options, ...withinOption},
		run(scenario, values): Mismatch | undefined {
			const {isMet, expected, actual} = checkExpectation(scenario, values);
			return isMet ? undefined : {expected, actual};
		},
	};
}

function isInRange(count: number, text: string): boolean {
	const [minimum, maximum = minimum] = text.split('..').map(Number);
	return count >= minimum! && count <= maximum!;
}

function compareCount(what: string, count: number, range: string): ReturnType<ExpectationCheck> {
	return {isMet: isInRange(count, range), expected: `${range} ${what}`, actual: String(count)};
}

/** Commands that compare the state of the simulation with expectations. */
export const expectCommands: readonly ScenarioCommand[] = [
	createExpectation(
		'outcome',
		{request: {kind: 'request'}, outcome: {kind: 'choice', choices: outcomes}},
		{reason: {kind: 'text', isOptional: true}, status: {kind: 'count', isOptional: true}},
		(scenario, values) => {
			const expectedParts = [values.getText('outcome'), values.get('reason') ?? '*', values.get('status') ?? '*'];
			const group = scenario.requests.get(values.getText('request')) ?? [];
			const actual = group.map(({result}) => result === undefined ? ['none', '', ''] : [result.outcome, result.reason ?? '', String(result.status)]);
			const mismatch = actual.find(parts => parts.some((part, index) => expectedParts[index] !== '*' && part !== expectedParts[index]));
			return {isMet: mismatch === undefined && group.length > 0, expected: expectedParts.join(' '), actual: (mismatch ?? ['no request']).join(' ')};
		},
	),
	createExpectation('count', {request: {kind: 'request'}, outcome: {kind: 'choice', choices: outcomes}, number: {kind: 'range'}}, {}, (scenario, values) => {
		const group = scenario.requests.get(values.getText('request')) ?? [];
		const outcome = values.getText('outcome');
		const count = group.filter(({result}) => (result?.outcome ?? 'none') === outcome).length;
		const result = compareCount(`requests ${outcome}`, count, values.getText('number'));
		return {...result, actual: `${count} of ${formatOutcomeCounts(group)}`};
	}),
	createExpectation('answered-by', {request: {kind: 'request'}, limit: {kind: 'milliseconds'}}, {}, (scenario, values) => {
		const group = scenario.requests.get(values.getText('request')) ?? [];
		const longestMs = Math.max(0, ...group.map(({answeredAt, sentAt}) => (answeredAt ?? Number.POSITIVE_INFINITY) - sentAt));
		return {isMet: group.length > 0 && longestMs <= values.getNumber('limit'), expected: `answers in at most ${values.getText('limit')} ms`, actual: `${longestMs.toFixed(1)} ms`};
	}),
	createExpectation('runs', {request: {kind: 'request'}, number: {kind: 'range'}}, {}, (scenario, values) => {
		const group = scenario.requests.get(values.getText('request')) ?? [];
		const keys = new Set(group.map(({request}) => request.key ?? request.requestId));
		const count = scenario.runs.filter(request => keys.has(request.key ?? request.requestId)).length;
		return compareCount('runs at endpoints', count, values.getText('number'));
	}),
	createExpectation('bundle', {version: {kind: 'count'}}, {at: {kind: 'entry', isOptional: true}}, (scenario, values) => {
		const names = values.get('at') === undefined ? listRunningEntryNames(scenario) : [values.getText('at')];
		const actual = names.map(name => `${name}: ${getEntry(scenario, name).state.bundle.current?.version ?? 0}`);
		const version = values.getText('version');
		return {isMet: actual.every(text => text.endsWith(`: ${version}`)), expected: `version ${version} in force`, actual: actual.join(', ')};
	}),
	createExpectation('owner', {pool: {kind: 'pool'}}, {at: {kind: 'entry', isOptional: true}, 'not-at': {kind: 'entry', isOptional: true}}, (scenario, values) => {
		const pool = values.getText('pool');
		const ownerNames = listRunningEntryNames(scenario).filter(name => getEntry(scenario, name).state.fleet.owned.get(pool)?.isFenced === true);
		const [expectedOwner, excludedOwner] = [values.get('at'), values.get('not-at')];
		const isMet = expectedOwner === undefined ? ownerNames.some(name => name !== excludedOwner) : ownerNames.includes(expectedOwner);
		return {isMet, expected: `${pool} owned by ${expectedOwner ?? `an entry other than ${excludedOwner ?? 'none'}`}`, actual: ownerNames.join(', ') || 'no owner'};
	}),
	createExpectation('ready', {entry: {kind: 'entry'}, state: {kind: 'choice', choices: ['yes', 'no']}}, {}, (scenario, values) => {
		const actual = getEntry(scenario, values.getText('entry')).isReady ? 'yes' : 'no';
		return {isMet: actual === values.getText('state'), expected: `ready: ${values.getText('state')}`, actual};
	}),
	createExpectation('running', {entry: {kind: 'entry'}, state: {kind: 'choice', choices: ['yes', 'no']}}, {}, (scenario, values) => {
		const actual = getEntry(scenario, values.getText('entry')).isAlive ? 'yes' : 'no';
		return {isMet: actual === values.getText('state'), expected: `running: ${values.getText('state')}`, actual};
	}),
	createExpectation('call', {call: {kind: 'call'}}, {status: {kind: 'count'}}, (scenario, values) => {
		const answer = scenario.calls.get(values.getText('call'))?.answer;
		const actual = answer === undefined ? 'no answer' : `${answer.status} ${JSON.stringify(answer.body)}`;
		return {isMet: answer?.status === values.getNumber('status'), expected: `status ${values.getText('status')}`, actual};
	}),
	createExpectation('permits', {pool: {kind: 'pool'}, number: {kind: 'range'}}, {}, (scenario, values) => {
		const stored = getCluster(scenario).simulation.store.keyValues.get(`${storeKeys.poolsPrefix}${values.getText('pool')}`);
		const permits = Object.keys(parsePoolRecord(stored?.value)?.permits ?? {});
		return compareCount(`permits in ${values.getText('pool')}`, permits.length, values.getText('number'));
	}),
	createExpectation('instance', {instance: {kind: 'instance'}}, {pool: {kind: 'pool'}}, (scenario, values) => {
		const actual = readInstancePool(getCluster(scenario).simulation.store.keyValues, values.getText('instance')) ?? 'no pool';
		return {isMet: actual === values.getText('pool'), expected: `recorded in ${values.getText('pool')}`, actual};
	}),
	createExpectation('reboots', {instance: {kind: 'instance'}, number: {kind: 'range'}}, {}, (scenario, values) => {
		const count = scenario.reboots.filter(id => id === values.getText('instance')).length;
		return compareCount('reboots', count, values.getText('number'));
	}),
	createExpectation('arrivals', {instance: {kind: 'instance'}, number: {kind: 'range'}}, {since: {kind: 'milliseconds'}}, (scenario, values) => {
		const after = getCluster(scenario).simulation.queue.now - values.getNumber('since');
		const count = scenario.arrivals.filter(({instanceId, at}) => instanceId === values.getText('instance') && at >= after).length;
		return compareCount(`requests at ${values.getText('instance')} in the last ${values.getText('since')} ms`, count, values.getText('number'));
	}),
];

function formatOutcomeCounts(group: readonly SentRequest[]): string {
	const counts = new Map<string, number>();
	for (const {result} of group) {
		const text = result === undefined ? 'none' : [result.outcome, result.reason].filter(Boolean).join(' ');
		counts.set(text, (counts.get(text) ?? 0) + 1);
	}

	return [...counts].map(([text, count]) => `${count} ${text}`).join(', ');
}

function listRunningEntryNames(scenario: ScenarioRun): string[] {
	return [...getCluster(scenario).simulation.entries.values()].filter(entry => entry.isAlive).map(entry => entry.name);
}
