import {storeKeys} from '@pistachiogauge/model';
import {parsePoolRecord, readInstancePool} from '../checks/read-records.js';
import {type SentRequest} from '../virtual/virtual-callers.js';
import {
	getCluster, getEntry, type Command, type LineArguments, type Mismatch, type ScenarioRun,
} from './command.js';
import {type Parameter} from './parameters.js';

const withinOption = {within: {kind: 'milliseconds', isOptional: true}} as const;
const outcomes = ['completed', 'not-run', 'unknown', 'none'] as const;

type Expectation = (scenario: ScenarioRun, values: LineArguments) => {readonly isMet: boolean; readonly expected: string; readonly seen: string};

function createExpectation(
	name: string,
	words: Readonly<Record<string, Parameter>>,
	options: Readonly<Record<string, Parameter>>,
	look: Expectation,
): Command {
	return {
		name: `expect ${name}`,
		phase: 'run',
		words,
		options: {...options, ...withinOption},
		run(scenario, values): Mismatch | undefined {
			const {isMet, expected, seen} = look(scenario, values);
			return isMet ? undefined : {expected, seen};
		},
	};
}

function isInRange(count: number, text: string): boolean {
	const [low, high = low] = text.split('..').map(Number);
	return count >= low! && count <= high!;
}

function createCountResult(what: string, count: number, range: string): ReturnType<Expectation> {
	return {isMet: isInRange(count, range), expected: `${range} ${what}`, seen: String(count)};
}

/** Commands that compare what happened with what should have. */
export const expectCommands: readonly Command[] = [
	createExpectation(
		'outcome',
		{request: {kind: 'request'}, outcome: {kind: 'choice', choices: outcomes}},
		{reason: {kind: 'text', isOptional: true}, status: {kind: 'count', isOptional: true}},
		(scenario, values) => {
			const wanted = [values.getText('outcome'), values.get('reason') ?? '*', values.get('status') ?? '*'];
			const group = scenario.requests.get(values.getText('request')) ?? [];
			const seen = group.map(({result}) => result === undefined ? ['none', '', ''] : [result.outcome, result.reason ?? '', String(result.status)]);
			const misfit = seen.find(parts => parts.some((part, index) => wanted[index] !== '*' && part !== wanted[index]));
			return {isMet: misfit === undefined && group.length > 0, expected: wanted.join(' '), seen: (misfit ?? ['no request']).join(' ')};
		},
	),
	createExpectation('count', {request: {kind: 'request'}, outcome: {kind: 'choice', choices: outcomes}, number: {kind: 'range'}}, {}, (scenario, values) => {
		const group = scenario.requests.get(values.getText('request')) ?? [];
		const outcome = values.getText('outcome');
		const count = group.filter(({result}) => (result?.outcome ?? 'none') === outcome).length;
		const result = createCountResult(`requests ${outcome}`, count, values.getText('number'));
		return {...result, seen: `${count} of ${formatTally(group)}`};
	}),
	createExpectation('answered-by', {request: {kind: 'request'}, limit: {kind: 'milliseconds'}}, {}, (scenario, values) => {
		const group = scenario.requests.get(values.getText('request')) ?? [];
		const longest = Math.max(0, ...group.map(({answeredAt, sentAt}) => (answeredAt ?? Number.POSITIVE_INFINITY) - sentAt));
		return {isMet: group.length > 0 && longest <= values.getNumber('limit'), expected: `answers in at most ${values.getText('limit')} ms`, seen: `${longest.toFixed(1)} ms`};
	}),
	createExpectation('runs', {request: {kind: 'request'}, number: {kind: 'range'}}, {}, (scenario, values) => {
		const group = scenario.requests.get(values.getText('request')) ?? [];
		const keys = new Set(group.map(({request}) => request.key ?? request.requestId));
		const count = scenario.runs.filter(request => keys.has(request.key ?? request.requestId)).length;
		return createCountResult('runs at endpoints', count, values.getText('number'));
	}),
	createExpectation('bundle', {version: {kind: 'count'}}, {at: {kind: 'entry', isOptional: true}}, (scenario, values) => {
		const names = values.get('at') === undefined ? listAliveNames(scenario) : [values.getText('at')];
		const seen = names.map(name => `${name}: ${getEntry(scenario, name).state.bundle.current?.version ?? 0}`);
		const version = values.getText('version');
		return {isMet: seen.every(text => text.endsWith(`: ${version}`)), expected: `version ${version} in force`, seen: seen.join(', ')};
	}),
	createExpectation('owner', {pool: {kind: 'pool'}}, {at: {kind: 'entry', isOptional: true}, 'not-at': {kind: 'entry', isOptional: true}}, (scenario, values) => {
		const pool = values.getText('pool');
		const owners = listAliveNames(scenario).filter(name => getEntry(scenario, name).state.fleet.owned.get(pool)?.isFenced === true);
		const [wanted, unwanted] = [values.get('at'), values.get('not-at')];
		const isMet = wanted === undefined ? owners.some(name => name !== unwanted) : owners.includes(wanted);
		return {isMet, expected: `${pool} owned by ${wanted ?? `an entry other than ${unwanted ?? 'none'}`}`, seen: owners.join(', ') || 'no owner'};
	}),
	createExpectation('ready', {entry: {kind: 'entry'}, state: {kind: 'choice', choices: ['yes', 'no']}}, {}, (scenario, values) => {
		const seen = getEntry(scenario, values.getText('entry')).isReady ? 'yes' : 'no';
		return {isMet: seen === values.getText('state'), expected: `ready: ${values.getText('state')}`, seen};
	}),
	createExpectation('running', {entry: {kind: 'entry'}, state: {kind: 'choice', choices: ['yes', 'no']}}, {}, (scenario, values) => {
		const seen = getEntry(scenario, values.getText('entry')).isAlive ? 'yes' : 'no';
		return {isMet: seen === values.getText('state'), expected: `running: ${values.getText('state')}`, seen};
	}),
	createExpectation('call', {call: {kind: 'call'}}, {status: {kind: 'count'}}, (scenario, values) => {
		const answer = scenario.calls.get(values.getText('call'))?.answer;
		const seen = answer === undefined ? 'no answer' : `${answer.status} ${JSON.stringify(answer.body)}`;
		return {isMet: answer?.status === values.getNumber('status'), expected: `status ${values.getText('status')}`, seen};
	}),
	createExpectation('permits', {pool: {kind: 'pool'}, number: {kind: 'range'}}, {}, (scenario, values) => {
		const stored = getCluster(scenario).simulation.store.keyValues.get(`${storeKeys.poolsPrefix}${values.getText('pool')}`);
		const permits = Object.keys(parsePoolRecord(stored?.value)?.permits ?? {});
		return createCountResult(`permits in ${values.getText('pool')}`, permits.length, values.getText('number'));
	}),
	createExpectation('instance', {instance: {kind: 'instance'}}, {pool: {kind: 'pool'}}, (scenario, values) => {
		const seen = readInstancePool(getCluster(scenario).simulation.store.keyValues, values.getText('instance')) ?? 'no pool';
		return {isMet: seen === values.getText('pool'), expected: `recorded in ${values.getText('pool')}`, seen};
	}),
	createExpectation('reboots', {instance: {kind: 'instance'}, number: {kind: 'range'}}, {}, (scenario, values) => {
		const count = scenario.reboots.filter(id => id === values.getText('instance')).length;
		return createCountResult('reboots', count, values.getText('number'));
	}),
	createExpectation('arrivals', {instance: {kind: 'instance'}, number: {kind: 'range'}}, {since: {kind: 'milliseconds'}}, (scenario, values) => {
		const after = getCluster(scenario).simulation.queue.now - values.getNumber('since');
		const count = scenario.arrivals.filter(({instanceId, at}) => instanceId === values.getText('instance') && at >= after).length;
		return createCountResult(`requests at ${values.getText('instance')} in the last ${values.getText('since')} ms`, count, values.getText('number'));
	}),
];

function formatTally(group: readonly SentRequest[]): string {
	const tally = new Map<string, number>();
	for (const {result} of group) {
		const text = result === undefined ? 'none' : [result.outcome, result.reason].filter(Boolean).join(' ');
		tally.set(text, (tally.get(text) ?? 0) + 1);
	}

	return [...tally].map(([text, count]) => `${count} ${text}`).join(', ');
}

function listAliveNames(scenario: ScenarioRun): string[] {
	return [...getCluster(scenario).simulation.entries.values()].filter(entry => entry.isAlive).map(entry => entry.name);
}
