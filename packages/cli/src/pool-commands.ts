import {type OperatorCommand} from '@pistachiogauge/model';
import {callEntry} from './call-entry.js';
import {getCallOptions} from './command-input.js';
import {type Command, type CommandHandler} from './command.js';
import {formatFields, formatTable, formatTime} from './format-table.js';

type PoolAnswer = {
	readonly instances?: ReadonlyArray<{
		readonly id: string;
		readonly zone?: string;
		readonly rack?: string;
		readonly state: string;
		readonly running: number;
		readonly maintainedAt: number;
		readonly permit?: {readonly reason: string; readonly stage: string; readonly by: string; readonly since: number};
		readonly waitsFor?: string;
	}>;
} & Readonly<Record<string, unknown>>;

type WaveAnswer = {
	readonly steps?: ReadonlyArray<{readonly zone: string; readonly rack: string; readonly instances: readonly string[]}>;
	readonly inProgress?: ReadonlyArray<{readonly id: string; readonly stage: string}>;
	readonly wave?: {readonly id: string; readonly state: string; readonly startedAt: number; readonly done: readonly string[]};
} & Readonly<Record<string, unknown>>;

const exampleOptions = '--entry 10.0.0.1:8080 --operator ana --key ana.pem';

function createInstanceHandler(command: 'drain' | 'undrain' | 'retire'): CommandHandler {
	return async ([pool = '', instance = ''], options) => callEntry(getCallOptions(options), {command, pool, instance});
}

function createPoolHandler(command: Extract<OperatorCommand, {pool: string}>['command'] & ('pool-status' | `wave-${string}`)): CommandHandler {
	return async ([pool = ''], options) => callEntry(getCallOptions(options), {command, pool});
}

/** @internal */
export const poolCommands: readonly Command[] = [
	{
		name: 'pool status',
		usage: 'pool status <pool>',
		description: 'Show a pool\'s instances, its budget, and what each planned stop waits for',
		example: `pool status badge-desk ${exampleOptions}`,
		run: createPoolHandler('pool-status'),
		format(result) {
			const {instances = [], ...fields} = result as PoolAnswer;
			return [formatFields(fields), formatTable(
				['instance', 'zone', 'rack', 'state', 'running', 'maintained', 'stage', 'reason', 'by', 'waits for'],
				instances.map(item => [
					item.id, item.zone, item.rack, item.state, item.running, formatTime(item.maintainedAt), item.permit?.stage, item.permit?.reason, item.permit?.by, item.waitsFor,
				]),
			)].join('\n\n');
		},
	},
	{
		name: 'drain',
		usage: 'drain <pool> <instance>',
		description: 'Take an instance out of service once its requests have ended',
		example: `drain badge-desk badge-desk-3 ${exampleOptions}`,
		run: createInstanceHandler('drain'),
	},
	{
		name: 'undrain',
		usage: 'undrain <pool> <instance>',
		description: 'Return a drained instance to service once it answers probes',
		example: `undrain badge-desk badge-desk-3 ${exampleOptions}`,
		run: createInstanceHandler('undrain'),
	},
	{
		name: 'retire',
		usage: 'retire <pool> <instance>',
		description: 'State that an instance which the platform no longer lists is gone for good',
		example: `retire badge-desk badge-desk-3 ${exampleOptions}`,
		run: createInstanceHandler('retire'),
	},
	{
		name: 'move',
		usage: 'move <pool> <instance> <target-pool>',
		description: 'Move an instance to another pool',
		example: `move admin admin-2 badge-desk ${exampleOptions}`,
		run: async ([pool = '', instance = '', targetPool = ''], options) => callEntry(getCallOptions(options), {
			command: 'move', pool, instance, targetPool,
		}),
	},
	{
		name: 'wave plan',
		usage: 'wave plan <pool>',
		description: 'Show in which order a maintenance wave would stop the instances',
		example: `wave plan badge-desk ${exampleOptions}`,
		run: createPoolHandler('wave-plan'),
		format(result) {
			const {steps = [], ...fields} = result as WaveAnswer;
			return [formatFields(fields), formatTable(['zone', 'rack', 'instances'], steps.map(step => [step.zone, step.rack, step.instances.join(', ')]))].join('\n\n');
		},
	},
	{
		name: 'wave start',
		usage: 'wave start <pool>',
		description: 'Start a maintenance wave, or go on with a paused one',
		example: `wave start badge-desk ${exampleOptions}`,
		run: createPoolHandler('wave-start'),
	},
	{
		name: 'wave pause',
		usage: 'wave pause <pool>',
		description: 'Stop no further instances; those that are out return',
		example: `wave pause badge-desk ${exampleOptions}`,
		run: createPoolHandler('wave-pause'),
	},
	{
		name: 'wave status',
		usage: 'wave status <pool>',
		description: 'Show how far a wave is and what holds it',
		example: `wave status badge-desk ${exampleOptions}`,
		run: createPoolHandler('wave-status'),
		format(result) {
			const {wave, inProgress = [], ...fields} = result as WaveAnswer;
			const summary = wave === undefined
				? {wave: 'none'}
				: {
					wave: wave.id, state: wave.state, started: formatTime(wave.startedAt), done: wave.done.length,
				};
			return [formatFields({...summary, ...fields}), formatTable(['instance', 'stage'], inProgress.map(({id, stage}) => [id, stage]))].join('\n\n');
		},
	},
];
