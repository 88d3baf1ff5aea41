import {type Configuration} from '@pistachiogauge/jobs';

/** Creates a configuration with a queue `jobs-POOL` for each pool. */
export function createConfiguration(pools: readonly string[]): Configuration {
	return {
		version: 1,
		queues: pools.map(pool => ({
			name: `jobs-${pool}`, host: 'jobs.example', prefix: `/${pool}/`, pool, priority: 0, attempts: 2, stretch: 1.6, latencyTargetMs: 600, advice: undefined,
		})),
		pools: pools.map(name => ({name, isSpare: false})),
		limits: {
			headerBytes: 16_384, bodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	};
}
