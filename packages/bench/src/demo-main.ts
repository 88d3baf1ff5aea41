import {once} from 'node:events';
import {createLocalCluster, type LocalCluster} from './local-cluster.js';
import {findRuleViolations, countRuns, type ObservedRequest} from './processes/request-results.js';
import {runWithLoad, sendRequest} from './processes/send-request.js';

const pool = 'badge-desk';
const drainedInstance = `${pool}-1`;
const requestCount = 120;
const services = ['badges', 'reports'];

function formatBundle(version: number): string {
	return [
		'[bundle]',
		'schema-version = 1',
		`version = ${version}`,
		`[pool.${pool}]`,
		'budget = 1',
		'[pool.admin]',
		'budget = 1',
		'spare = true',
		'[service.badges]',
		`pool = ${pool}`,
		'class = urgent',
		'not-executed-statuses = 503',
		'deadline-ms = 8000',
		'[service.reports]',
		'pool = admin',
		'not-executed-statuses = 503',
		'',
	].join('\n');
}

type DemoStep = {
	readonly name: string;
	/** Returns the text of the summary; throws if a check fails. */
	readonly run: (cluster: LocalCluster, results: ObservedRequest[]) => Promise<string>;
};

function formatOutcomes(sent: readonly ObservedRequest[]): string {
	const counts = new Map<string, number>();
	for (const {outcome} of sent) {
		counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
	}

	return [...counts].map(([outcome, count]) => `${count} ${outcome}`).join(', ');
}

/** Sends requests to the entries in turn while the action runs. */
async function sendRequestsDuring(cluster: LocalCluster, results: ObservedRequest[], isTarget: (name: string) => boolean, action: () => Promise<void>): Promise<ObservedRequest[]> {
	return runWithLoad({results, services, getEntries: () => cluster.entries.filter(({name}) => isTarget(name))}, action);
}

const steps: readonly DemoStep[] = [
	{
		name: 'requests over 3 entries',
		async run(cluster, results) {
			const sent = await Promise.all(Array.from({length: requestCount}, async (_, index) =>
				sendRequest(cluster.entries[index % 3]!, {service: services[index % 2]!, isIdempotent: index % 3 === 0})));
			results.push(...sent);
			checkEmpty(sent.filter(({outcome}) => outcome !== 'completed'), 'requests did not complete');
			return formatOutcomes(sent);
		},
	},
	{
		name: 'a bundle rolled out',
		async run(cluster) {
			const startedAt = performance.now();
			await cluster.applyBundle(formatBundle(2));
			await cluster.waitUntil('bundle 2 is in force everywhere', async () => {
				const statuses = await Promise.all(cluster.entries.map(async (_, index) => cluster.callOperator({command: 'status'}, index)));
				return statuses.every(status => (status as {bundleVersion: number}).bundleVersion === 2);
			}, 3000);
			return `in force everywhere after ${Math.round(performance.now() - startedAt)} ms`;
		},
	},
	{
		name: 'an instance drained',
		async run(cluster, results) {
			const startedAt = performance.now();
			const sent = await sendRequestsDuring(cluster, results, () => true, async () => {
				await cluster.callOperator({command: 'drain', pool, instance: drainedInstance});
				await cluster.waitUntil(`${drainedInstance} is stopped`, async () => JSON.stringify(await cluster.callOperator({command: 'pool-status', pool})).includes('"stopped"'));
			});
			const stoppedAfterMs = Math.round(performance.now() - startedAt);
			checkEmpty(sent.filter(({outcome}) => outcome !== 'completed'), 'requests did not complete during the drain');
			await cluster.callOperator({command: 'undrain', pool, instance: drainedInstance});
			return `stopped after ${stoppedAfterMs} ms, meanwhile ${formatOutcomes(sent)}`;
		},
	},
	{
		name: 'an entry killed',
		async run(cluster, results) {
			const killed = cluster.entries[2]!;
			const {entry: killedId} = await cluster.callOperator({command: 'status'}, 2) as {entry: string};
			const startedAt = performance.now();
			const sent = await sendRequestsDuring(cluster, results, name => name !== killed.name, async () => {
				killed.child.kill('SIGKILL');
				await once(killed.child, 'exit');
				await cluster.waitUntil('its pools have new owners', async () => {
					const status = await cluster.callOperator({command: 'status'}) as {isActive: boolean; members: Array<{id: string}>};
					return status.isActive && status.members.every(({id}) => id !== killedId);
				});
			});
			checkEmpty(sent.filter(({outcome}) => outcome === 'no-answer'), 'requests to running entries had no answer');
			return `replaced after ${Math.round(performance.now() - startedAt)} ms, meanwhile ${formatOutcomes(sent)}`;
		},
	},
	{
		name: 'answers against records',
		async run(cluster, results) {
			const runs = await countRuns([...cluster.endpoints.values()]);
			const violations = findRuleViolations(results, runs);
			if (violations.length > 0) {
				throw new Error(violations.join('\n'));
			}

			return `${results.length} requests, ${runs.size} ran; none twice, no false outcome`;
		},
	},
];

function checkEmpty(sent: readonly ObservedRequest[], problem: string): void {
	if (sent.length > 0) {
		const reasons = new Set(sent.map(({outcome, status, reason}) => `${outcome} ${status} ${reason}`));
		throw new Error(`${sent.length} ${problem}: ${[...reasons].join('; ')}`);
	}
}

async function runDemo(): Promise<void> {
	const cluster = await createLocalCluster({
		entryCount: 3, zones: ['a', 'b', 'c'], instances: {[pool]: 3, admin: 2}, bundle: formatBundle(1), runMs: 20,
	});
	const results: ObservedRequest[] = [];
	try {
		for (const {name, run} of steps) {
			// eslint-disable-next-line no-await-in-loop
			const summary = await run(cluster, results).catch((error: unknown) => {
				throw new Error(`${name}: ${error instanceof Error ? error.message : String(error)}`, {cause: error});
			});
			process.stdout.write(`${name.padEnd(26)}${summary}\n`);
		}
	} finally {
		await cluster.stop();
	}
}

try {
	await runDemo();
} catch (error) {
	process.stderr.write(`demo failed: ${error instanceof Error ? error.message : String(error)}\n`);
	process.exitCode = 1;
}
