import {type RequestClass} from '@pistachiogauge/model';
import {type VirtualCluster} from '../virtual/virtual-cluster.js';
import {type RequestOptions} from '../virtual/virtual-callers.js';
import {type VirtualEntry} from '../virtual/simulation.js';
import {
	getCluster, getEntry, type ScenarioCommand, type LineValues, type ScenarioRun,
} from './command.js';
import {type Parameter} from './parameters.js';

const classParameter: Parameter = {kind: 'choice', choices: ['urgent', 'normal', 'deferrable'], isOptional: true};
const defaultDeadlineMs = 5000;

/** Commands that act as callers, and the one that advances virtual time. */
export const callerCommands: readonly ScenarioCommand[] = [
	{
		name: 'run',
		phase: 'run',
		positionals: {duration: {kind: 'milliseconds'}},
		options: {},
		run(scenario, values) {
			getCluster(scenario).run(values.getNumber('duration'));
			return undefined;
		},
	},
	{
		name: 'send',
		phase: 'run',
		positionals: {name: {kind: 'new-request'}, service: {kind: 'service'}},
		options: {
			at: {kind: 'entry'},
			class: classParameter,
			method: {kind: 'choice', choices: ['GET', 'POST'], isOptional: true},
			deadline: {kind: 'milliseconds', isOptional: true},
			'run-ms': {kind: 'milliseconds', isOptional: true},
			key: {kind: 'text', isOptional: true},
			body: {kind: 'text', isOptional: true},
			team: {kind: 'text', isOptional: true},
			count: {kind: 'count', isOptional: true},
			every: {kind: 'milliseconds', isOptional: true},
		},
		run(scenario, values) {
			sendRequests(scenario, values);
			return undefined;
		},
	},
	{
		name: 'repeat',
		phase: 'run',
		positionals: {request: {kind: 'request'}, name: {kind: 'new-request'}},
		options: {at: {kind: 'entry'}, body: {kind: 'text', isOptional: true}},
		run(scenario, values) {
			const entry = getEntry(scenario, values.getText('at'));
			const sent = scenario.requests.get(values.getText('request')) ?? [];
			scenario.requests.set(values.getText('name'), sent.map(({options, request}) => getCluster(scenario).callers.send(entry, {
				...options, key: request.key, body: values.get('body') ?? Buffer.from(request.body).toString(),
			})));
			return undefined;
		},
	},
	{
		name: 'hang-up',
		phase: 'run',
		positionals: {request: {kind: 'request'}},
		options: {},
		run(scenario, values) {
			for (const sent of scenario.requests.get(values.getText('request')) ?? []) {
				getCluster(scenario).callers.hangUp(sent);
			}

			return undefined;
		},
	},
];

function sendRequests(scenario: ScenarioRun, values: LineValues): void {
	const cluster = getCluster(scenario);
	const entry = getEntry(scenario, values.getText('at'));
	const group: Array<ReturnType<VirtualCluster['callers']['send']>> = [];
	scenario.requests.set(values.getText('name'), group);
	const options: RequestOptions = {
		service: values.getText('service'),
		requestClass: values.getText('class', 'normal') as RequestClass,
		isIdempotent: values.getText('method', 'POST') === 'GET',
		deadlineMs: values.getNumber('deadline', defaultDeadlineMs),
		runMs: values.get('run-ms') === undefined ? undefined : values.getNumber('run-ms'),
		key: values.get('key'),
		body: values.get('body'),
		team: values.get('team'),
	};
	for (let index = 0; index < values.getNumber('count', 1); index++) {
		sendLater(cluster, index * values.getNumber('every'), entry, () => {
			group.push(cluster.callers.send(entry, options));
		});
	}
}

function sendLater({simulation}: VirtualCluster, delayMs: number, entry: VirtualEntry, send: () => void): void {
	if (delayMs === 0) {
		send();
		return;
	}

	simulation.queue.add(delayMs, () => {
		if (entry.isAlive) {
			send();
		}
	});
}
