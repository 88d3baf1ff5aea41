import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {type JobEventOf, type Machine} from '../model/index.js';
import {createTestMachine, createTestReport} from '../testing.test-support.js';
import {balancePools} from './balance-pools.js';
import {createFleetState} from './fleet-state.js';
import {expireOrders, handleOrderAnswer, updateFromMachineList} from './order-machines.js';

const random = createRandomSource(1);
const configuration = {
	current: {
		version: 1, queues: [], pools: [{name: 'desk', isSpare: false}, {name: 'off', isSpare: true}], limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	},
};
const authority = {
	node: 'entry-1', heldClaims: new Map(), validUntil: 1_000_000, wallValidUntil: 1_000_000, isStopping: false,
};
const desk = createTestMachine('desk-1', 'desk');
const off = createTestMachine('off-1', 'off', {endpointId: undefined});

type Case = {
	readonly name: string;
	/** Answer of the machine service 100 ms after the move was sent; undefined for none. */
	readonly result: JobEventOf<'machine-order-answered'>['result'] | undefined;
	/** The moved machine in the list that is read 500 ms after the move was sent. */
	readonly listed: Partial<Machine>;
	/** Number of moves sent in the 4 s after the first. */
	readonly repeats: number;
	readonly isOrderOpen: boolean;
};

// Guards against a machine that stays neither usable nor ordered for good, because the answer to its move was lost or was no final one.
const cases: readonly Case[] = [
	{
		name: 'no answer, and the machine has not moved', result: undefined, listed: {}, repeats: 1, isOrderOpen: true,
	},
	{
		name: 'an answer was lost', result: 'unknown', listed: {}, repeats: 1, isOrderOpen: true,
	},
	{
		name: 'the service took no more calls', result: 'limited', listed: {}, repeats: 1, isOrderOpen: true,
	},
	{
		name: 'an answer was lost, but the machine list shows the machine on its way', result: 'unknown', listed: {pool: 'desk', state: 'moving'}, repeats: 0, isOrderOpen: true,
	},
	{
		name: 'an answer was lost, but the machine list shows that the machine has arrived', result: 'unknown', listed: {pool: 'desk', endpointId: 'new'}, repeats: 0, isOrderOpen: false,
	},
	{
		// Guards against a move that was prepared on one endpoint of a machine and ends the tasks of the next one.
		name: 'an answer was lost, and the machine has crashed and is back with another endpoint', result: 'unknown', listed: {endpointId: 'next'}, repeats: 0, isOrderOpen: true,
	},
	{
		name: 'the machine is unavailable for another reason', result: 'busy', listed: {state: 'maintenance'}, repeats: 0, isOrderOpen: true,
	},
];

describe('a move without a final answer', () => {
	it.each(cases)('is sent again only while it is open: $name', ({result, listed, repeats, isOrderOpen}) => {
		const fleet = createFleetState(3000);
		fleet.token = 7;
		fleet.listedAt = 0;
		fleet.machines.set(desk.name, desk);
		fleet.machines.set(off.name, off);
		let sentCount = 0;
		const balance = (now: number) => {
			fleet.reports.set('desk', {
				report: createTestReport('desk', {
					hasWork: true, usedMillis: 16_000, backlogMillis: 20_000, neededMillis: 36_000, usableEndpoints: [desk.endpointId!],
				}), seenAt: now,
			});
			const outputs = balancePools({fleet, authority, configuration}, {now, wallTime: now, random});
			sentCount += outputs.filter(output => output.kind === 'sink' && output.effect.kind === 'order-machine' && output.effect.machine === off.name).length;
		};

		balance(5000);
		if (result !== undefined) {
			handleOrderAnswer(fleet, {
				kind: 'machine-order-answered', machine: off.name, order: 'move', result,
			}, {now: 5100, wallTime: 5100, random});
		}

		for (let now = 5500; now <= 6800; now += 100) {
			const machines = [desk, {...off, ...listed}];
			updateFromMachineList(fleet, machines, {now, wallTime: now, random});
			for (const machine of machines) {
				fleet.machines.set(machine.name, machine);
			}

			expireOrders(fleet, now);
			balance(now);
		}

		expect(sentCount - 1).toBe(repeats);
		expect(fleet.orders.has(off.name)).toBe(isOrderOpen);
	});
});
