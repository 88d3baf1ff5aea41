import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {Pool, request} from 'undici';
import {createLocalCluster, findFreePorts, type LocalCluster} from '../local-cluster.js';
import {roundValue, type MeasureLine} from './measure.js';

const instanceCount = 6;
/** Far below the pool's 48 slots, so that no request is queued and the pass-through's round robin seldom reaches a full endpoint. */
const concurrency = 16;
const roundMs = 1200;
const roundCount = 3;
const warmUpMs = 600;
const pool = 'badge-desk';
/** Environment variable with Node.js options for the entries, such as `--cpu-prof --cpu-prof-dir=FOLDER`. */
const nodeOptionsVariable = 'ENTRY_NODE_OPTIONS';

const bundle = [
	'[bundle]',
	'schema-version = 1',
	'version = 1',
	`[pool.${pool}]`,
	'budget = 1',
	'[service.badges]',
	`pool = ${pool}`,
	'not-executed-statuses = 503',
	'',
].join('\n');

/** An address to measure. */
type Target = {
	readonly name: string;
	readonly address: string;
	/** Processor time used so far, in microseconds, summed over all entries on the path. */
	readonly getCpuUs: () => Promise<number>;
};

type Round = {
	readonly perSecond: number;
	readonly cpuUsPerRequest: number;
};

/** Throughput of one entry with idempotent requests, against a plain `http` and `undici` pass-through under the same load in the same run. */
export const throughputMeasure = {
	name: 'throughput',
	description: 'requests per second and processor time per request of an entry, as owner and with one forward hop, against a plain pass-through',
	run: measureThroughput,
};

async function measureThroughput(seed: number): Promise<MeasureLine[]> {
	const cluster = await createLocalCluster({
		entryCount: 2, zones: ['a', 'b'], instances: {[pool]: instanceCount}, bundle, runMs: 0, entryNodeOptions: (process.env[nodeOptionsVariable] ?? '').split(' ').filter(option => option !== ''),
	});
	const [baselinePort] = await findFreePorts(1);
	const baselineAddress = `127.0.0.1:${baselinePort!}`;
	const script = fileURLToPath(new URL('../pass-through-main.js', import.meta.url));
	const passThrough = spawn(process.execPath, [script, baselineAddress, ...[...cluster.endpoints.values()].map(({address}) => address)], {stdio: 'ignore'});
	try {
		const baseline: Target = {name: 'pass-through', address: baselineAddress, getCpuUs: async () => Number(await readText(`http://${baselineAddress}/cpu`))};
		await cluster.waitUntil('the pass-through listens', async () => await baseline.getCpuUs() > 0);
		const targets = await createEntryTargets(cluster);
		return await measureTargets(baseline, targets, seed);
	} finally {
		passThrough.kill('SIGTERM');
		await Promise.all([once(passThrough, 'exit'), cluster.stop()]);
	}
}

async function createEntryTargets(cluster: LocalCluster): Promise<Target[]> {
	const {pools} = await cluster.callOperator({command: 'status'}) as {pools: Record<string, {owner: string}>};
	const isOwner = ({name}: {name: string}) => pools[pool]!.owner.startsWith(`${name}.`);
	const owner = cluster.entries.find(entry => isOwner(entry))!;
	const receiver = cluster.entries.find(entry => !isOwner(entry))!;
	const getCpuUs = async (address: string) => {
		const text = await readText(`http://${address}/metrics`);
		return Number(/process_cpu_seconds (?<seconds>[\d.]+)/u.exec(text)?.groups?.seconds) * 1e6;
	};

	return [
		{name: 'owner', address: owner.address, getCpuUs: async () => getCpuUs(owner.address)},
		{name: 'one-forward-hop', address: receiver.address, getCpuUs: async () => await getCpuUs(owner.address) + await getCpuUs(receiver.address)},
	];
}

/** Alternates the rounds of all targets, so that other work on the machine affects them equally. */
async function measureTargets(baseline: Target, targets: readonly Target[], seed: number): Promise<MeasureLine[]> {
	const rounds = new Map<Target, Round[]>([baseline, ...targets].map(target => [target, []]));
	for (const target of rounds.keys()) {
		// eslint-disable-next-line no-await-in-loop
		await runRound(target, warmUpMs);
	}

	for (let index = 0; index < roundCount; index++) {
		for (const [target, completedRounds] of rounds) {
			// eslint-disable-next-line no-await-in-loop
			completedRounds.push(await runRound(target, roundMs));
		}
	}

	const getMedian = (target: Target, key: keyof Round) => roundValue(rounds.get(target)!.map(round => round[key]).sort((left, right) => left - right)[Math.floor(roundCount / 2)]!);
	return targets.flatMap(target => [
		{
			measure: 'throughput', unit: 'requests/s', policy: target.name, baseline: baseline.name, value: getMedian(target, 'perSecond'), baselineValue: getMedian(baseline, 'perSecond'), seed,
		},
		{
			measure: 'throughput-cpu', unit: 'us/request', policy: target.name, baseline: baseline.name, value: getMedian(target, 'cpuUsPerRequest'), baselineValue: getMedian(baseline, 'cpuUsPerRequest'), seed,
		},
	]);
}

async function runRound(target: Target, durationMs: number): Promise<Round> {
	const connections = new Pool(`http://${target.address}`, {connections: concurrency, pipelining: 1});
	const cpuBefore = await target.getCpuUs();
	const startedAt = performance.now();
	let completedCount = 0;
	const sendSequentially = async () => {
		while (performance.now() - startedAt < durationMs) {
			// eslint-disable-next-line no-await-in-loop
			const answer = await connections.request({method: 'PUT', path: '/services/badges/print', body: 'one-body-of-a-usual-length-for-a-badge'});
			// eslint-disable-next-line no-await-in-loop
			await answer.body.dump();
			// The pass-through does not track slots, so an endpoint may refuse a request. Only successful answers are counted.
			completedCount += answer.statusCode === 200 ? 1 : 0;
		}
	};

	await Promise.all(Array.from({length: concurrency}, sendSequentially));
	const elapsedMs = performance.now() - startedAt;
	const cpuUs = await target.getCpuUs() - cpuBefore;
	await connections.close();
	return {perSecond: completedCount / elapsedMs * 1000, cpuUsPerRequest: cpuUs / completedCount};
}

async function readText(url: string): Promise<string> {
	const answer = await request(url);
	return answer.body.text();
}
