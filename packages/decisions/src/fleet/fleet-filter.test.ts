import {describe, expect, it} from 'vitest';
import {storeKeys, type OperatorCommand} from '@pistachiogauge/model';
import {
	addAttempt, createHarness, listServing, type StoreFault,
} from './fleet-harness.test-support.js';

const drain: OperatorCommand = {command: 'drain', pool: 'p', instance: 'p1'};

describe('drain', () => {
	it('waits for the requests in progress, stays stopped, and returns only after probes', () => {
		const {harness, entry} = createHarness();
		addAttempt(entry, 'p1');
		harness.call(entry, drain);
		expect(entry.answers).toMatchObject([{status: 200}]);
		harness.run(5000);
		expect(harness.getRecord('p').permits.p1?.stage).toBe('draining');
		expect(listServing(entry)).toEqual(['p2', 'p3']);
		entry.state.dispatch.attempts.clear();
		harness.run(100);
		expect(harness.getRecord('p').permits.p1?.stage).toBe('stopped');
		harness.unhealthyInstances.add('p1');
		harness.run(600_000);
		harness.call(entry, {command: 'undrain', pool: 'p', instance: 'p1'});
		harness.run(600_000);
		// Guards against a permit that expires by time while the instance does not serve.
		expect(harness.getRecord('p').permits.p1?.stage).toBe('returning');
		harness.unhealthyInstances.clear();
		harness.run(3000);
		expect(harness.getRecord('p').permits).toEqual({});
		expect(listServing(entry)).toEqual(['p1', 'p2', 'p3']);
	});

	// Guards against a stop that interrupts a request whose answer the owner no longer waits for.
	it('waits for slots that are still held after an attempt without an answer', () => {
		const {harness, entry} = createHarness();
		entry.state.dispatch.busySlots.set('p1', 1);
		harness.call(entry, drain);
		harness.run(1000);
		expect(harness.getRecord('p').permits.p1?.stage).toBe('draining');
		entry.state.dispatch.busySlots.delete('p1');
		harness.run(100);
		expect(harness.getRecord('p').permits.p1?.stage).toBe('stopped');
	});

	// Guards against sending work to an instance whose drain was recorded although the store's answer was lost.
	it.each<{fault: StoreFault; isRecorded: boolean}>([
		{fault: 'answer-lost', isRecorded: true},
		{fault: 'write-lost', isRecorded: false},
		{fault: 'outage', isRecorded: false},
	])('sends nothing to the instance while the outcome of the write is unknown: $fault', ({fault, isRecorded}) => {
		const {harness, entry} = createHarness();
		harness.storeFault = fault;
		harness.call(entry, drain);
		expect(listServing(entry)).toEqual(['p2', 'p3']);
		expect(harness.getRecord('p').permits.p1 !== undefined).toBe(isRecorded);
		harness.storeFault = 'none';
		harness.run(1000);
		expect(entry.answers).toMatchObject([{status: 200}]);
		expect(harness.getRecord('p').permits.p1).toBeDefined();
	});

	// Guards against a delayed write that releases a permit or grants it a second time.
	it('is not undone by an earlier write that the store applies late', () => {
		const {harness, entry} = createHarness();
		harness.isHoldingWrites = true;
		harness.call(entry, drain);
		const [late] = harness.heldWrites;
		harness.isHoldingWrites = false;
		harness.send(entry, {
			kind: 'store-answered', operationId: late!.operationId, result: 'failed', entries: [],
		});
		harness.run(2000);
		expect(harness.getRecord('p').permits.p1?.stage).toBe('stopped');
		expect(harness.applyWrite(late!)).toBe(false);
	});

	it('answers an operator that the outcome is unknown when the store does not answer', () => {
		const {harness, entry} = createHarness();
		harness.storeFault = 'outage';
		harness.call(entry, drain);
		harness.call(entry, {command: 'drain', pool: 'p', instance: 'p2'});
		harness.run(6000);
		expect(entry.answers.map(answer => answer.status).sort((left, right) => left - right)).toEqual([503, 504]);
	});
});

describe('takeover', () => {
	it('fences off the former owner and continues its drain after its requests have ended', () => {
		const {harness, entry} = createHarness(['p']);
		addAttempt(entry, 'p1');
		harness.call(entry, drain);
		harness.isHoldingWrites = true;
		entry.state.dispatch.attempts.clear();
		harness.run(50);
		harness.isHoldingWrites = false;
		const late = harness.heldWrites.filter(write => write.key.startsWith(storeKeys.poolsPrefix));
		expect(late).toHaveLength(1);
		const successor = harness.addEntry('b', 2, ['p']);
		expect(harness.applyWrite(late[0]!)).toBe(false);
		// Guards against a stop that interrupts requests of the former owner; its longest deadline is 1 s.
		harness.run(900);
		expect(harness.getRecord('p')).toMatchObject({owner: 'b', ownerEpoch: 2, permits: {p1: {stage: 'draining'}}});
		harness.run(300);
		expect(harness.getRecord('p').permits.p1?.stage).toBe('stopped');
		expect(listServing(successor)).toEqual(['p2', 'p3']);
	});

	// Guards against a permit that is granted before the new owner knows the state of all instances: unknown counts as out of service.
	it('counts instances as out of service until they answer', () => {
		const {harness} = createHarness(['p']);
		harness.unhealthyInstances.add('p3');
		const successor = harness.addEntry('b', 2, ['p']);
		harness.run(2000);
		harness.call(successor, drain);
		expect(successor.answers).toMatchObject([{status: 409, body: {message: expect.stringContaining('p3 failed') as string}}]);
	});

	// Guards against an entry in an older epoch that takes the pool back from its new owner.
	it('does not take over a pool that was fenced in a later epoch', () => {
		const {harness} = createHarness(['p']);
		harness.addEntry('b', 3, ['p']);
		const late = harness.addEntry('c', 2, ['p']);
		harness.run(2000);
		expect(harness.getRecord('p').owner).toBe('b');
		expect(listServing(late)).toEqual([]);
	});

	it('counts instances as out of service before their first answer', () => {
		const {harness} = createHarness(['p']);
		const successor = harness.addEntry('b', 2, ['p']);
		harness.send(successor, {kind: 'instances-listed', instances: harness.listed});
		harness.call(successor, drain);
		expect(successor.answers).toMatchObject([{status: 409, body: {message: expect.stringContaining('p1 unknown, p2 unknown, p3 unknown') as string}}]);
	});

	it.each([0, 50, 100, 150, 200])('continues a move that was interrupted after %i ms', interruptedMs => {
		const {harness, entry} = createHarness(['p']);
		const other = harness.addEntry('other', 1, ['q']);
		harness.run(2000);
		harness.call(entry, {
			command: 'move', pool: 'p', instance: 'p1', targetPool: 'q',
		});
		harness.run(interruptedMs);
		harness.entries.splice(harness.entries.indexOf(entry), 1);
		const successor = harness.addEntry('b', 2, ['p']);
		// Guards against two owners that send to the same instance.
		harness.run(5000, () => {
			expect(listServing(successor).filter(id => listServing(other, 'q').includes(id))).toEqual([]);
		});
		expect(harness.getRecordedPool('p1')).toBe('q');
		expect(harness.getRecord('p').permits).toEqual({});
		expect(listServing(other, 'q')).toEqual(['p1', 'q1', 'q2']);
	});
});

describe('move', () => {
	// Guards against requests that fail because the instance is not ready to serve its new pool.
	it('gives the instance work in its new pool only after it has answered a probe', () => {
		const {harness, entry} = createHarness();
		harness.call(entry, {
			command: 'move', pool: 'p', instance: 'p1', targetPool: 'q',
		});
		harness.unhealthyInstances.add('p1');
		harness.run(5000);
		expect(harness.getRecordedPool('p1')).toBe('q');
		expect(listServing(entry, 'q')).toEqual(['q1', 'q2']);
		harness.unhealthyInstances.clear();
		harness.run(1000);
		expect(listServing(entry, 'q')).toEqual(['p1', 'q1', 'q2']);
	});
});

describe('wave', () => {
	it('maintains every instance once and within the budget', () => {
		const {harness, entry} = createHarness();
		harness.call(entry, {command: 'wave-start', pool: 'p'});
		harness.run(60_000, () => {
			expect(Object.keys(harness.getRecord('p').permits).length).toBeLessThanOrEqual(1);
		});
		expect(harness.reboots.toSorted()).toEqual(['p1', 'p2', 'p3']);
		expect(harness.getRecord('p')).toMatchObject({permits: {}, wave: {state: 'done'}});
	});

	it('is resumed by a successor', () => {
		const {harness, entry} = createHarness(['p']);
		harness.call(entry, {command: 'wave-start', pool: 'p'});
		harness.run(15_000);
		harness.entries.pop();
		harness.addEntry('b', 2, ['p']);
		harness.run(60_000);
		expect(harness.getRecord('p')).toMatchObject({permits: {}, wave: {state: 'done', done: ['p1', 'p2', 'p3']}});
	});

	it('starts no further stop during a store outage, and finishes the wave after it', () => {
		const {harness, entry} = createHarness();
		harness.call(entry, {command: 'wave-start', pool: 'p'});
		harness.run(100);
		harness.storeFault = 'outage';
		entry.state.membership.isStoreReached = false;
		harness.run(60_000);
		expect(harness.reboots.length).toBeLessThanOrEqual(1);
		harness.storeFault = 'none';
		entry.state.membership.isStoreReached = true;
		harness.run(60_000);
		expect(harness.reboots.toSorted()).toEqual(['p1', 'p2', 'p3']);
	});
});

// Guards against refused calls that give no reason or still change something.
const refusalCases: Array<{name: string; command: OperatorCommand; status: number; message: RegExp}> = [
	{
		name: 'unknown pool', command: {...drain, pool: 'x'}, status: 404, message: /unknown pool x/u,
	},
	{
		name: 'unknown instance', command: {...drain, instance: 'q1'}, status: 404, message: /no instance q1 in pool p/u,
	},
	{
		name: 'unknown target pool', command: {
			command: 'move', pool: 'p', instance: 'p1', targetPool: 'x',
		}, status: 404, message: /unknown target pool x/u,
	},
	{
		name: 'move into the same pool', command: {
			command: 'move', pool: 'p', instance: 'p1', targetPool: 'p',
		}, status: 409, message: /already/u,
	},
	{
		name: 'undrain without drain', command: {command: 'undrain', pool: 'p', instance: 'p1'}, status: 409, message: /not drained/u,
	},
	{
		name: 'pause without wave', command: {command: 'wave-pause', pool: 'p'}, status: 409, message: /no wave/u,
	},
	{
		name: 'retire a live instance', command: {command: 'retire', pool: 'p', instance: 'p1'}, status: 409, message: /shows p1 as live/u,
	},
	{
		name: 'lend from a pool that does not lend', command: {command: 'lend', pool: 'p', targetPool: 'q'}, status: 409, message: /does not lend/u,
	},
];

describe('operator calls', () => {
	it.each(refusalCases)('refuses with a reason: $name', ({command, status, message}) => {
		const {harness, entry} = createHarness();
		harness.call(entry, command);
		expect(entry.answers).toMatchObject([{status, body: {message: expect.stringMatching(message) as string}}]);
		expect(entry.auditEvents.filter(auditEvent => auditEvent.by === 'ana')).toMatchObject([{result: 'refused'}]);
	});

	it('accepts one of two concurrent drains and tells the other operator who was first', () => {
		const {harness, entry} = createHarness();
		harness.isHoldingWrites = true;
		harness.call(entry, drain, 'ana');
		harness.call(entry, drain, 'can');
		harness.isHoldingWrites = false;
		harness.send(entry, {
			kind: 'store-answered', operationId: harness.heldWrites[0]!.operationId, result: 'failed', entries: [],
		});
		harness.run(1000);
		expect(entry.answers.map(answer => [answer.callId, answer.status])).toEqual([['call-1', 200], ['call-2', 409]]);
		expect(entry.answers[1]!.body).toMatchObject({message: expect.stringContaining('operator-drain by ana') as string});
	});

	it('shows in the status what a drain waits for', () => {
		const {harness, entry} = createHarness();
		addAttempt(entry, 'p1');
		harness.call(entry, drain);
		harness.call(entry, {command: 'pool-status', pool: 'p'});
		expect(JSON.stringify(entry.answers[1]!.body)).toMatch(/1 requests run at it, the oldest for \d+\.\d s/u);
	});

	it('no longer counts a missing instance against the budget once an operator has retired it', () => {
		const {harness, entry} = createHarness();
		harness.listed = harness.listed.filter(instance => instance.id !== 'p3');
		harness.run(1000);
		harness.call(entry, drain);
		harness.call(entry, {command: 'retire', pool: 'p', instance: 'p3'});
		harness.run(3000);
		harness.call(entry, drain);
		harness.run(1000);
		expect(entry.answers.map(answer => answer.status)).toEqual([409, 200, 200]);
	});
});
