import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {type Machine} from '../model/index.js';
import {createTestMachine} from '../testing.test-support.js';
import {createFleetState, type OpenOrder} from './fleet-state.js';
import {updateFromMachineList} from './order-machines.js';

const random = createRandomSource(1);
const acceptedAt = 2000;

/** Creates a fleet with one maintenance order, sent after 1 s. */
function createFleet(order: Partial<OpenOrder>) {
	const fleet = createFleetState(3000);
	const machine = createTestMachine('desk-1', 'desk');
	fleet.token = 7;
	fleet.listedAt = 0;
	fleet.machines.set(machine.name, machine);
	fleet.orders.set(machine.name, {
		order: 'maintain', machine: machine.name, pool: 'desk', wave: 1, sentAt: acceptedAt, firstAttemptAt: 1000, lastAttemptAt: 1000, isUncertain: false, endpointId: machine.endpointId, phase: 'accepted', wasSeenUnavailable: false, ...order,
	});
	return {fleet, machine};
}

// Guards against a machine that counts as back while it is down, by a list that was requested before its order was carried out.
const completions: ReadonlyArray<{readonly name: string; readonly listed: Partial<Machine>; readonly requestedAt: number; readonly wasSeenUnavailable?: boolean; readonly isComplete: boolean}> = [
	{
		name: 'an earlier list that shows another endpoint', listed: {endpointId: 'restarted'}, requestedAt: 1900, isComplete: false,
	},
	{
		name: 'a later list that shows another endpoint', listed: {endpointId: 'restarted'}, requestedAt: 2100, isComplete: true,
	},
	{
		name: 'an earlier list that shows the machine as moving', listed: {state: 'moving'}, requestedAt: 1900, isComplete: false,
	},
	{
		name: 'a later list that shows the machine as it was', listed: {}, requestedAt: 2100, isComplete: false,
	},
	{
		name: 'a later list that shows the machine as back', listed: {}, requestedAt: 2100, wasSeenUnavailable: true, isComplete: true,
	},
];

describe('an accepted maintenance order', () => {
	it.each(completions)('is complete by $name: $isComplete', ({
		listed, requestedAt, wasSeenUnavailable = false, isComplete,
	}) => {
		const {fleet, machine} = createFleet({wasSeenUnavailable});
		fleet.listValidAt = requestedAt;
		updateFromMachineList(fleet, [{...machine, ...listed}], {now: 2200, wallTime: 2200, random});
		expect(fleet.orders.has(machine.name)).toBe(!isComplete);
		expect(fleet.orders.get(machine.name)?.wasSeenUnavailable ?? wasSeenUnavailable).toBe(wasSeenUnavailable);
	});
});
