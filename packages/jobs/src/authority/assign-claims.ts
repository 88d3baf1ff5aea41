import {type Claim, type Member} from '../model/index.js';

/** @internal */
export type AssignmentInput = {
	readonly vacant: readonly string[];
	readonly members: ReadonlyMap<string, Member>;
	readonly claims: ReadonlyMap<string, Claim>;
	/** Last holders of vacant claims. */
	readonly formerHolders: ReadonlyMap<string, Claim>;
	/** Entries that held claims last, for claims that an entry can go on with in another life. */
	readonly lastHolders: ReadonlyMap<string, {readonly node: string}>;
};

/**
Chooses a member for each vacant claim. Entries with the same view choose alike, so that they seldom race.

A former holder whose process still takes part gets its claim back, as it knows the pool. Any other claim goes to the member that has the fewest for its size.

@returns Member nodes in the order in which they should try, by claim.
@internal
*/
export function assignClaims({
	vacant, members, claims, formerHolders, lastHolders,
}: AssignmentInput): Map<string, readonly string[]> {
	const counts = new Map<string, number>([...members.keys()].map(node => [node, 0]));
	for (const {node} of claims.values()) {
		counts.set(node, (counts.get(node) ?? 0) + 1);
	}

	const assignment = new Map<string, readonly string[]>();
	for (const name of [...vacant].sort()) {
		const former = formerHolders.get(name);
		const order = [...members.values()]
			.map(member => ({
				node: member.node,
				rank: isSameProcess(member, former) || lastHolders.get(name)?.node === member.node ? -1 : ((counts.get(member.node) ?? 0) + 1) / member.weight,
			}))
			.sort((left, right) => left.rank - right.rank || compareTexts(left.node, right.node))
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

function compareTexts(left: string, right: string): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}
