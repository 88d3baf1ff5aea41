import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {type Machine, type MachineOrder} from '../model/index.js';
import {createTestMachine, createTestReport} from '../testing.test-support.js';
import {updateEvacuations} from './evacuations.js';
import {createFleetState, type FleetState, type OpenOrder} from './fleet-state.js';
import {canPrepareOrder, giveUpOrders} from './order-machines.js';

const random = createRandomSource(1);
const machine = createTestMachine('desk-1', 'desk');
const endpointId = machine.endpointId!;
const startedAt = 10_000;

function createFleet(ageMs: number, isNeeded: boolean): FleetState {
	const fleet = createFleetState(3000);
	fleet.token = 7;
	fleet.machines.set(machine.name, machine);
	fleet.inheritedOrders = new Set();
	fleet.reports.set('desk', {report: createTestReport('desk', {neededEndpoints: isNeeded ? [endpointId] : []}), seenAt: startedAt + ageMs});
	return fleet;
}

function createOrder(traits: Partial<OpenOrder>): OpenOrder {
	return {
		order: 'move', machine: machine.name, pool: 'off', wave: 0, sentAt: startedAt, firstAttemptAt: startedAt, lastAttemptAt: startedAt, isUncertain: false, endpointId, phase: 'retry', wasSeenUnavailable: false, ...traits,
	};
}

type EvacuationCase = {
	readonly name: string;
	readonly purpose: 'maintenance' | 'move';
	readonly isConfirmed: boolean;
	readonly ageMs: number;
	readonly isNeeded?: boolean;
	readonly hasOrder?: boolean;
	/** Whether the previous holder of the fleet may have ordered the machine. */
	readonly isInherited?: boolean;
	readonly isKept: boolean;
};

// Guards against endpoints that stand empty beside waiting tasks, as what they were evacuated for does not come (issue 35), and against giving one back whose machine may be ordered.
const evacuationCases: readonly EvacuationCase[] = [
	{
		name: 'a machine is to be ordered to another pool', purpose: 'move', isConfirmed: true, ageMs: 900, isKept: true,
	},
	{
		name: 'a machine has not been ordered for a second', purpose: 'move', isConfirmed: true, ageMs: 1100, isKept: false,
	},
	{
		name: 'a machine has an open order', purpose: 'move', isConfirmed: true, ageMs: 5000, isNeeded: true, hasOrder: true, isKept: true,
	},
	{
		name: 'tasks need the endpoint', purpose: 'move', isConfirmed: true, ageMs: 100, isNeeded: true, isKept: false,
	},
	{
		name: 'tasks need the endpoint while others still run there', purpose: 'move', isConfirmed: false, ageMs: 100, isNeeded: true, isKept: false,
	},
	{
		name: 'tasks need the endpoint, but the previous holder may have ordered the machine', purpose: 'move', isConfirmed: true, ageMs: 100, isNeeded: true, isInherited: true, isKept: true,
	},
	{
		name: 'a wave has reached its limit', purpose: 'maintenance', isConfirmed: true, ageMs: 10_000, isKept: true,
	},
	{
		name: 'a wave has reached its limit for a moment and tasks need the endpoint', purpose: 'maintenance', isConfirmed: true, ageMs: 1900, isNeeded: true, isKept: true,
	},
	{
		name: 'a wave has been at its limit for 2 s and tasks need the endpoint', purpose: 'maintenance', isConfirmed: true, ageMs: 2100, isNeeded: true, isKept: false,
	},
	{
		name: 'maintenance waits for a task that cannot be moved', purpose: 'maintenance', isConfirmed: false, ageMs: 5900, isNeeded: true, isKept: true,
	},
	{
		name: 'maintenance has waited for 6 s for a task that cannot be moved, and others need the endpoint', purpose: 'maintenance', isConfirmed: false, ageMs: 6100, isNeeded: true, isKept: false,
	},
];

describe('updateEvacuations', () => {
	it.each(evacuationCases)('an evacuation if $name: kept $isKept', ({purpose, isConfirmed, ageMs, isNeeded = false, hasOrder = false, isInherited = false, isKept}) => {
		const fleet = createFleet(ageMs, isNeeded);
		const now = startedAt + ageMs;
		if (isInherited) {
			fleet.ordersAllowedFrom = now + 1000;
			fleet.inheritedOrders = new Set([machine.name]);
		}

		if (hasOrder) {
			fleet.orders.set(machine.name, createOrder({phase: 'sent'}));
		}

		fleet.evacuations.set(endpointId, {
			request: {
				requestId: '7-1', pool: 'desk', endpointId, machine: machine.name, purpose, dueAt: 0,
			}, requestedAt: startedAt, ...(isConfirmed && {confirmedAt: startedAt}),
		});
		if (isConfirmed) {
			fleet.evacuatedIds.add(endpointId);
		}

		if (purpose === 'maintenance') {
			fleet.waves.set(1, {
				wave: {
					number: 1, machines: [machine.name], durationMs: 60_000, downLimit: 1,
				}, seenAt: 0, maintained: new Set(), status: 'running', hasUnwrittenStatus: false, isWritingStatus: false,
			});
		}

		const outputs = updateEvacuations({fleet}, {now, wallTime: now, random});
		expect(outputs.some(output => output.kind === 'sink' && output.effect.kind === 'withdraw-evacuation')).toBe(!isKept);
		expect(fleet.evacuations.has(endpointId)).toBe(isKept);
	});
});

type OrderCase = {
	readonly name: string;
	readonly order?: MachineOrder;
	readonly ageMs: number;
	readonly isNeeded?: boolean;
	readonly traits?: Partial<OpenOrder>;
	/** Time from the last attempt to the request of the last machine list, and what it shows of the machine. */
	readonly list?: {readonly ageMs: number; readonly machine?: Partial<Machine>};
	readonly isGivenUp: boolean;
};

// Guards against orders that hold an endpoint back for good though the machine service does not accept them (issue 35), and against using one whose machine may yet be moved.
const orderCases: readonly OrderCase[] = [
	{name: 'a move that was refused is tried again', ageMs: 2900, isGivenUp: false},
	{name: 'a move that is refused for over 3 s', ageMs: 3100, isGivenUp: true},
	{
		name: 'a move that is refused while tasks need the endpoint', ageMs: 100, isNeeded: true, isGivenUp: true,
	},
	{
		name: 'maintenance that is refused', order: 'maintain', ageMs: 9000, isGivenUp: false,
	},
	{
		name: 'maintenance that is refused while tasks need the endpoint', order: 'maintain', ageMs: 100, isNeeded: true, isGivenUp: true,
	},
	{
		name: 'a move that awaits its answer', ageMs: 9000, isNeeded: true, traits: {phase: 'sent'}, isGivenUp: false,
	},
	{
		name: 'a move that was accepted', ageMs: 9000, isNeeded: true, traits: {phase: 'accepted'}, isGivenUp: false,
	},
	{
		name: 'a move without an answer', ageMs: 9000, isNeeded: true, traits: {isUncertain: true}, isGivenUp: false,
	},
	{
		name: 'a move without an answer, and an old list shows the machine unchanged', ageMs: 9000, isNeeded: true, traits: {isUncertain: true}, list: {ageMs: 1100}, isGivenUp: false,
	},
	{
		name: 'a move without an answer, and a later list shows the machine unchanged', ageMs: 9000, isNeeded: true, traits: {isUncertain: true}, list: {ageMs: 1300}, isGivenUp: true,
	},
	{
		name: 'a move without an answer, and a later list shows the machine in its pool with another endpoint', ageMs: 1500, traits: {isUncertain: true}, list: {ageMs: 1300, machine: {endpointId: 'next'}}, isGivenUp: true,
	},
	{
		name: 'a move without an answer, and a later list shows the machine moving', ageMs: 9000, isNeeded: true, traits: {isUncertain: true}, list: {ageMs: 1300, machine: {state: 'moving'}}, isGivenUp: false,
	},
];

describe('giveUpOrders', () => {
	it.each(orderCases)('$name: given up $isGivenUp', ({order = 'move', ageMs, isNeeded = false, traits = {}, list, isGivenUp}) => {
		const fleet = createFleet(ageMs, isNeeded);
		const now = startedAt + ageMs;
		fleet.orders.set(machine.name, createOrder({order, ...traits}));
		if (list !== undefined) {
			fleet.listValidAt = startedAt + list.ageMs;
			fleet.machines.set(machine.name, {...machine, ...list.machine});
		}

		giveUpOrders(fleet, {now, wallTime: now, random});
		expect(fleet.orders.has(machine.name)).toBe(!isGivenUp);
		expect(canPrepareOrder(fleet, machine.name, now + 1900)).toBe(!isGivenUp);
		expect(canPrepareOrder(fleet, machine.name, now + 2000)).toBe(true);
	});
});
