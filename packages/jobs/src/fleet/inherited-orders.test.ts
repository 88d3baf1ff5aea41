import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {createTestMachine} from '../testing.test-support.js';
import {createFleetState} from './fleet-state.js';
import {runWaves} from './run-waves.js';

const random = createRandomSource(1);
const authority = {
	node: 'entry-1', heldClaims: new Map(), validUntil: 1_000_000, wallValidUntil: 1_000_000, isStopping: false,
};
const configuration = {
	current: {
		version: 1, queues: [], pools: [{name: 'off', isSpare: true}], limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	},
};
/** Time after a change of the holder for which orders of the previous one may still be carried out. */
const inheritedUntil = 3300;
const downLimit = 2;

/** Lists the machines that a new holder orders into maintenance in a wave over four machines, all of them shown as up. */
function listOrderedMachines({inherited, atMs}: {readonly inherited: readonly string[]; readonly atMs: number}): string[] {
	const fleet = createFleetState(3000);
	fleet.token = 7;
	fleet.listedAt = 0;
	fleet.ordersAllowedFrom = inheritedUntil;
	fleet.inheritedUntil = inheritedUntil;
	fleet.inheritedOrders = new Set(inherited);
	const names = ['off-1', 'off-2', 'off-3', 'off-4'];
	for (const name of names) {
		fleet.machines.set(name, createTestMachine(name, 'off', {endpointId: undefined}));
	}

	fleet.waves.set(1, {
		wave: {
			number: 1, machines: names, durationMs: 25_000, downLimit,
		}, seenAt: 0, maintained: new Set(), status: 'running', hasUnwrittenStatus: false, isWritingStatus: false,
	});
	return runWaves({fleet, authority, configuration}, {now: atMs, wallTime: atMs, random})
		.flatMap(output => output.kind === 'sink' && output.effect.kind === 'order-machine' ? [output.effect.machine] : []);
}

// Guards against more machines in maintenance at once than a wave allows: the previous holder's last orders may be carried out after a new holder has read the list of machines.
const cases = [
	{
		name: 'none', inherited: [], atMs: 500, expected: ['off-1', 'off-2'],
	},
	{
		name: 'one', inherited: ['off-1'], atMs: 500, expected: ['off-2'],
	},
	{
		name: 'as many as the wave allows', inherited: ['off-1', 'off-2'], atMs: 500, expected: [],
	},
	{
		name: 'as many as the wave allows, but too long ago', inherited: [], atMs: inheritedUntil + 100, expected: ['off-1', 'off-2'],
	},
] as const;

describe('a new holder of the fleet', () => {
	it.each(cases)('orders $expected into maintenance if the previous holder has ordered $name', ({inherited, atMs, expected}) => {
		expect(listOrderedMachines({inherited, atMs})).toEqual(expected);
	});
});
