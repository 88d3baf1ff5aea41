import {type Bundle} from '@pistachiogauge/model';

/** Creates a bundle with one pool for each pool that a service names. */
export function createTestBundle(version: number, services: Readonly<Record<string, string>>): Bundle {
	const pools = new Set(Object.values(services));
	return {
		schemaVersion: 1,
		version,
		pools: Object.fromEntries([...pools].map(pool => [pool, {
			budget: 1, maintenancePeriodDays: 35, isSpare: false, minInstances: 1, slotsPerInstance: 8,
		}])),
		services: Object.fromEntries(Object.entries(services).map(([service, pool]) => [service, {
			pool, defaultClass: 'normal', shares: {urgent: 0.5, normal: 0.3, deferrable: 0.2}, queueLimit: 1000, notExecutedStatuses: [503], defaultDeadlineMs: 10_000,
		}])),
		teams: {},
	};
}
