import {type Configuration} from '@pistachiogauge/jobs';
import {virtualAdvicePolicy} from './virtual-advice-service.js';
import {sparePool} from './virtual-machine-service.js';

const commonQueue = {
	host: 'jobs.example', priority: 0, attempts: 2, stretch: 1.6, latencyTargetMs: 600, isPublic: true,
} as const;

/** Creates a configuration with a queue `jobs-POOL` for each pool, and one `advised-POOL` that requires advice; machines of the spare pool, if there is one, are switched off. */
export function createConfiguration(pools: readonly string[], hasSparePool = false): Configuration {
	return {
		version: 1,
		queues: pools.flatMap(pool => [
			{
				...commonQueue, name: `jobs-${pool}`, prefix: `/${pool}/`, pool, advice: undefined,
			},
			{
				...commonQueue, name: `advised-${pool}`, prefix: `/advised/${pool}/`, pool, advice: virtualAdvicePolicy,
			},
		]),
		pools: [...pools.map(name => ({name, isSpare: false})), ...(hasSparePool ? [{name: sparePool, isSpare: true}] : [])],
		limits: {
			headerBytes: 16_384, bodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	};
}
