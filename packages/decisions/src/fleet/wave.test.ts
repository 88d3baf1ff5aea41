import {describe, expect, it} from 'vitest';
import {type Permit, type Wave} from '@pistachiogauge/model';
import {type PoolMember, type PoolView} from './pool-view.js';
import {advanceWave, describePlan, planWave} from './wave.js';

const dayMs = 86_400_000;
const now = 100 * dayMs;
const runningWave: Wave = {
	id: 'w', state: 'running', startedAt: now, done: [],
};
const maintenancePermit: Permit = {
	reason: 'maintenance', stage: 'rebooting', since: now, by: 'w',
};

function createMember(id: string, rack: string, options: Partial<PoolMember> = {}): PoolMember {
	return {
		id,
		listed: {
			id, address: '127.0.0.1:1', zone: rack.slice(0, 1), rack, pool: 'p', state: 'live',
		},
		outOfServiceReason: undefined,
		maintainedAt: now - (10 * dayMs),
		...options,
	};
}

function createView(members: readonly PoolMember[], wave?: Wave, permits: Readonly<Record<string, Permit>> = {}, isStoreReached = true): PoolView {
	return {
		pool: 'p',
		declaration: {
			budget: 2, maintenancePeriodDays: 35, isSpare: false, minInstances: 1, slotsPerInstance: 8,
		},
		record: {
			ownerEpoch: 1, owner: 'x', permits, maintained: {}, wave,
		},
		members,
		isStoreReached,
	};
}

const sixMembers = ['a', 'b', 'c', 'd', 'e', 'f'].map((id, index) => createMember(id, index % 2 === 0 ? 'y1' : 'x1'));
const setOutOfService = (outOfServiceReason: PoolMember['outOfServiceReason'], ids: readonly string[]) => sixMembers.map(member => ids.includes(member.id) ? {...member, outOfServiceReason} : member);

const cases = [
	{
		// Guards against a wave that spreads over racks and zones instead of finishing one after another.
		name: 'takes the first rack up to the budget', view: createView(sixMembers, runningWave), permits: ['b', 'd'], state: 'running',
	},
	{
		// Guards against a wave that exceeds the budget together with an operator's drain.
		name: 'counts other permits', view: createView(setOutOfService('draining', ['a']), runningWave, {a: {...maintenancePermit, reason: 'operator-drain'}}), permits: ['a', 'b'], state: 'running',
	},
	{
		// Guards against a wave that continues while instances fail, possibly because of the wave.
		name: 'holds while an instance has failed', view: createView(setOutOfService('failed', ['f']), runningWave), permits: [], state: 'running',
	},
	{
		name: 'holds while an instance is unknown', view: createView(setOutOfService('unknown', ['f']), runningWave), permits: [], state: 'running',
	},
	{
		name: 'holds while the store is not reached', view: createView(sixMembers, runningWave, {}, false), permits: [], state: 'running',
	},
	{
		name: 'adds no permits when paused', view: createView(sixMembers, {...runningWave, state: 'paused'}), permits: [], state: 'paused',
	},
	{
		name: 'skips instances that are done', view: createView(sixMembers, {...runningWave, done: ['b', 'd', 'f', 'a']}), permits: ['c', 'e'], state: 'running',
	},
	{
		// Guards against a wave that is reported as done while its last instance reboots.
		name: 'is not done while an instance is out of service',
		view: createView(setOutOfService('rebooting', ['a']), {...runningWave, done: ['b', 'c', 'd', 'e', 'f']}, {a: maintenancePermit}),
		permits: ['a'],
		state: 'running',
	},
	{
		name: 'ends when all are done', view: createView(sixMembers, {...runningWave, done: ['a', 'b', 'c', 'd', 'e', 'f']}), permits: [], state: 'done',
	},
	{
		// Guards against instances that are never maintained because no operator starts a wave.
		name: 'starts automatically near the end of a maintenance period',
		view: createView([...sixMembers, createMember('g', 'z1', {maintainedAt: now - (32 * dayMs)})]),
		permits: ['g'],
		state: 'running',
	},
	{
		name: 'does not start early', view: createView([...sixMembers, createMember('g', 'z1', {maintainedAt: now - (31 * dayMs)})]), permits: [], state: undefined,
	},
	{
		name: 'does not start for an instance without a known maintenance time', view: createView([createMember('g', 'z1', {maintainedAt: 0})]), permits: [], state: undefined,
	},
];

describe('advanceWave', () => {
	it.each(cases)('$name', ({view, permits, state}) => {
		const record = advanceWave(view, now);
		expect(Object.keys(record.permits).sort()).toEqual(permits);
		expect(record.wave?.state).toBe(state);
	});
});

describe('planWave', () => {
	it('groups by zone and rack and omits leaving instances', () => {
		const leaving = createMember('g', 'x1');
		const plan = planWave(createView([...sixMembers, {...leaving, listed: {...leaving.listed!, state: 'leaving'}}]), runningWave);
		expect(describePlan(plan)).toEqual([
			{zone: 'x', rack: 'x1', instances: ['b', 'd', 'f']},
			{zone: 'y', rack: 'y1', instances: ['a', 'c', 'e']},
		]);
	});
});
