import {createRandomSource} from '@pistachiogauge/chain';
import {expect, it} from 'vitest';
import {createJobsState, type JobsState} from '../jobs-state.js';
import {createPoolLedger} from '../ledger/ledger-state.js';
import {type SupervisedEndpoint} from '../supervision/index.js';
import {createTestEndpoint, createTestSupervisedEndpoint} from '../testing.test-support.js';
import {countEndpointUses, updateEndpointUse} from './endpoint-use.js';
import {type EndpointUse} from './placement-state.js';

const now = 5000;
const requestEvacuation = (state: JobsState, purpose: 'move' | 'maintenance') => {
	state.evacuation.requests.set('e1', {
		requestId: 'first', pool: 'desk', endpointId: 'e1', machine: 'm1', purpose, dueAt: 0,
	});
};

type Case = {
	readonly use: EndpointUse;
	readonly traits?: Partial<SupervisedEndpoint>;
	readonly change?: (state: JobsState) => void;
	readonly isOnRoster?: boolean;
};

// Guards against logs that do not tell why an endpoint stands empty beside waiting jobs (issue 35).
const cases: readonly Case[] = [
	{use: 'usable'},
	{use: 'silent', traits: {phase: 'silent'}},
	{
		use: 'not-ready', change(state) {
			state.directory.endpoints.delete('e1');
		},
	},
	{
		use: 'evacuated-for-move', change(state) {
			requestEvacuation(state, 'move');
		},
	},
	{
		use: 'evacuated-for-maintenance', change(state) {
			requestEvacuation(state, 'maintenance');
		},
	},
	{use: 'unknown-usage', traits: {hasUnknownUsage: true}},
	{use: 'not-on-roster', isOnRoster: false},
	{use: 'paused', traits: {startsPausedUntil: now + 1}},
	{
		use: 'avoided', change(state) {
			state.observation.endpoints.set('e1', {failuresInRow: 3, avoidUntil: now + 1, slowness: 1});
		},
	},
];

it.each(cases)('the use of an endpoint is $use, with the time since it is so', ({use, traits = {}, change, isOnRoster = true}) => {
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	state.directory.endpoints.set('e1', createTestEndpoint('e1', 'desk'));
	change?.(state);
	const pool = {...createPoolLedger({pool: 'desk', token: 1, now: 0}), rosterEndpointIds: new Set(isOnRoster ? ['e1'] : [])};
	const endpoint = createTestSupervisedEndpoint('e1', 'desk', traits);
	const random = createRandomSource(1);
	expect(updateEndpointUse(state, endpoint, pool, {now, wallTime: now, random})).toBe(use);
	expect(countEndpointUses(state.placement, 'desk', now + 700)).toEqual({[use]: {count: 1, longestMs: 700}});
	expect(countEndpointUses(state.placement, 'other', now + 700)).toEqual({});
});
