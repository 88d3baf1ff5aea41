import {type ServiceCoverage} from '@pistachiogauge/model';
import {type EntryState} from '../entry-state.js';

/**
Notes which services a new bundle has moved to another pool.

The keys of such a service are known to the owner of its former pool only, so the new pool's coverage of it begins later.

@internal
*/
export function recordServiceMoves(state: EntryState, version: number): void {
	const {servicePools, serviceMoves} = state.idempotency;
	for (const [service, {pool}] of Object.entries(state.bundle.current?.services ?? {})) {
		const former = servicePools.get(service);
		servicePools.set(service, pool);
		if (former !== undefined && former !== pool) {
			serviceMoves.set(service, {version, since: undefined});
		}
	}
}

/** Begins the coverage of moved services once no member lets their requests run in the former pool any more. @internal */
export function settleServiceMoves(state: EntryState): void {
	const {serviceMoves, bundleVersions, latestWallTime} = state.idempotency;
	const {membership, config} = state;
	for (const move of serviceMoves.values()) {
		if (move.since !== undefined) {
			continue;
		}

		const members = membership.record?.members ?? [];
		const isApplied = members.every(({id}) => id === config.id || membership.departed.has(id) || (bundleVersions.get(id) ?? 0) >= move.version);
		if (isApplied) {
			// The former owner judged its keys by its own clock.
			move.since = latestWallTime + config.timings.clockSkewMs;
		}
	}
}

/** Takes over what another entry knows of moved services; an entry that has just joined did not see them move. @internal */
export function mergeServiceCoverage(state: EntryState, services: readonly ServiceCoverage[]): void {
	const {serviceMoves} = state.idempotency;
	for (const {service, since} of services) {
		const known = serviceMoves.get(service);
		if (known === undefined) {
			serviceMoves.set(service, {version: 0, since});
		} else if (known.since !== undefined) {
			known.since = Math.max(known.since, since);
		}
	}
}
