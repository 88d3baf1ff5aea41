import {type Claim, type Member} from '../model/index.js';

/** @internal */
export type AssignmentInput = {
	readonly vacant: readonly string[];
	readonly members: ReadonlyMap<string, Member>;
	readonly claims: ReadonlyMap<string, Claim>;
	/** The last claim by each name that is now vacant. */
	readonly endedClaims: ReadonlyMap<string, Claim>;
	/** Entries that held claims last, for claims that an entry can continue after a restart. */
	readonly lastHolders: ReadonlyMap<string, {readonly node: string}>;
};

/**
Chooses a member for each vacant claim. Entries with the same view make the same choice, so that they rarely race.

A claim goes back to the process that held it last if that is still a member, as it knows the pool, or to the entry that `lastHolders` names. Otherwise it goes to the member with the fewest claims relative to its weight.

@returns Nodes of the members in the order in which they should try, by claim.
@internal
*/
export function assignClaims({
	vacant, members, claims, endedClaims, lastHolders,
}: AssignmentInput): Map<string, readonly string[]> {
	const counts = new Map<string, number>([...members.keys()].map(node => [node, 0]));
	for (const {node} of claims.values()) {
		counts.set(node, (counts.get(node) ?? 0) + 1);
	}

	const assignment = new Map<string, readonly string[]>();
	for (const name of [...vacant].sort()) {
		const endedClaim = endedClaims.get(name);
		const order = [...members.values()]
			.map(member => ({
				node: member.node,
				rank: isSameProcess(member, endedClaim) || lastHolders.get(name)?.node === member.node ? -1 : ((counts.get(member.node) ?? 0) + 1) / member.weight,
			}))
			.sort((left, right) => left.rank - right.rank || compareStrings(left.node, right.node))
			.map(({node}) => node);
		assignment.set(name, order);
		const [first] = order;
		if (first !== undefined) {
			counts.set(first, (counts.get(first) ?? 0) + 1);
		}
	}

	return assignment;
}

function isSameProcess(member: Member, claim: Claim | undefined): boolean {
	return claim?.node === member.node && claim.incarnation === member.incarnation;
}

function compareStrings(left: string, right: string): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}
