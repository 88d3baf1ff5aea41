import {type Bundle, type BundleVerification, type SignedBundle} from '@pistachiogauge/model';

/** Bundles of a run. Their text is JSON, and the signature is a word: signing and the INI format are tested where they are. */
export type VirtualBundles = {
	readonly poolNames: readonly string[];
	readonly serviceNames: readonly string[];
	createBundle(version: number, operator: string): SignedBundle;
	verifyBundle(signed: SignedBundle): BundleVerification;
	/** Pool of a service; services keep their pool over all versions. */
	getPool(service: string): string;
	/** Availability budget of a pool; it is the same in all versions. */
	getBudget(pool: string): number;
};

export type PoolPlan = {
	readonly name: string;
	readonly instanceCount: number;
	readonly budget: number;
	readonly isSpare: boolean;
};

export type ServicePlan = {
	readonly name: string;
	readonly pool: string;
	readonly queueLimit: number;
};

const goodSignature = 'valid';

/** Creates the source of a run's bundles. */
export function createVirtualBundles(pools: readonly PoolPlan[], services: readonly ServicePlan[]): VirtualBundles {
	const readings = new Map<string, BundleVerification>();
	return {
		poolNames: pools.map(pool => pool.name),
		serviceNames: services.map(service => service.name),
		getPool: service => services.find(plan => plan.name === service)?.pool ?? '',
		getBudget: pool => pools.find(plan => plan.name === pool)?.budget ?? 0,
		createBundle: (version, operator) => ({
			version, text: JSON.stringify(createContent(version, pools, services)), signedBy: operator, signature: goodSignature,
		}),
		verifyBundle(signed) {
			if (signed.signature !== goodSignature) {
				return {kind: 'invalid', reason: 'the signature does not fit the text'};
			}

			const known = readings.get(signed.text);
			if (known !== undefined) {
				return known;
			}

			const reading: BundleVerification = {kind: 'valid', bundle: JSON.parse(signed.text) as Bundle};
			readings.set(signed.text, reading);
			return reading;
		},
	};
}

function createContent(version: number, pools: readonly PoolPlan[], services: readonly ServicePlan[]): Bundle {
	return {
		schemaVersion: 1,
		version,
		pools: Object.fromEntries(pools.map(({name, budget, isSpare}) => [name, {
			budget, maintenancePeriodDays: 35, isSpare, minInstances: 1, slotsPerInstance: 8,
		}])),
		services: Object.fromEntries(services.map(({name, pool, queueLimit}) => [name, {
			pool, defaultClass: 'normal', shares: {urgent: 0.5, normal: 0.35, deferrable: 0.15}, queueLimit, notExecutedStatuses: [503], defaultDeadlineMs: 8000,
		}])),
		teams: {desk: {maxInFlight: 50, weight: 1}},
	};
}
