import {type ClientAccount, type Configuration} from '@pistachiogauge/jobs';
import {virtualAdvicePolicy} from './virtual-advice-service.js';
import {sparePool} from './virtual-machine-service.js';

export type ConfigurationOptions = {
	/** Whether there is a pool of machines that are switched off. */
	readonly hasSparePool?: boolean;
	/** With accounts, the queues `jobs-POOL` need a key, and there is a public queue `open-POOL` for each pool. */
	readonly accounts?: readonly ClientAccount[] | undefined;
	readonly version?: number;
	/** Pools of queues that do not belong to the one in their name, by queue; undefined for a queue that is removed. */
	readonly changedPools?: ReadonlyMap<string, string | undefined>;
};

const commonQueue = {
	host: 'jobs.example', priority: 0, attempts: 2, stretch: 1.6, latencyTargetMs: 600,
} as const;

/** Creates a configuration with a queue `jobs-POOL` for each pool, and one `advised-POOL` that requires advice. */
export function createConfiguration(pools: readonly string[], {hasSparePool = false, accounts, version = 1, changedPools = new Map()}: ConfigurationOptions = {}): Configuration {
	const queues = pools.flatMap(pool => [
		{
			...commonQueue, name: `jobs-${pool}`, prefix: `/${pool}/`, pool, advice: undefined, isPublic: accounts === undefined,
		},
		{
			...commonQueue, name: `advised-${pool}`, prefix: `/advised/${pool}/`, pool, advice: virtualAdvicePolicy, isPublic: true,
		},
		...(accounts === undefined
			? []
			: [{
				...commonQueue, name: `open-${pool}`, prefix: `/open/${pool}/`, pool, advice: undefined, isPublic: true,
			}]),
	]);
	return {
		version,
		queues: queues.flatMap(queue => {
			const pool = changedPools.has(queue.name) ? changedPools.get(queue.name) : queue.pool;
			return pool === undefined ? [] : [{...queue, pool}];
		}),
		pools: [...pools.map(name => ({name, isSpare: false})), ...(hasSparePool ? [{name: sparePool, isSpare: true}] : [])],
		accounts,
		limits: {
			headerBytes: 16_384, bodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	};
}
