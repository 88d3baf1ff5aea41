import {type StoreFaults, type EndpointFault} from '@pistachiogauge/standins';
import {request} from 'undici';
import {createLocalCluster, type LocalCluster, type LocalProcess} from '../local-cluster.js';

/** The fields of the `status` answer that the tests use. */
export type EntryStatus = {
	readonly entry: string;
	readonly epoch: number;
	readonly isActive: boolean;
	readonly isStoreReached: boolean;
	readonly bundleVersion: number;
	readonly members: ReadonlyArray<{readonly id: string}>;
	readonly pools: Readonly<Record<string, {readonly owner: string; readonly standby?: string}>>;
};

/** Formats the bundle of the tests. */
export function formatBundle(version: number): string {
	return [
		'[bundle]',
		'schema-version = 1',
		`version = ${version}`,
		'[pool.badge-desk]',
		'budget = 1',
		'[pool.admin]',
		'budget = 1',
		'spare = true',
		'[service.badges]',
		'pool = badge-desk',
		'class = urgent',
		'not-executed-statuses = 503',
		'deadline-ms = 6000',
		'[service.reports]',
		'pool = admin',
		'not-executed-statuses = 503',
		'deadline-ms = 6000',
		'',
	].join('\n');
}

/** Starts three entries in three zones, with two pools. */
export async function createTestCluster(): Promise<LocalCluster> {
	return createLocalCluster({
		entryCount: 3, zones: ['a', 'b', 'c'], instances: {'badge-desk': 2, admin: 2}, bundle: formatBundle(1), runMs: 10,
	});
}

export async function getStatus(cluster: LocalCluster, index: number): Promise<EntryStatus> {
	return await cluster.callOperator({command: 'status'}, index) as EntryStatus;
}

/** Returns the index of the entry that owns a pool. */
export async function getOwnerIndex(cluster: LocalCluster, pool: string, entryIndex = 0): Promise<number> {
	const {pools} = await getStatus(cluster, entryIndex);
	const owner = pools[pool]?.owner ?? '';
	return cluster.entries.findIndex(entry => owner.startsWith(`${entry.name}.`));
}

/** Waits until all entries report the same active epoch, each other as members, and the same bundle. */
export async function waitUntilEntriesAgree(cluster: LocalCluster): Promise<void> {
	await cluster.waitUntil('the entries agree on epoch, members and bundle', async () => {
		const statuses = await Promise.all(cluster.entries.map(async (_, index) => getStatus(cluster, index)));
		const ids = new Set(statuses.map(status => status.entry));
		return statuses.every(status => status.isActive
			&& status.isStoreReached
			&& status.epoch === statuses[0]!.epoch
			&& status.bundleVersion === statuses[0]!.bundleVersion
			&& status.members.length === ids.size
			&& status.members.every(member => ids.has(member.id)));
	});
}

export async function setEndpointFault(endpoint: LocalProcess, fault: EndpointFault): Promise<void> {
	await postJson(`http://${endpoint.address}/standin/fault`, {fault});
}

export async function setStoreFaults(cluster: LocalCluster, faults: Partial<StoreFaults>): Promise<void> {
	await postJson(`http://${cluster.storeAddress}/faults`, faults);
}

export async function isReady(entry: LocalProcess): Promise<boolean> {
	const answer = await request(`http://${entry.address}/readyz`);
	await answer.body.dump();
	return answer.statusCode === 200;
}

/** Reads the value of a counter from an entry's metrics page. */
export async function readCounter(entry: LocalProcess, metric: string): Promise<number> {
	const answer = await request(`http://${entry.address}/metrics`);
	const text = await answer.body.text();
	const line = text.split('\n').find(item => item.startsWith(`pistachiogauge_${metric} `));
	return Number(line?.split(' ')[1] ?? 0);
}

async function postJson(url: string, body: unknown): Promise<void> {
	const answer = await request(url, {method: 'POST', body: JSON.stringify(body)});
	await answer.body.dump();
	if (answer.statusCode !== 200) {
		throw new Error(`${url} answered ${answer.statusCode}`);
	}
}
