import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {type JobEffectOf, type Machine, type PoolReport} from '../model/index.js';
import {createTestMachine, createTestReport} from '../testing.test-support.js';
import {balancePools} from './balance-pools.js';
import {createFleetState, type FleetState} from './fleet-state.js';

const configuration = {
	current: {
		version: 1, queues: [], pools: [{name: 'desk', isSpare: false}, {name: 'notify', isSpare: false}, {name: 'off', isSpare: true}], limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	},
};
const authority = {
	node: 'entry-1', heldClaims: new Map(), validUntil: 1_000_000, wallValidUntil: 1_000_000, isStopping: false,
};
const random = createRandomSource(1);

type Input = {
	readonly machines: readonly Machine[];
	readonly reports: readonly PoolReport[];
	/** Times in ms at which the pools are balanced; the reports stay the same. */
	readonly at: readonly number[];
	/** Pools whose first burst is still to come; that of all others is over. */
	readonly awaitingPeak?: readonly string[];
	/** Endpoints that are being evacuated for maintenance. */
	readonly maintained?: readonly string[];
};

function createFleet({machines, reports, maintained = [], awaitingPeak = []}: Input): FleetState {
	const fleet = createFleetState(3000);
	fleet.token = 7;
	fleet.listedAt = 0;
	for (const machine of machines) {
		fleet.machines.set(machine.name, machine);
	}

	for (const {pool} of reports) {
		fleet.demandHistory.set(pool, {
			pool, assignedMachines: 3, since: 5000, hasPeaked: !awaitingPeak.includes(pool),
		});
	}

	for (const report of reports) {
		fleet.reports.set(report.pool, {report, seenAt: 0});
	}

	for (const endpointId of maintained) {
		fleet.evacuations.set(endpointId, {
			request: {
				requestId: endpointId, pool: 'desk', endpointId, machine: endpointId.replace('endpoint-of-', ''), purpose: 'maintenance', dueAt: 0,
			}, requestedAt: 0,
		});
	}

	return fleet;
}

/** Lists the decisions as text: orders as `machine>pool`, evacuations as `evacuate endpoint`. */
function listDecisions(input: Input): string[] {
	const fleet = createFleet(input);
	const decisions: string[] = [];
	for (const now of input.at) {
		for (const [pool, {report}] of fleet.reports) {
			fleet.reports.set(pool, {report, seenAt: now});
		}

		for (const output of balancePools({fleet, authority, configuration}, {now, wallTime: now, random})) {
			if (output.kind === 'sink' && output.effect.kind === 'order-machine') {
				const order: JobEffectOf<'order-machine'> = output.effect;
				decisions.push(`${order.machine}>${order.pool}`);
			}

			if (output.kind === 'sink' && output.effect.kind === 'request-evacuation') {
				decisions.push(`evacuate ${output.effect.request.endpointId}`);
			}
		}
	}

	return decisions;
}

const desk = [1, 2, 3].map(index => createTestMachine(`desk-${index}`, 'desk'));
const notify = [1, 2, 3].map(index => createTestMachine(`notify-${index}`, 'notify'));
const off = [1, 2].map(index => createTestMachine(`off-${index}`, 'off', {endpointId: undefined}));
const getEndpointIds = (machines: readonly Machine[]) => machines.map(machine => machine.endpointId!);
const busyDesk = createTestReport('desk', {
	hasWork: true, usedMillis: 48_000, backlogMillis: 20_000, neededMillis: 68_000, usableEndpoints: getEndpointIds(desk),
});
const quietNotify = createTestReport('notify', {usableEndpoints: getEndpointIds(notify), idleEndpoints: getEndpointIds(notify), releasableEndpoints: getEndpointIds(notify)});

// Load pattern: demand alternates between pools. Each pool in turn needs several times its mean, and next to nothing in between.
const cases: ReadonlyArray<{readonly name: string; readonly expected: readonly string[]} & Input> = [
	{
		name: 'a pool with a backlog gets machines that are switched off', machines: [...desk, ...off], reports: [busyDesk], at: [5000], expected: ['off-1>desk'],
	},
	{
		name: 'without such machines it gets an idle one of a quiet pool', machines: [...desk, ...notify], reports: [busyDesk, quietNotify], at: [5000], expected: ['evacuate endpoint-of-notify-1'],
	},
	{
		name: 'a quiet pool keeps at least two machines', machines: [...desk, ...notify.slice(0, 2)], reports: [busyDesk, quietNotify], at: [5000], expected: [],
	},
	{
		name: 'a pool that was full less than a second ago keeps its machines', machines: desk, reports: [createTestReport('desk', {
			hasWork: true, usableEndpoints: getEndpointIds(desk), idleEndpoints: getEndpointIds(desk), releasableEndpoints: getEndpointIds(desk),
		})], at: [5000, 5900], expected: [],
	},
	{
		name: 'a pool with spare capacity for more than a second releases a machine', machines: desk, reports: [createTestReport('desk', {
			hasWork: true, usableEndpoints: getEndpointIds(desk), idleEndpoints: getEndpointIds(desk), releasableEndpoints: getEndpointIds(desk),
		})], at: [5000, 6100], expected: ['evacuate endpoint-of-desk-1'],
	},
	{
		// Load pattern: the first burst of a pool, for which machines that are switched off come two seconds too late.
		name: 'a pool keeps its machines until its first burst', awaitingPeak: ['desk'], machines: desk, reports: [createTestReport('desk', {
			hasWork: true, usableEndpoints: getEndpointIds(desk), idleEndpoints: getEndpointIds(desk), releasableEndpoints: getEndpointIds(desk),
		})], at: [5000, 6100, 60_000], expected: [],
	},
	{
		name: 'a pool without any burst for a minute releases a machine', awaitingPeak: ['desk'], machines: desk, reports: [createTestReport('desk', {
			hasWork: true, usableEndpoints: getEndpointIds(desk), idleEndpoints: getEndpointIds(desk), releasableEndpoints: getEndpointIds(desk),
		})], at: [5000, 30_000, 55_000, 66_000], expected: ['evacuate endpoint-of-desk-1'],
	},
	{
		name: 'work that waits in another pool gets a machine that is kept for a first burst', awaitingPeak: ['notify'], machines: [...desk, ...notify], reports: [busyDesk, quietNotify], at: [5000], expected: ['evacuate endpoint-of-notify-1'],
	},
	{
		name: 'a pool that has given away machines of its reserve gets them back when no work waits', awaitingPeak: ['notify'], machines: [...desk, ...notify.slice(0, 2), ...off], reports: [
			createTestReport('desk', {
				hasWork: true, usedMillis: 30_000, neededMillis: 30_000, usableEndpoints: getEndpointIds(desk),
			}),
			createTestReport('notify', {usableEndpoints: getEndpointIds(notify.slice(0, 2))}),
		], at: [5000], expected: ['off-1>notify'],
	},
	{
		// Guards against switching off machines just before another pool needs them, which moves them twice.
		name: 'spare capacity is kept for a while when another pool may soon be short of machines', machines: [...desk, ...notify], reports: [
			createTestReport('desk', {
				hasWork: true, usedMillis: 30_000, neededMillis: 30_000, usableEndpoints: getEndpointIds(desk),
			}),
			quietNotify,
		], at: [5000, 6100, 7400], expected: [],
	},
	{
		name: 'spare capacity is released after 2.5 s even if another pool may soon be short of machines', machines: [...desk, ...notify], reports: [
			createTestReport('desk', {
				hasWork: true, usedMillis: 30_000, neededMillis: 30_000, usableEndpoints: getEndpointIds(desk),
			}),
			quietNotify,
		], at: [5000, 6100, 7600], expected: ['evacuate endpoint-of-notify-1'],
	},
	{
		name: 'no machine moves while the whole fleet is quiet, as demand may start in any pool', machines: desk, reports: [createTestReport('desk', {usableEndpoints: getEndpointIds(desk), idleEndpoints: getEndpointIds(desk), releasableEndpoints: getEndpointIds(desk)})], at: [5000, 7100, 12_000], expected: [],
	},
	{
		// Load pattern: demand shifts from one pool to another while all machines of the first still run tasks.
		name: 'a pool whose demand has dropped releases the endpoint with the least work, though it is not idle', machines: [...desk, ...notify], reports: [busyDesk, createTestReport('notify', {
			hasWork: true, usedMillis: 12_000, neededMillis: 6000, usableEndpoints: getEndpointIds(notify), releasableEndpoints: [notify[2]!.endpointId!, notify[0]!.endpointId!],
		})], at: [5000], expected: ['evacuate endpoint-of-notify-3'],
	},
	{
		name: 'an endpoint with long-running tasks is not released', machines: [...desk, ...notify], reports: [busyDesk, {...quietNotify, idleEndpoints: [], releasableEndpoints: []}], at: [5000], expected: [],
	},
	{
		// Guards against long-running tasks that cannot be moved for maintenance because each endpoint may run only two of the five.
		name: 'a pool gets a replacement for a machine that is being evacuated for maintenance', machines: [...desk, ...off], maintained: ['endpoint-of-desk-1'], reports: [createTestReport('desk', {
			endpointMinimum: 3, usedMillis: 5000, neededMillis: 5000, usableEndpoints: getEndpointIds(desk),
		})], at: [5000], expected: ['off-1>desk'],
	},
	{
		name: 'a pool gets as many machines as its long-running tasks need', machines: [...desk.slice(0, 2), ...off], reports: [createTestReport('desk', {endpointMinimum: 3})], at: [5000], expected: ['off-1>desk'],
	},
	{
		// Endpoints stay registered for three heartbeats after their machine has left.
		name: 'endpoints of machines that have left do not count', machines: [...desk, ...off], reports: [{
			...busyDesk, usableEndpoints: [...getEndpointIds(desk), 'left-1', 'left-2'], idleEndpoints: ['left-1', 'left-2'],
		}], at: [5000], expected: ['off-1>desk'],
	},
	{
		name: 'a machine whose endpoint does not answer is replaced', machines: [...desk, ...off], reports: [{
			...busyDesk, backlogMillis: 0, neededMillis: 48_000, usableEndpoints: getEndpointIds(desk).slice(0, 2),
		}], at: [5000], expected: ['off-1>desk'],
	},
	{
		// Guards against losing the first seconds of a burst because machines are ordered one by one as the backlog grows.
		name: 'a pool at the start of a burst gets machines for the work that is arriving', machines: [...desk, ...off], reports: [{
			...busyDesk, backlogMillis: 0, usedMillis: 40_000, arrivingMillis: 90_000,
		}], at: [5000], expected: ['off-1>desk', 'off-2>desk'],
	},
	{
		name: 'arriving work counts for at most twice the present demand', machines: [...desk, ...off], reports: [{
			...busyDesk, backlogMillis: 0, usedMillis: 10_000, arrivingMillis: 200_000,
		}], at: [5000], expected: [],
	},
	{
		// Load pattern: few large jobs that can wait, beside many small ones; the large ones must not take all machines.
		name: 'no machines are ordered for a backlog that can wait', machines: [...desk, ...off], reports: [{...busyDesk, backlogMillis: 90_000, neededMillis: 40_000}], at: [5000], expected: [],
	},
	{
		name: 'no machine is ordered for a backlog of less than a third of a machine', machines: [...desk, ...off], reports: [{...busyDesk, backlogMillis: 5000}], at: [5000], expected: [],
	},
];

describe('balancePools', () => {
	it.each(cases)('$name', ({expected, ...input}) => {
		expect(listDecisions(input)).toEqual(expected);
	});

	// Guards against a new holder that orders a machine away from its present tasks, as the records of its former endpoint's evacuation are still there.
	it.each([
		{name: 'its endpoint has been evacuated', endpointId: 'endpoint-of-desk-1', orders: ['desk-1']},
		{name: 'a former endpoint of it has been evacuated', endpointId: 'former', orders: []},
	])('orders an evacuated machine only if it is still there: $name', ({endpointId, orders}) => {
		const fleet = createFleet({machines: [...desk, ...off], reports: [createTestReport('desk', {usableEndpoints: getEndpointIds(desk)})], at: []});
		fleet.evacuations.set(endpointId, {
			request: {
				requestId: '4-1', pool: 'desk', endpointId, machine: 'desk-1', purpose: 'move', dueAt: 0,
			}, requestedAt: 0,
		});
		fleet.evacuatedIds.add(endpointId);
		const ordered = balancePools({fleet, authority, configuration}, {now: 100, wallTime: 100, random})
			.flatMap(output => output.kind === 'sink' && output.effect.kind === 'order-machine' ? [output.effect.machine] : []);
		expect(ordered).toEqual(orders);
	});

	it('sends no order before the previous holder must have stopped, nor after its own lease', () => {
		const fleet = createFleet({machines: [...desk, ...off], reports: [busyDesk], at: []});
		fleet.ordersAllowedFrom = 6000;
		const countOrders = (now: number, validUntil: number) => {
			fleet.reports.set('desk', {report: busyDesk, seenAt: now});
			return balancePools({fleet, authority: {...authority, validUntil}, configuration}, {now, wallTime: now, random})
				.filter(output => output.kind === 'sink' && output.effect.kind === 'order-machine').length;
		};

		expect(countOrders(5900, 1_000_000)).toBe(0);
		expect(countOrders(6100, 6300)).toBe(0);
		expect(countOrders(6100, 1_000_000)).toBeGreaterThan(0);
	});
});
