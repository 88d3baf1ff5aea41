import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {type Machine, type PoolReport} from '../model/index.js';
import {createTestMachine, createTestReport} from '../testing.test-support.js';
import {createFleetState, type OpenOrder} from './fleet-state.js';
import {requestEvacuation, updateEvacuations} from './evacuations.js';
import {runWaves} from './run-waves.js';

const random = createRandomSource(1);
const authority = {
	node: 'entry-1', heldClaims: new Map(), validUntil: 1_000_000, wallValidUntil: 1_000_000, isStopping: false,
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
	readonly hasShortage?: boolean;
	/** Endpoints that are being evacuated for a move to another pool. */
	readonly leaving?: readonly string[];
	/** Orders that have been sent 2 s before, by machine: by default maintenance for this wave that may have been carried out. */
	readonly ordered?: ReadonlyMap<string, Partial<OpenOrder> & Pick<OpenOrder, 'phase'>>;
	/** Machines that this entry may have ordered before it started again 1 s ago. */
	readonly inherited?: readonly string[];
	/** When the last list of machines was requested. */
	readonly listValidAt?: number;
	readonly downLimit?: number;
};

/** Lists the decisions of a wave over all machines as text: `maintain machine` and `evacuate endpoint`. */
function listDecisions({
	machines, report, atMs, hasShortage = false, leaving = [], ordered = new Map(), inherited = [], listValidAt, downLimit = 4,
}: Input): string[] {
	const fleet = createFleetState(3000);
	fleet.token = 7;
	fleet.listedAt = 0;
	fleet.hasShortage = hasShortage;
	for (const machine of machines) {
		fleet.machines.set(machine.name, machine);
	}

	for (const endpointId of leaving) {
		fleet.evacuations.set(endpointId, {
			request: {
				requestId: endpointId, pool: 'desk', endpointId, machine: endpointId.replace('endpoint-of-', ''), purpose: 'move', dueAt: Number.MAX_SAFE_INTEGER,
			}, requestedAt: 0,
		});
	}

	for (const [machine, order] of ordered) {
		fleet.orders.set(machine, {
			order: 'maintain', machine, pool: 'off', wave: 1, sentAt: atMs - 2000, firstAttemptAt: atMs - 2000, lastAttemptAt: atMs - 2000, isUncertain: true, endpointId: undefined, wasSeenUnavailable: false, ...order,
		});
	}

	fleet.inheritedOrders = new Set(inherited);
	fleet.inheritedUntil = inherited.length > 0 ? atMs + 2000 : 0;
	fleet.listValidAt = listValidAt;

	fleet.reports.set('desk', {report, seenAt: atMs});
	fleet.waves.set(1, {
		wave: {
			number: 1, machines: machines.map(({name}) => name), durationMs, downLimit,
		}, seenAt: 0, maintained: new Set(), status: 'running', hasUnwrittenStatus: false, isWritingStatus: false,
	});
	const decisions: string[] = [];
	for (const output of runWaves({fleet, authority, configuration}, {now: atMs, wallTime: atMs, random})) {
		if (output.kind === 'sink' && output.effect.kind === 'order-machine') {
			decisions.push(`${output.effect.order} ${output.effect.machine}`);
		}

		if (output.kind === 'sink' && output.effect.kind === 'request-evacuation') {
			decisions.push(`evacuate ${output.effect.request.endpointId}`);
		}
	}

	return decisions;
}

const desk = [1, 2, 3].map(index => createTestMachine(`desk-${index}`, 'desk'));
const off = [1, 2].map(index => createTestMachine(`off-${index}`, 'off', {endpointId: undefined}));
const ids = desk.map(({endpointId}) => endpointId!);
const busy = createTestReport('desk', {usedMillis: 30_000, usableEndpoints: ids, releasableEndpoints: ids});

const move = {order: 'move', pool: 'desk', wave: 0} as const;
const refusedMoves = off.map(({name}) => [name, {...move, phase: 'retry', isUncertain: false}] as const);

// Load pattern: a wave starts while demand alternates between pools.
const cases: ReadonlyArray<{readonly name: string; readonly expected: readonly string[]} & Input> = [
	{
		name: 'machines that are switched off are maintained at once', machines: off, report: busy, atMs: 1000, expected: ['maintain off-1', 'maintain off-2'],
	},
	{
		name: 'machines that are switched off are left alone while a pool is short of machines and the wave has time', machines: off, report: busy, atMs: 1000, hasShortage: true, expected: [],
	},
	{
		name: 'machines that are switched off are maintained despite a shortage when the deadline is near', machines: off, report: busy, atMs: 17_000, hasShortage: true, expected: ['maintain off-1', 'maintain off-2'],
	},
	{
		name: 'busy machines are left alone while there is time', machines: desk, report: busy, atMs: 1000, expected: [],
	},
	{
		name: 'busy machines are evacuated one by one when the deadline is near', machines: desk, report: busy, atMs: 12_000, expected: ['evacuate endpoint-of-desk-1'],
	},
	{
		// Guards against leaving machines with long-running tasks to the end of a wave: another entry took over the fleet claim just then.
		name: 'a machine that runs only long-running tasks is evacuated while no work waits', machines: desk, report: {...busy, servingEndpoints: [ids[1]!], releasableEndpoints: [ids[0]!, ids[2]!]}, atMs: 1000, expected: ['evacuate endpoint-of-desk-2'],
	},
	{
		// Guards against a wave that ends late: nineteen tasks of which only one may be missed are moved one after the other, which takes most of it.
		name: 'a machine with long-running and other tasks is evacuated from the beginning', machines: desk, report: {...busy, releasableEndpoints: [ids[0]!, ids[1]!]}, atMs: 1000, expected: ['evacuate endpoint-of-desk-3'],
	},
	{
		name: 'a machine with long-running tasks goes before an idle one', machines: desk, report: {...busy, idleEndpoints: [ids[0]!], releasableEndpoints: [ids[0]!, ids[1]!]}, atMs: 1000, expected: ['evacuate endpoint-of-desk-3'],
	},
	{
		name: 'a machine with long-running tasks is left alone while work waits and there is time', machines: desk, report: {...busy, backlogMillis: 5000, releasableEndpoints: [ids[0]!, ids[1]!]}, atMs: 1000, expected: [],
	},
	{
		// Guards against a wave that never ends: a machine whose order was refused or not answered counted against its own order.
		name: 'an order that was not carried out is sent again at the limit', machines: off, report: busy, atMs: 3000, downLimit: 1, ordered: new Map([['off-1', {phase: 'retry'}]]), expected: ['maintain off-1'],
	},
	{
		name: 'a machine whose order is sent again counts against the other orders', machines: off, report: busy, atMs: 3000, downLimit: 1, ordered: new Map([['off-2', {phase: 'retry'}]]), expected: ['maintain off-2'],
	},
	{
		name: 'no other machine is ordered while an order at the limit awaits its answer', machines: off, report: busy, atMs: 3000, downLimit: 1, ordered: new Map([['off-1', {phase: 'sent'}]]), expected: [],
	},
	{
		// Guards against more machines down for maintenance than the limit allows, as any open order passed it (review/10).
		name: 'machines whose moves the service did not take are maintained up to the limit', machines: off, report: busy, atMs: 3000, downLimit: 1, ordered: new Map(refusedMoves), expected: ['maintain off-1'],
	},
	{
		name: 'a machine whose move may have been carried out is left alone', machines: off, report: busy, atMs: 3000, downLimit: 1, ordered: new Map([['off-1', {...move, phase: 'retry', isUncertain: true}]]), expected: ['maintain off-2'],
	},
	{
		name: 'a machine whose move was not answered is maintained once it is listed where it was', machines: off, report: busy, atMs: 3000, listValidAt: 2900, downLimit: 1, ordered: new Map([['off-1', {...move, phase: 'retry', isUncertain: true}]]), expected: ['maintain off-1'],
	},
	{
		name: 'a machine on its way to another pool does not count as down', machines: off, report: busy, atMs: 3000, downLimit: 1, ordered: new Map([['off-1', {...move, phase: 'accepted'}]]), expected: ['maintain off-2'],
	},
	{
		name: 'maintenance for another wave that may have been carried out counts', machines: off, report: busy, atMs: 3000, downLimit: 1, ordered: new Map([['off-1', {wave: 2, phase: 'retry'}]]), expected: [],
	},
	{
		name: 'maintenance for another wave that the service did not take is replaced', machines: off, report: busy, atMs: 3000, downLimit: 1, ordered: new Map([['off-2', {wave: 2, phase: 'retry', isUncertain: false}]]), expected: ['maintain off-1'],
	},
	{
		name: 'orders that may have been carried out are not sent again beyond a limit that was lowered', machines: off, report: busy, atMs: 3000, downLimit: 1, ordered: new Map([['off-1', {phase: 'retry'}], ['off-2', {phase: 'retry'}]]), expected: [],
	},
	{
		name: 'orders that were not carried out are sent again up to a limit that was lowered', machines: off, report: busy, atMs: 3000, listValidAt: 2900, downLimit: 1, ordered: new Map([['off-1', {phase: 'retry'}], ['off-2', {phase: 'retry'}]]), expected: ['maintain off-1'],
	},
	{
		// Guards against maintenance beside that which an earlier process of this entry has ordered and the machine list does not show yet.
		name: 'a machine that an earlier process of this entry may have ordered counts', machines: off, report: busy, atMs: 3000, downLimit: 1, inherited: ['off-2'], expected: ['maintain off-2'],
	},
	{
		// Guards against evacuations for moves that used up the limit on evacuations for maintenance.
		name: 'machines that are being moved to another pool do not count', machines: desk, report: {...busy, idleEndpoints: [ids[2]!]}, atMs: 1000, leaving: [ids[0]!], expected: ['evacuate endpoint-of-desk-3'],
	},
];

describe('runWaves', () => {
	it.each(cases)('$name', ({expected, ...input}) => {
		expect(listDecisions(input)).toEqual(expected);
	});
});

// Guards against a machine that is never maintained, as its evacuation was requested for a move that is no longer wanted, or as a request or a confirmation was lost.
const renewals: ReadonlyArray<{readonly name: string; readonly purpose: 'maintenance' | 'move'; readonly isEvacuated: boolean; readonly ageMs: number; readonly isInWave: boolean; readonly expected: readonly string[]}> = [
	{
		name: 'a recent request is left alone', purpose: 'maintenance', isEvacuated: false, ageMs: 3000, isInWave: true, expected: [],
	},
	{
		name: 'a request that has not been confirmed is repeated', purpose: 'maintenance', isEvacuated: false, ageMs: 6100, isInWave: true, expected: ['maintenance 7-1'],
	},
	{
		name: 'an evacuation for a move becomes one for maintenance', purpose: 'move', isEvacuated: false, ageMs: 6100, isInWave: true, expected: ['maintenance 7-1'],
	},
	{
		name: 'a confirmed evacuation is left alone', purpose: 'move', isEvacuated: true, ageMs: 6100, isInWave: true, expected: [],
	},
	{
		name: 'an evacuation for a move that takes too long is withdrawn', purpose: 'move', isEvacuated: false, ageMs: 6100, isInWave: false, expected: ['withdraw'],
	},
];

describe('updateEvacuations', () => {
	it.each(renewals)('$name', ({purpose, isEvacuated, ageMs, isInWave, expected}) => {
		const fleet = createFleetState(3000);
		const [machine] = desk;
		const endpointId = machine!.endpointId!;
		fleet.token = 7;
		fleet.machines.set(machine!.name, machine!);
		fleet.evacuations.set(endpointId, {
			request: {
				requestId: '4-9', pool: 'desk', endpointId, machine: machine!.name, purpose, dueAt: 9000,
			}, requestedAt: 0,
		});
		if (isEvacuated) {
			fleet.evacuatedIds.add(endpointId);
		}

		if (isInWave) {
			fleet.waves.set(1, {
				wave: {
					number: 1, machines: [machine!.name], durationMs, downLimit: 4,
				}, seenAt: 0, maintained: new Set(), status: 'running', hasUnwrittenStatus: false, isWritingStatus: false,
			});
		}

		const decisions: string[] = [];
		for (const output of updateEvacuations({fleet}, {now: ageMs, wallTime: ageMs, random})) {
			if (output.kind === 'sink' && output.effect.kind === 'request-evacuation') {
				decisions.push(`${output.effect.request.purpose} ${output.effect.request.requestId}`);
			}

			if (output.kind === 'sink' && output.effect.kind === 'withdraw-evacuation') {
				decisions.push('withdraw');
			}
		}

		expect(decisions).toEqual(expected);
	});
});

// Guards against a takeover that waits for the leases of endpoints whose machines have left, as their evacuation is forgotten before the roster.
describe('the records of an evacuated endpoint whose machine has left', () => {
	it.each([
		{name: 'at once', atMs: [100], withdrawn: 0},
		{name: 'within seven seconds', atMs: [100, 7000], withdrawn: 0},
		{name: 'later', atMs: [100, 7200], withdrawn: 1},
		{name: 'only once', atMs: [100, 7200, 7300], withdrawn: 1},
	])('are withdrawn late: $name', ({atMs, withdrawn}) => {
		const fleet = createFleetState(3000);
		fleet.token = 7;
		fleet.evacuations.set('e1', {
			request: {
				requestId: '7-1', pool: 'desk', endpointId: 'e1', machine: 'desk-1', purpose: 'move', dueAt: 0,
			}, requestedAt: 0,
		});
		fleet.evacuatedIds.add('e1');
		const outputs = atMs.flatMap(now => updateEvacuations({fleet}, {now, wallTime: now, random}));
		expect(outputs.filter(output => output.kind === 'sink' && output.effect.kind === 'withdraw-evacuation')).toHaveLength(withdrawn);
		expect(fleet.evacuations.size).toBe(0);
	});

	// Guards against an evacuation whose records are deleted under it: its pool's owner would place tasks again, and the machine would be ordered with them.
	it('are kept when the machine is back and is evacuated again', () => {
		const fleet = createFleetState(3000);
		const [machine] = desk;
		const endpointId = machine!.endpointId!;
		fleet.token = 7;
		fleet.machines.set(machine!.name, machine!);
		fleet.departedEndpoints.set(endpointId, {pool: 'desk', seenAt: 0});
		const request = requestEvacuation(fleet, {
			machine: machine!, endpointId, purpose: 'move', dueAt: 9000,
		}, {now: 5000, wallTime: 5000, random});
		const outputs = [...request, ...updateEvacuations({fleet}, {now: 7200, wallTime: 7200, random})];
		expect(outputs.filter(output => output.kind === 'sink' && output.effect.kind === 'withdraw-evacuation')).toEqual([]);
	});
});
