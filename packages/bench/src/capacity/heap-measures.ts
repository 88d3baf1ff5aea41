import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {
	createRequest, createSampleEntry, getPoolName, type SampleEntry,
} from './sample-entry.js';

/** State of an entry whose heap use is measured by the number of its items. */
export type HeapMeasure = {
	readonly name: string;
	readonly unit: string;
	readonly sizes: readonly number[];
	readonly create: (size: number) => SampleEntry;
	/** Counts the items that the state contains, so that refused ones are detected. */
	readonly countItems: (sample: SampleEntry) => number;
};

/** Completes keyed requests at an owner without a standby. */
function createEntryWithKeys(size: number): SampleEntry {
	const sample = createSampleEntry({instances: 1});
	for (let index = 0; index < size; index++) {
		for (const effect of sample.applyEvent({kind: 'request-received', request: createRequest(sample, index, {isIdempotent: false})})) {
			if (effect.kind === 'send-endpoint') {
				sample.applyEvent({
					kind: 'endpoint-answered', attemptId: effect.attemptId, status: 200, headers: [], body: new Uint8Array(200),
				});
			}
		}
	}

	return sample;
}

function createEntryWithRequests(size: number, mode: 'direct' | 'task'): SampleEntry {
	const sample = createSampleEntry();
	if (mode === 'task') {
		// Makes the entry load the pool's task pages, which are empty.
		sample.applyEvent({kind: 'store-reached'});
		sample.applyEvent({kind: 'pool-acquired', pool: getPoolName(0), wasStandby: false});
		sample.applyEvent({kind: 'tick'});
	}

	for (let index = 0; index < size; index++) {
		sample.applyEvent({kind: 'request-received', request: createRequest(sample, index, {mode, requestClass: mode === 'task' ? 'deferrable' : 'normal'})});
	}

	return sample;
}

/** States measured by heap use. */
export const heapMeasures: readonly HeapMeasure[] = [
	{
		name: 'heap-instance-known', unit: 'instances', sizes: [400, 800, 1600], create: size => createSampleEntry({
			ownedPools: 0, otherPools: 75, instances: size, peers: 1,
		}), countItems: ({state}) => state.fleet.instances.size,
	},
	{
		name: 'heap-instance-owned', unit: 'instances', sizes: [400, 800, 1600], create: size => createSampleEntry({ownedPools: 8, instances: size}), countItems: ({state}) => state.fleet.instances.size,
	},
	{
		name: 'heap-pool', unit: 'pools', sizes: [25, 50, 75, 150], create: size => createSampleEntry({ownedPools: size}), countItems: ({state}) => state.fleet.owned.size,
	},
	{
		name: 'heap-service', unit: 'services', sizes: [75, 150, 300], create: size => createSampleEntry({services: size}), countItems: ({state}) => Object.keys(state.bundle.current!.services).length,
	},
	{
		name: 'heap-key', unit: 'settled keys, answer 200 B', sizes: [1000, 2000, 4000], create: createEntryWithKeys, countItems: ({state}) => state.idempotency.pools.get('pool-0')!.keys.size,
	},
	{
		name: 'heap-queued', unit: 'queued requests, body 200 B', sizes: [500, 1000, 2000], create: size => createEntryWithRequests(size, 'direct'),
		countItems: ({state}) => state.dispatch.waitingRequests.size,
	},
	{
		name: 'heap-task', unit: 'tasks, body 200 B', sizes: [250, 500, 1000], create: size => createEntryWithRequests(size, 'task'),
		countItems: ({state}) => state.tasks.pools.get('pool-0')?.pageByTask.size ?? 0,
	},
];

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function getUsedBytes(): number {
	collectGarbage();
	collectGarbage();
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
}

/** States of earlier measurements. All stay reachable until the end, because a state that is garbage collected between two readings would reduce the measured bytes. */
const retainedSamples: SampleEntry[] = [];

/** Measures the heap and array buffer bytes of one state after garbage collection. */
export function measureHeap({name, create, countItems: count}: HeapMeasure, size: number): number {
	const before = getUsedBytes();
	const sample = create(size);
	retainedSamples.push(sample);
	const bytes = getUsedBytes() - before;
	const actualCount = count(sample);
	if (actualCount !== size) {
		throw new Error(`${name}: the state contains ${actualCount} of ${size} items`);
	}

	return bytes;
}

/** Releases the measured states, so that they don't slow garbage collection in later measurements of processor time. */
export function releaseSamples(): void {
	retainedSamples.length = 0;
	collectGarbage();
}
