import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {createTestMachine, createTestReport} from '../testing.test-support.js';
import {recordDemandHistory} from './demand-history.js';
import {createFleetState} from './fleet-state.js';

const machineMillis = 16_000;
const machines = ['a', 'b', 'c', 'd'].map(name => createTestMachine(name, 'desk'));
const context = {now: 0, wallTime: 0, random: createRandomSource(1)};

// Guards against a pool that gives up its reserve although its first burst is still to come.
const cases = [
	{
		name: 'a demand of half of the assigned machines', usedMillis: 32_000, usableCount: 4, hasPeaked: true,
	},
	{
		name: 'a lower demand', usedMillis: 20_000, usableCount: 4, hasPeaked: false,
	},
	{
		name: 'a lower demand after a takeover, while few endpoints have answered', usedMillis: 20_000, usableCount: 1, hasPeaked: false,
	},
	{
		name: 'a burst after a takeover', usedMillis: 40_000, usableCount: 1, hasPeaked: true,
	},
] as const;

describe('recordDemandHistory', () => {
	it.each(cases)('takes $name for a first burst: $hasPeaked', ({usedMillis, usableCount, hasPeaked}) => {
		const fleet = createFleetState(3000);
		fleet.demandHistory.set('desk', {
			pool: 'desk', assignedMachines: machines.length, since: 0, hasPeaked: false,
		});
		const capacityMillis = usableCount * machineMillis;
		recordDemandHistory(fleet, [{
			pool: 'desk', report: createTestReport('desk', {hasWork: true, usedMillis}), machines, arrivingCount: 0, incomingCount: 0, machineMillis, capacityMillis, presentMillis: capacityMillis, wantedMillis: 0,
		}], context);
		expect(fleet.demandHistory.get('desk')?.hasPeaked).toBe(hasPeaked);
	});
});
