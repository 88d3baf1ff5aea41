import {type ServiceCoverage} from '@pistachiogauge/model';
import {type EntryState} from '../entry-state.js';

/**
Records which services a new bundle has moved to another pool.

Only the owner of the former pool knows the earlier keys of such a service, so the new pool's coverage of the service begins later.

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

/** Starts the coverage of moved services once every member has applied the bundle, so that none passes their requests to the former pool any more. @internal */
export function startServiceCoverage(state: EntryState): void {
	const {serviceMoves, bundleVersions, latestWallTime} = state.idempotency;
	const {membership, config} = state;
	for (const move of serviceMoves.values()) {
		if (move.since !== undefined) {
			continue;
		}

		const members = membership.record?.members ?? [];
		const isApplied = members.every(({id}) => id === config.id || membership.departed.has(id) || (bundleVersions.get(id) ?? 0) >= move.version);
		if (isApplied) {
			// The former pool's owner has checked keys by its own clock, which may have been ahead.
			move.since = latestWallTime + config.timings.clockSkewMs;
		}
	}
}

/** Merges another entry's coverage of moved services; an entry that joined after a move does not know of it. @internal */
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
