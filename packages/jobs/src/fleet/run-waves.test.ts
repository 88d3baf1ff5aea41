import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {type Machine, type PoolReport} from '../model/index.js';
import {createTestMachine, createTestReport} from '../testing.test-support.js';
import {createFleetState} from './fleet-state.js';
import {runWaves} from './run-waves.js';

const random = createRandomSource(1);
const authority = {
	node: 'entry-1', heldClaims: new Map(), validUntil: 1_000_000, isStopping: false,
};
const configuration = {
	current: {
		version: 1, queues: [], pools: [{name: 'desk', isSpare: false}, {name: 'off', isSpare: true}], limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	},
};
const durationMs = 25_000;

type Input = {
	readonly machines: readonly Machine[];
	readonly report: PoolReport;
	readonly atMs: number;
	readonly isShort?: boolean;
	/** Endpoints asked to be emptied, to be given away. */
	readonly leaving?: readonly string[];
};

/** What a wave over all machines asks for, in words: `maintain machine` and `empty endpoint`. */
function listDecisions({
	machines, report, atMs, isShort = false, leaving = [],
}: Input): string[] {
	const fleet = createFleetState(3000);
	fleet.token = 7;
	fleet.listedAt = 0;
	fleet.isShort = isShort;
	for (const machine of machines) {
		fleet.machines.set(machine.name, machine);
	}

	for (const endpointId of leaving) {
		fleet.evacuations.set(endpointId, {
			request: {
				requestId: endpointId, pool: 'desk', endpointId, machine: endpointId.replace('endpoint-of-', ''), purpose: 'move', dueAt: Number.MAX_SAFE_INTEGER,
			}, askedAt: 0,
		});
	}

	fleet.reports.set('desk', {report, seenAt: atMs});
	fleet.waves.set(1, {
		wave: {
			number: 1, machines: machines.map(({name}) => name), durationMs, downLimit: 4,
		}, seenAt: 0, maintained: new Set(), status: 'running', isBehind: false, isWriting: false,
	});
	const decisions: string[] = [];
	for (const output of runWaves({fleet, authority, configuration}, {now: atMs, wallTime: atMs, random})) {
		if (output.kind === 'sink' && output.effect.kind === 'order-machine') {
			decisions.push(`${output.effect.order} ${output.effect.machine}`);
		}

		if (output.kind === 'sink' && output.effect.kind === 'request-evacuation') {
			decisions.push(`empty ${output.effect.request.endpointId}`);
		}
	}

	return decisions;
}

const desk = [1, 2, 3].map(index => createTestMachine(`desk-${index}`, 'desk'));
const off = [1, 2].map(index => createTestMachine(`off-${index}`, 'off', {endpointId: undefined}));
const ids = desk.map(({endpointId}) => endpointId!);
const busy = createTestReport('desk', {usedMillis: 30_000, usableEndpoints: ids, releasableEndpoints: ids});

// Pattern: a wave that comes while pools have their turns of demand.
const cases: ReadonlyArray<{readonly name: string; readonly expected: readonly string[]} & Input> = [
	{
		name: 'machines that are off go at once', machines: off, report: busy, atMs: 1000, expected: ['maintain off-1', 'maintain off-2'],
	},
	{
		name: 'unless work waits for them and the wave has time', machines: off, report: busy, atMs: 1000, isShort: true, expected: [],
	},
	{
		name: 'they go all the same when the wave has not', machines: off, report: busy, atMs: 17_000, isShort: true, expected: ['maintain off-1', 'maintain off-2'],
	},
	{
		name: 'machines with work are left alone while there is time', machines: desk, report: busy, atMs: 1000, expected: [],
	},
	{
		name: 'and are emptied one after the other in the end', machines: desk, report: busy, atMs: 12_000, expected: ['empty endpoint-of-desk-1'],
	},
	{
		// Guards against machines with long-running tasks that were left to the end of a wave, when the holder changed.
		name: 'one that runs nothing but long-running tasks is emptied while no work waits', machines: desk, report: {...busy, servingEndpoints: [ids[1]!]}, atMs: 1000, expected: ['empty endpoint-of-desk-2'],
	},
	{
		// Guards against machines on their way out of a pool that kept others from being maintained.
		name: 'machines that are to be given away do not count', machines: desk, report: {...busy, idleEndpoints: [ids[2]!]}, atMs: 1000, leaving: [ids[0]!], expected: ['empty endpoint-of-desk-3'],
	},
];

describe('runWaves', () => {
	it.each(cases)('$name', ({expected, ...input}) => {
		expect(listDecisions(input)).toEqual(expected);
	});
});
