import {type Bundle, type BundleVerification, type SignedBundle} from '@pistachiogauge/model';

/** Configuration bundles of a run. The text is JSON and the signature a fixed word: the tests of the settings package cover signing and the INI format. */
export type VirtualBundles = {
	readonly poolNames: readonly string[];
	readonly serviceNames: readonly string[];
	createBundle(version: number, operator: string): SignedBundle;
	verifyBundle(signed: SignedBundle): BundleVerification;
	/** Returns the pool of a service, which is the same in all versions. */
	getPool(service: string): string;
	/** Returns the availability budget of a pool, which is the same in all versions. */
	getBudget(pool: string): number;
};

export type PoolOptions = {
	readonly name: string;
	readonly instanceCount: number;
	readonly budget: number;
	readonly isSpare: boolean;
};

export type ServiceOptions = {
	readonly name: string;
	readonly pool: string;
	readonly queueLimit: number;
};

const validSignature = 'valid';

/** Creates bundles with the given pools and services. */
export function createVirtualBundles(pools: readonly PoolOptions[], services: readonly ServiceOptions[]): VirtualBundles {
	const verifications = new Map<string, BundleVerification>();
	return {
		poolNames: pools.map(pool => pool.name),
		serviceNames: services.map(service => service.name),
		getPool: service => services.find(options => options.name === service)?.pool ?? '',
		getBudget: pool => pools.find(options => options.name === pool)?.budget ?? 0,
		createBundle: (version, operator) => ({
			version, text: JSON.stringify(createBundleContent(version, pools, services)), signedBy: operator, signature: validSignature,
		}),
		verifyBundle(signed) {
			if (signed.signature !== validSignature) {
				return {kind: 'invalid', reason: 'the signature does not fit the text'};
			}

			const known = verifications.get(signed.text);
			if (known !== undefined) {
				return known;
			}

			const verification: BundleVerification = {kind: 'valid', bundle: JSON.parse(signed.text) as Bundle};
			verifications.set(signed.text, verification);
			return verification;
		},
	};
}

function createBundleContent(version: number, pools: readonly PoolOptions[], services: readonly ServiceOptions[]): Bundle {
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
