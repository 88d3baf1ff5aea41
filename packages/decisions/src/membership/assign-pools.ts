import {createHash} from 'node:crypto';
import {
	type EntryId, type Member, type PoolAssignment, type PoolName,
} from '@pistachiogauge/model';

type Assignments = Record<PoolName, PoolAssignment>;

/**
Assigns an owner and a standby to every pool.

An owner that is still a member keeps its pools, and a lost owner is replaced by its standby. Pools move between members only when the numbers of pools that they own differ by two or more. The standby is in another availability zone than the owner if any member is.

@public
*/
export function assignPools(
	pools: readonly PoolName[],
	members: readonly Member[],
	former: Readonly<Assignments>,
): Assignments {
	const owners = chooseOwners(pools, members, former);
	balanceOwners(owners, members, former);
	return addStandbys(owners, members, former);
}

function chooseOwners(
	pools: readonly PoolName[],
	members: readonly Member[],
	former: Readonly<Assignments>,
): Map<PoolName, EntryId> {
	const memberIds = new Set(members.map(member => member.id));
	const owners = new Map<PoolName, EntryId>();
	const unassigned: PoolName[] = [];
	for (const pool of [...pools].sort((left, right) => left < right ? -1 : 1)) {
		const successor = [former[pool]?.owner, former[pool]?.standby].find(id => id !== undefined && memberIds.has(id));
		if (successor === undefined) {
			unassigned.push(pool);
			continue;
		}

		owners.set(pool, successor);
	}

	for (const pool of unassigned) {
		owners.set(pool, chooseLeastLoaded(pool, members, owners.values()));
	}

	return owners;
}

function balanceOwners(owners: Map<PoolName, EntryId>, members: readonly Member[], former: Readonly<Assignments>): void {
	for (let round = 0; round < owners.size; round++) {
		const loads = countLoads(members, owners.values());
		const ordered = [...loads.entries()].sort((left, right) => left[1] - right[1] || (left[0] < right[0] ? -1 : 1));
		const [least, most] = [ordered[0]!, ordered.at(-1)!];
		if (most[1] - least[1] < 2) {
			return;
		}

		// A pool whose owner was lost stays with its standby, which has the idempotency keys; a later epoch can move it by handover.
		const movable = [...owners].find(([pool, owner]) => owner === most[0] && (former[pool] === undefined || former[pool].owner === owner));
		if (movable === undefined) {
			return;
		}

		owners.set(movable[0], least[0]);
	}
}

function addStandbys(
	owners: ReadonlyMap<PoolName, EntryId>,
	members: readonly Member[],
	former: Readonly<Assignments>,
): Assignments {
	const byId = new Map(members.map(member => [member.id, member]));
	const assignments: Assignments = {};
	const chosen: EntryId[] = [];
	for (const [pool, owner] of owners) {
		const inOtherZones = members.filter(member => member.id !== owner && member.zone !== byId.get(owner)!.zone);
		const candidates = inOtherZones.length > 0 ? inOtherZones : members.filter(member => member.id !== owner);
		const kept = candidates.find(member => member.id === former[pool]?.standby);
		const standby = kept?.id ?? (candidates.length > 0 ? chooseLeastLoaded(pool, candidates, chosen) : undefined);
		if (standby === undefined) {
			assignments[pool] = {owner};
			continue;
		}

		chosen.push(standby);
		assignments[pool] = {owner, standby};
	}

	return assignments;
}

function chooseLeastLoaded(pool: PoolName, candidates: readonly Member[], taken: Iterable<EntryId>): EntryId {
	const loads = countLoads(candidates, taken);
	let best = candidates[0]!.id;
	for (const {id} of candidates) {
		const difference = loads.get(id)! - loads.get(best)!;
		if (difference < 0 || (difference === 0 && computeRendezvousWeight(pool, id) > computeRendezvousWeight(pool, best))) {
			best = id;
		}
	}

	return best;
}

function countLoads(members: readonly Member[], owners: Iterable<EntryId>): Map<EntryId, number> {
	const loads = new Map(members.map(member => [member.id, 0]));
	for (const owner of owners) {
		const load = loads.get(owner);
		if (load !== undefined) {
			loads.set(owner, load + 1);
		}
	}

	return loads;
}

function computeRendezvousWeight(pool: PoolName, entryId: EntryId): string {
	return createHash('sha256').update(`${pool}\n${entryId}`).digest('hex');
}
