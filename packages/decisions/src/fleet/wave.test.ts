import {describe, expect, it} from 'vitest';
import {type Permit, type Wave} from '@pistachiogauge/model';
import {type PoolMember, type PoolView} from './pool-view.js';
import {advanceWave, describePlan, planWave} from './wave.js';

const dayMs = 86_400_000;
const now = 100 * dayMs;
const running: Wave = {
	id: 'w', state: 'running', startedAt: now, done: [],
};
const maintenance: Permit = {
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

const six = ['a', 'b', 'c', 'd', 'e', 'f'].map((id, index) => createMember(id, index % 2 === 0 ? 'y1' : 'x1'));
const outMembers = (out: PoolMember['outOfServiceReason'], ids: readonly string[]) => six.map(member => ids.includes(member.id) ? {...member, outOfServiceReason: out} : member);

const cases = [
	{
		// Guards against a wave that spreads over racks and zones instead of finishing one after the other.
		name: 'takes the first rack up to the budget', view: createView(six, running), permits: ['b', 'd'], state: 'running',
	},
	{
		// Guards against a wave that exceeds the budget together with an operator's drain.
		name: 'counts other permits', view: createView(outMembers('draining', ['a']), running, {a: {...maintenance, reason: 'operator-drain'}}), permits: ['a', 'b'], state: 'running',
	},
	{
		// Guards against a wave that goes on while instances fail, perhaps because of it.
		name: 'holds while an instance has failed', view: createView(outMembers('failed', ['f']), running), permits: [], state: 'running',
	},
	{
		name: 'holds while an instance is unknown', view: createView(outMembers('unknown', ['f']), running), permits: [], state: 'running',
	},
	{
		name: 'holds while the store is out', view: createView(six, running, {}, false), permits: [], state: 'running',
	},
	{
		name: 'takes nothing when paused', view: createView(six, {...running, state: 'paused'}), permits: [], state: 'paused',
	},
	{
		name: 'skips what is done', view: createView(six, {...running, done: ['b', 'd', 'f', 'a']}), permits: ['c', 'e'], state: 'running',
	},
	{
		// Guards against a wave that is reported as done while its last instance reboots.
		name: 'is not done while an instance is out',
		view: createView(outMembers('rebooting', ['a']), {...running, done: ['b', 'c', 'd', 'e', 'f']}, {a: maintenance}),
		permits: ['a'],
		state: 'running',
	},
	{
		name: 'ends when all are done', view: createView(six, {...running, done: ['a', 'b', 'c', 'd', 'e', 'f']}), permits: [], state: 'done',
	},
	{
		// Guards against instances that no one maintains because no operator starts a wave.
		name: 'begins by itself near the end of a period', view: createView([...six, createMember('g', 'z1', {maintainedAt: now - (32 * dayMs)})]), permits: ['g'], state: 'running',
	},
	{
		name: 'does not begin early', view: createView([...six, createMember('g', 'z1', {maintainedAt: now - (31 * dayMs)})]), permits: [], state: undefined,
	},
	{
		name: 'does not begin for an instance without a known time', view: createView([createMember('g', 'z1', {maintainedAt: 0})]), permits: [], state: undefined,
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
	it('groups by zone and rack and leaves out instances that leave', () => {
		const leaving = createMember('g', 'x1');
		const plan = planWave(createView([...six, {...leaving, listed: {...leaving.listed!, state: 'leaving'}}]), running);
		expect(describePlan(plan)).toEqual([
			{zone: 'x', rack: 'x1', instances: ['b', 'd', 'f']},
			{zone: 'y', rack: 'y1', instances: ['a', 'c', 'e']},
		]);
	});
});
