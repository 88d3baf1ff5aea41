import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {createLocalCluster, type LocalCluster} from './local-cluster.js';

const bundleLines = [
	'[pool.badge-desk]',
	'budget = 1',
	'[pool.admin]',
	'budget = 1',
	'spare = true',
	'[service.badges]',
	'pool = badge-desk',
	'class = urgent',
	'not-executed-statuses = 503',
	'deadline-ms = 8000',
	'[service.reports]',
	'pool = admin',
	'not-executed-statuses = 503',
];

function formatBundle(version: number): string {
	return ['[bundle]', 'schema-version = 1', `version = ${version}`, ...bundleLines, ''].join('\n');
}

type Tally = Record<'completed' | 'not-run' | 'unknown' | 'no-answer', number>;

async function sendRequests(cluster: LocalCluster, count: number, entries: readonly number[]): Promise<Tally> {
	const tally: Tally = {
		completed: 0, 'not-run': 0, unknown: 0, 'no-answer': 0,
	};
	await Promise.all(Array.from({length: count}, async (_, index) => {
		await delay(index * 5);
		const entry = cluster.entries[entries[index % entries.length]!]!;
		try {
			const answer = await request(`http://${entry.address}/services/${index % 3 === 0 ? 'reports' : 'badges'}/print`, {
				method: 'POST', body: `job-${randomUUID()}`,
			});
			await answer.body.dump();
			tally[String(answer.headers['pistachiogauge-outcome']) as keyof Tally] += 1;
		} catch {
			tally['no-answer'] += 1;
		}
	}));
	return tally;
}

async function countRuns(cluster: LocalCluster): Promise<{runs: number; repeated: number}> {
	let runs = 0;
	let repeated = 0;
	for (const endpoint of cluster.endpoints.values()) {
		// eslint-disable-next-line no-await-in-loop
		const answer = await request(`http://${endpoint.address}/standin/record`);
		// eslint-disable-next-line no-await-in-loop
		const record = await answer.body.json() as {runs: Record<string, number>};
		for (const count of Object.values(record.runs)) {
			runs += 1;
			repeated += count > 1 ? 1 : 0;
		}
	}

	return {runs, repeated};
}

async function getVersions(cluster: LocalCluster, entries: readonly number[]): Promise<number[]> {
	const statuses = await Promise.all(entries.map(async index => cluster.callOperator({command: 'status'}, index)));
	return statuses.map(status => (status as {bundleVersion: number}).bundleVersion);
}

async function runDemo(): Promise<void> {
	const lines: string[] = [];
	const cluster = await createLocalCluster({
		entryCount: 3, zones: ['a', 'b', 'c'], instances: {'badge-desk': 3, admin: 2}, bundle: formatBundle(1), runMs: 20,
	});
	try {
		lines.push(`requests over 3 entries      ${JSON.stringify(await sendRequests(cluster, 150, [0, 1, 2]))}`);
		const rolloutStart = performance.now();
		await cluster.applyBundle(formatBundle(2));
		await cluster.waitUntil('version 2 is in force', async () => {
			const versions = await getVersions(cluster, [0, 1, 2]);
			return versions.every(version => version === 2);
		}, 5000);
		lines.push(`bundle 2 in force everywhere ${Math.round(performance.now() - rolloutStart)} ms`);
		cluster.entries[2]!.child.kill('SIGKILL');
		lines.push(`one entry killed             ${JSON.stringify(await sendRequests(cluster, 150, [0, 1]))}`);
		const {runs, repeated} = await countRuns(cluster);
		lines.push(`runs at the endpoints        ${runs}, run more than once: ${repeated}`);
		if (repeated > 0) {
			throw new Error('a request ran more than once');
		}
	} finally {
		await cluster.stop();
	}

	process.stdout.write(`${lines.join('\n')}\n`);
}

await runDemo();
