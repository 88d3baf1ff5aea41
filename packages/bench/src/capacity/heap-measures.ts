import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {
	createRequest, createSampleEntry, getPoolName, type SampleEntry,
} from './sample-entry.js';

/** State whose heap is measured by its number. */
export type HeapMeasure = {
	readonly name: string;
	readonly unit: string;
	readonly sizes: readonly number[];
	readonly create: (size: number) => SampleEntry;
	/** Number of things that the state really holds, so that a refused one is not counted. */
	readonly count: (sample: SampleEntry) => number;
};

/** Runs keyed requests to their end at an owner without standby. */
function fillKeys(size: number): SampleEntry {
	const sample = createSampleEntry({instances: 1});
	for (let index = 0; index < size; index++) {
		for (const effect of sample.send({kind: 'request-received', request: createRequest(sample, index, {isIdempotent: false})})) {
			if (effect.kind === 'send-endpoint') {
				sample.send({
					kind: 'endpoint-answered', attemptId: effect.attemptId, status: 200, headers: [], body: new Uint8Array(200),
				});
			}
		}
	}

	return sample;
}

function fillRequests(size: number, mode: 'direct' | 'task'): SampleEntry {
	const sample = createSampleEntry();
	if (mode === 'task') {
		// Loads the pool's task pages, which are empty.
		sample.send({kind: 'store-reached'});
		sample.send({kind: 'pool-acquired', pool: getPoolName(0), wasStandby: false});
		sample.send({kind: 'tick'});
	}

	for (let index = 0; index < size; index++) {
		sample.send({kind: 'request-received', request: createRequest(sample, index, {mode, requestClass: mode === 'task' ? 'deferrable' : 'normal'})});
	}

	return sample;
}

/** States measured by heap. */
export const heapMeasures: readonly HeapMeasure[] = [
	{
		name: 'heap-instance-known', unit: 'instances', sizes: [400, 800, 1600], create: size => createSampleEntry({
			ownedPools: 0, otherPools: 75, instances: size, peers: 1,
		}), count: ({state}) => state.fleet.instances.size,
	},
	{
		name: 'heap-instance-owned', unit: 'instances', sizes: [400, 800, 1600], create: size => createSampleEntry({ownedPools: 8, instances: size}), count: ({state}) => state.fleet.instances.size,
	},
	{
		name: 'heap-pool', unit: 'pools', sizes: [25, 50, 75, 150], create: size => createSampleEntry({ownedPools: size}), count: ({state}) => state.fleet.owned.size,
	},
	{
		name: 'heap-service', unit: 'services', sizes: [75, 150, 300], create: size => createSampleEntry({services: size}), count: ({state}) => Object.keys(state.bundle.current!.services).length,
	},
	{
		name: 'heap-key', unit: 'settled keys, answer 200 B', sizes: [1000, 2000, 4000], create: fillKeys, count: ({state}) => state.idempotency.pools.get('pool-0')!.keys.size,
	},
	{
		name: 'heap-queued', unit: 'queued requests, body 200 B', sizes: [500, 1000, 2000], create: size => fillRequests(size, 'direct'), count: ({state}) => state.dispatch.waitingRequests.size,
	},
	{
		name: 'heap-task', unit: 'tasks, body 200 B', sizes: [250, 500, 1000], create: size => fillRequests(size, 'task'), count: ({state}) => state.tasks.pools.get('pool-0')?.pageByTask.size ?? 0,
	},
];

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

function getUsedBytes(): number {
	collect();
	collect();
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
}

/** States of earlier runs. One that is collected between two readings would reduce the measured bytes, so all are kept until the end. */
const keptSamples: SampleEntry[] = [];

/** Measures the bytes of one state after collection. */
export function measureHeap({name, create, count}: HeapMeasure, size: number): number {
	const before = getUsedBytes();
	const sample = create(size);
	keptSamples.push(sample);
	const bytes = getUsedBytes() - before;
	const held = count(sample);
	if (held !== size) {
		throw new Error(`${name}: the state holds ${held} of ${size}`);
	}

	return bytes;
}

/** Gives the measured states free, so that they do not burden later measurements of processor time. */
export function releaseSamples(): void {
	keptSamples.length = 0;
	collect();
}
