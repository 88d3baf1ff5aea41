import {type OperatorCommand} from '@pistachiogauge/model';
import {
	getCluster, getEntry, type ScenarioCommand, type LineValues, type ScenarioRun,
} from './command.js';
import {type Parameter} from './parameters.js';

const callOptions = {at: {kind: 'entry'}, by: {kind: 'text', isOptional: true}} as const;

function createCallCommand(
	name: string,
	positionals: Readonly<Record<string, Parameter>>,
	options: Readonly<Record<string, Parameter>>,
	createCall: (values: LineValues, scenario: ScenarioRun) => OperatorCommand,
): ScenarioCommand {
	return {
		name,
		phase: 'run',
		positionals: {call: {kind: 'new-call'}, ...positionals},
		options: {...options, ...callOptions},
		run(scenario, values) {
			const entry = getEntry(scenario, values.getText('at'));
			const command = createCall(values, scenario);
			scenario.calls.set(values.getText('call'), getCluster(scenario).callOperator(entry, command, values.getText('by', 'ayse')));
			return undefined;
		},
	};
}

/** Operator calls. Each line names its call, so that an expectation can refer to the answer. */
export const operatorCommands: readonly ScenarioCommand[] = [
	createCallCommand('bundle', {version: {kind: 'count'}}, {}, (values, scenario) => ({
		command: 'bundle-apply',
		bundle: getCluster(scenario).simulation.bundles.createBundle(values.getNumber('version'), values.getText('by', 'ayse')),
		nonce: values.getText('call'),
	})),
	createCallCommand('drain', {instance: {kind: 'instance'}}, {pool: {kind: 'pool'}}, values => ({command: 'drain', pool: values.getText('pool'), instance: values.getText('instance')})),
	createCallCommand('undrain', {instance: {kind: 'instance'}}, {pool: {kind: 'pool'}}, values => ({command: 'undrain', pool: values.getText('pool'), instance: values.getText('instance')})),
	createCallCommand('move', {instance: {kind: 'instance'}}, {pool: {kind: 'pool'}, to: {kind: 'pool'}}, values => ({
		command: 'move', pool: values.getText('pool'), instance: values.getText('instance'), targetPool: values.getText('to'),
	})),
	createCallCommand('wave', {pool: {kind: 'pool'}}, {}, values => ({command: 'wave-start', pool: values.getText('pool')})),
	createCallCommand('wave-pause', {pool: {kind: 'pool'}}, {}, values => ({command: 'wave-pause', pool: values.getText('pool')})),
	createCallCommand('force', {epoch: {kind: 'count'}}, {}, values => ({command: 'membership-force', epoch: values.getNumber('epoch')})),
];
