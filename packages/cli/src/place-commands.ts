import {statSync} from 'node:fs';
import {askPlacement, type PlacementQuestion} from './ask-placement.js';
import {verifyEntryAddress} from './call-entry.js';
import {CliError} from './cli-error.js';
import {getOption, readText} from './command-input.js';
import {type Command, type CommandOptions} from './command.js';
import {formatFields, formatTable} from './format-table.js';
import {type OwnPoolExplanation, type PlacementExplanation} from './placement-explanation.js';

/** Entries accept questions of 64 KB, of which the options take the rest. */
const maxFileBytes = 57_344;

/** @internal */
export const placeCommands: readonly Command[] = [
	{
		name: 'place',
		usage: 'place <file>',
		description: 'Show where the job in a JSON file would go now, and why, without sending it; exit code 1 if it would wait',
		example: 'place job.json --entry 10.0.0.1:9100 --queue prints',
		options: ['queue', 'host', 'path', 'account'],
		run: async ([file = ''], options) => explainJob(file, options),
		format: result => formatExplanation(result as PlacementExplanation),
		hasFailed(result) {
			const explanation = result as PlacementExplanation;
			return explanation.kind !== 'explained' || !explanation.isStarted;
		},
	},
];

/** Asks the entry, and the owner of the pool if the entry is not. */
async function explainJob(file: string, options: CommandOptions): Promise<PlacementExplanation> {
	const entry = getOption(options, 'entry');
	verifyEntryAddress(entry);
	const {queue, host, path, account} = options;
	if (queue === undefined ? host === undefined || path === undefined : host !== undefined || path !== undefined) {
		throw new CliError(2, 'expected either --queue, or --host and --path');
	}

	const question: PlacementQuestion = {
		entry, fields: {
			queue, host, path, account,
		}, file, job: readJob(file),
	};
	const explanation = await askPlacement(question);
	const ownerAddress = explanation.kind === 'owned-elsewhere' ? explanation.peerAddress : undefined;
	if (ownerAddress === undefined) {
		return checkQuestion(question, explanation);
	}

	verifyEntryAddress(ownerAddress);
	return checkQuestion(question, await askPlacement({...question, entry: ownerAddress}));
}

function readJob(file: string): unknown {
	if (getFileSize(file) > maxFileBytes) {
		throw new CliError(2, `${file}: a job has at most ${maxFileBytes} bytes`);
	}

	try {
		return JSON.parse(readText(file));
	} catch (error) {
		throw error instanceof CliError ? error : new CliError(2, `${file}: not JSON`, {cause: error});
	}
}

function getFileSize(file: string): number {
	try {
		return statSync(file).size;
	} catch (error) {
		throw new CliError(2, `cannot read ${file}`, {cause: error});
	}
}

/** @throws CliError when the options name what the entry does not know. */
function checkQuestion({entry, fields: {queue, account}}: PlacementQuestion, explanation: PlacementExplanation): PlacementExplanation {
	if (explanation.kind === 'unknown-queue') {
		throw new CliError(2, queue === undefined ? `--host, --path: ${entry} knows no queue for them` : `--queue: ${entry} knows no queue ${queue}`);
	}

	if (explanation.kind === 'unknown-account') {
		throw new CliError(2, `--account: ${entry} knows no client account ${account ?? ''}`);
	}

	return explanation;
}

type Formatters = {readonly [Kind in PlacementExplanation['kind']]: (explanation: Extract<PlacementExplanation, {kind: Kind}>) => string};

const formatters: Formatters = {
	'not-configured': () => 'The entry has not read a configuration yet.',
	'unknown-queue': () => 'The entry knows no such queue.',
	'unknown-account': () => 'The entry knows no such client account.',
	'owner-unknown': ({queue, pool}) => formatFields({queue, pool, owner: 'unknown'}),
	'owned-elsewhere': ({queue, pool, owner: {node, token}, peerAddress}) => formatFields({
		queue, pool, owner: node, token, address: peerAddress ?? 'unknown',
	}),
	explained: explanation => formatOwnPool(explanation),
};

function formatExplanation(explanation: PlacementExplanation): string {
	const format = formatters[explanation.kind] as (explanation: PlacementExplanation) => string;
	return format(explanation);
}

function formatOwnPool(explanation: OwnPoolExplanation): string {
	const {
		queue, pool, owner: {node, token}, isStarted, isKeyRequired, policy, objectiveStatus, rank, rankedJobs, endpointUses, account, steps,
	} = explanation;
	return [
		formatFields({
			queue,
			pool,
			owner: node,
			token,
			result: isStarted ? 'would start now' : 'would wait',
			objective: objectiveStatus,
			rank: rank === undefined ? `none, ${rankedJobs} other jobs are ranked` : `${rank} of ${rankedJobs}`,
			displacement: policy,
			account: account?.name,
			key: isKeyRequired && account === undefined ? 'required; explained without an account' : undefined,
		}),
		formatTable(['step', 'tasks', 'outcome', 'waits for', 'endpoint', 'tasks there', ...resourceHeading('free')], steps.flatMap(({step, tasks, outcome, waitReason = '', endpoints}) => {
			const common = [step, tasks, outcome, waitReason];
			return endpoints.length === 0
				? [common]
				: endpoints.map(endpoint => [...common, endpoint.endpointId, endpoint.tasks, ...listAmounts(endpoint.free)]);
		})),
		formatTable(['endpoints', 'count', 'longest ms'], Object.entries(endpointUses).map(([use, {count, longestMs}]) => [use, count, longestMs])),
		...(account === undefined
			? []
			: [formatTable(['account', ...resourceHeading('')], [
				['cap', ...listAmounts(account.cap)], ['share of pool', ...listAmounts(account.share)], ['in use in pool', ...listAmounts(account.used)],
			])]),
	].join('\n\n');
}

function resourceHeading(prefix: string): string[] {
	return ['millicores', 'mb', 'gpus'].map(name => `${prefix} ${name}`.trim());
}

/** Lists amounts in the order of the heading; a missing one has no limit. */
function listAmounts({cpuMillis, memoryMb, gpus}: Partial<OwnPoolExplanation['steps'][number]['endpoints'][number]['free']> = {}): unknown[] {
	return [cpuMillis, memoryMb, gpus].map(amount => amount ?? 'unlimited');
}
