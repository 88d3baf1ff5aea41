import {describe, expect, it} from 'vitest';
import {type Claim, type Member} from '../model/index.js';
import {assignClaims} from './assign-claims.js';

function createMembers(weights: Readonly<Record<string, number>>): Map<string, Member> {
	return new Map(Object.entries(weights).map(([node, weight]) => [node, {node, incarnation: `process-of-${node}`, weight}]));
}

function createClaim(name: string, node: string, incarnation = `process-of-${node}`): [string, Claim] {
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
	readonly ended?: ReadonlyArray<[string, Claim]>;
	/** The member that tries first, by claim. */
	readonly expected: Readonly<Record<string, string | undefined>>;
};

const cases: readonly Case[] = [
	{
		name: 'spreads claims evenly over members of the same weight', members: {a: 1, b: 1, c: 1}, vacant: ['p1', 'p2', 'p3'], expected: {p1: 'a', p2: 'b', p3: 'c'},
	},
	{
		name: 'gives more claims to a member with a larger weight', members: {a: 1, b: 4}, vacant: ['p1', 'p2', 'p3'], expected: {p1: 'b', p2: 'b', p3: 'b'},
	},
	{
		name: 'passes over members that hold more claims', members: {a: 1, b: 1}, vacant: ['p2'], held: [createClaim('p1', 'a')], expected: {p2: 'b'},
	},
	// After a store outage all leases expire at the same time. Owners that are still running then keep their pools.
	{
		name: 'gives a claim back to the process that held it', members: {a: 1, b: 1}, vacant: ['p1'], held: [createClaim('p2', 'b'), createClaim('p3', 'b')], ended: [createClaim('p1', 'b')], expected: {p1: 'b'},
	},
	{
		name: 'does not give a claim back to a restarted process', members: {a: 1, b: 1}, vacant: ['p1'], ended: [createClaim('p1', 'b', 'earlier-process')], expected: {p1: 'a'},
	},
	{
		// After all entries have lost power, the one that ordered machines before need not wait until its own earlier orders are over.
		name: 'gives a claim back to the entry that held it last', members: {a: 1, b: 1}, vacant: ['p1'], last: {p1: 'b'}, expected: {p1: 'b'},
	},
	{
		name: 'ignores a last holder that is not a member', members: {a: 1, b: 1}, vacant: ['p1'], last: {p1: 'c'}, expected: {p1: 'a'},
	},
	{
		name: 'chooses nobody if there are no members', members: {}, vacant: ['p1'], expected: {p1: undefined},
	},
];

describe('assignClaims', () => {
	it.each(cases)('$name', ({members, vacant, held = [], ended = [], last = {}, expected}) => {
		const assignment = assignClaims({
			vacant, members: createMembers(members), claims: new Map(held), endedClaims: new Map(ended), lastHolders: new Map(Object.entries(last).map(([name, node]) => [name, {node}])),
		});
		expect(Object.fromEntries([...assignment].map(([name, order]) => [name, order[0]]))).toEqual(expected);
	});
});
