import {describe, expect, it} from 'vitest';
import {type Claim, type Member} from '../model/index.js';
import {assignClaims} from './assign-claims.js';

function createMembers(weights: Readonly<Record<string, number>>): Map<string, Member> {
	return new Map(Object.entries(weights).map(([node, weight]) => [node, {node, incarnation: `life-of-${node}`, weight}]));
}

function createClaim(name: string, node: string, incarnation = `life-of-${node}`): [string, Claim] {
	return [name, {
		name, node, incarnation, token: 1,
	}];
}

type Case = {
	readonly name: string;
	readonly members: Readonly<Record<string, number>>;
	readonly vacant: readonly string[];
	readonly held?: ReadonlyArray<[string, Claim]>;
	readonly last?: Readonly<Record<string, string>>;
	readonly former?: ReadonlyArray<[string, Claim]>;
	/** Who is first in line, by claim. */
	readonly expected: Readonly<Record<string, string | undefined>>;
};

const cases: readonly Case[] = [
	{
		name: 'spreads claims over equal members', members: {a: 1, b: 1, c: 1}, vacant: ['p1', 'p2', 'p3'], expected: {p1: 'a', p2: 'b', p3: 'c'},
	},
	{
		name: 'gives a larger member more', members: {a: 1, b: 4}, vacant: ['p1', 'p2', 'p3'], expected: {p1: 'b', p2: 'b', p3: 'b'},
	},
	{
		name: 'leaves out members that hold enough', members: {a: 1, b: 1}, vacant: ['p2'], held: [createClaim('p1', 'a')], expected: {p2: 'b'},
	},
	// After an outage all leases have lapsed at once; owners that live go on without a change.
	{
		name: 'gives a claim back to the process that had it', members: {a: 1, b: 1}, vacant: ['p1'], held: [createClaim('p2', 'b'), createClaim('p3', 'b')], former: [createClaim('p1', 'b')], expected: {p1: 'b'},
	},
	{
		name: 'treats a restarted process as another', members: {a: 1, b: 1}, vacant: ['p1'], former: [createClaim('p1', 'b', 'former-life')], expected: {p1: 'a'},
	},
	{
		// After a loss of power of all entries, the one that ordered machines before goes on without waiting for its own orders to be over.
		name: 'gives a claim back to the entry that held it last', members: {a: 1, b: 1}, vacant: ['p1'], last: {p1: 'b'}, expected: {p1: 'b'},
	},
	{
		name: 'leaves out a last holder that is not there', members: {a: 1, b: 1}, vacant: ['p1'], last: {p1: 'c'}, expected: {p1: 'a'},
	},
	{
		name: 'names nobody without members', members: {}, vacant: ['p1'], expected: {p1: undefined},
	},
];

describe('assignClaims', () => {
	it.each(cases)('$name', ({members, vacant, held = [], former = [], last = {}, expected}) => {
		const assignment = assignClaims({
			vacant, members: createMembers(members), claims: new Map(held), formerHolders: new Map(former), lastHolders: new Map(Object.entries(last).map(([name, node]) => [name, {node}])),
		});
		expect(Object.fromEntries([...assignment].map(([name, order]) => [name, order[0]]))).toEqual(expected);
	});
});
