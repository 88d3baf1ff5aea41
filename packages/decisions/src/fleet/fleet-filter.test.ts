import {describe, expect, it} from 'vitest';
import {storeKeys, type OperatorCommand} from '@pistachiogauge/model';
import {
	addAttempt, createRig, listServing, type StoreFault,
} from './fleet-rig.test-support.js';

const drain: OperatorCommand = {command: 'drain', pool: 'p', instance: 'p1'};

describe('drain', () => {
	it('waits for the requests in progress, stays stopped, and returns only after probes', () => {
		const {rig, entry} = createRig();
		addAttempt(entry, 'p1');
		rig.call(entry, drain);
		expect(entry.answers).toMatchObject([{status: 200}]);
		rig.run(5000);
		expect(rig.getRecord('p').permits.p1?.stage).toBe('draining');
		expect(listServing(entry)).toEqual(['p2', 'p3']);
		entry.state.dispatch.attempts.clear();
		rig.run(100);
		expect(rig.getRecord('p').permits.p1?.stage).toBe('stopped');
		rig.down.add('p1');
		rig.run(600_000);
		rig.call(entry, {command: 'undrain', pool: 'p', instance: 'p1'});
		rig.run(600_000);
		// Guards against a permit that lapses by time while the instance does not serve.
		expect(rig.getRecord('p').permits.p1?.stage).toBe('returning');
		rig.down.clear();
		rig.run(3000);
		expect(rig.getRecord('p').permits).toEqual({});
		expect(listServing(entry)).toEqual(['p1', 'p2', 'p3']);
	});

	// Guards against a stop that cuts off a request whose answer the owner no longer waits for.
	it('waits for slots that are held after an attempt without an answer', () => {
		const {rig, entry} = createRig();
		entry.state.dispatch.busySlots.set('p1', 1);
		rig.call(entry, drain);
		rig.run(1000);
		expect(rig.getRecord('p').permits.p1?.stage).toBe('draining');
		entry.state.dispatch.busySlots.delete('p1');
		rig.run(100);
		expect(rig.getRecord('p').permits.p1?.stage).toBe('stopped');
	});

	// Guards against work that is sent to an instance after a drain was recorded whose answer was lost.
	it.each<{fault: StoreFault; isRecorded: boolean}>([
		{fault: 'answer-lost', isRecorded: true},
		{fault: 'write-lost', isRecorded: false},
		{fault: 'out', isRecorded: false},
	])('sends nothing while the store leaves the write open: $fault', ({fault, isRecorded}) => {
		const {rig, entry} = createRig();
		rig.fault = fault;
		rig.call(entry, drain);
		expect(listServing(entry)).toEqual(['p2', 'p3']);
		expect(rig.getRecord('p').permits.p1 !== undefined).toBe(isRecorded);
		rig.fault = 'none';
		rig.run(1000);
		expect(entry.answers).toMatchObject([{status: 200}]);
		expect(rig.getRecord('p').permits.p1).toBeDefined();
	});

	// Guards against a late write that gives a permit back or takes one for a second time.
	it('is not undone by an earlier write that arrives late', () => {
		const {rig, entry} = createRig();
		rig.isHolding = true;
		rig.call(entry, drain);
		const [late] = rig.held;
		rig.isHolding = false;
		rig.push(entry, {
			kind: 'store-answered', operationId: late!.operationId, result: 'failed', entries: [],
		});
		rig.run(2000);
		expect(rig.getRecord('p').permits.p1?.stage).toBe('stopped');
		expect(rig.applyWrite(late!)).toBe(false);
	});

	it('tells an operator that the outcome is unknown when the store stays silent', () => {
		const {rig, entry} = createRig();
		rig.fault = 'out';
		rig.call(entry, drain);
		rig.call(entry, {command: 'drain', pool: 'p', instance: 'p2'});
		rig.run(6000);
		expect(entry.answers.map(answer => answer.status).sort((left, right) => left - right)).toEqual([503, 504]);
	});
});

describe('takeover', () => {
	it('fences the former owner off and goes on with its drain after its requests have ended', () => {
		const {rig, entry} = createRig(['p']);
		addAttempt(entry, 'p1');
		rig.call(entry, drain);
		rig.isHolding = true;
		entry.state.dispatch.attempts.clear();
		rig.run(50);
		rig.isHolding = false;
		const late = rig.held.filter(write => write.key.startsWith(storeKeys.poolsPrefix));
		expect(late).toHaveLength(1);
		const successor = rig.addEntry('b', 2, ['p']);
		expect(rig.applyWrite(late[0]!)).toBe(false);
		// Guards against a stop that cuts requests of the former owner off: its longest deadline is 1 s.
		rig.run(900);
		expect(rig.getRecord('p')).toMatchObject({owner: 'b', ownerEpoch: 2, permits: {p1: {stage: 'draining'}}});
		rig.run(300);
		expect(rig.getRecord('p').permits.p1?.stage).toBe('stopped');
		expect(listServing(successor)).toEqual(['p2', 'p3']);
	});

	// Guards against a permit for an instance whose state the new owner has not seen: unknown counts as out.
	it('counts instances as out until they answer', () => {
		const {rig} = createRig(['p']);
		rig.down.add('p3');
		const successor = rig.addEntry('b', 2, ['p']);
		rig.run(2000);
		rig.call(successor, drain);
		expect(successor.answers).toMatchObject([{status: 409, body: {message: expect.stringContaining('p3 failed') as string}}]);
	});

	// Guards against an entry that is an epoch behind and takes the pool back from its new owner.
	it('leaves a pool alone that a later epoch has fenced', () => {
		const {rig} = createRig(['p']);
		rig.addEntry('b', 3, ['p']);
		const late = rig.addEntry('c', 2, ['p']);
		rig.run(2000);
		expect(rig.getRecord('p').owner).toBe('b');
		expect(listServing(late)).toEqual([]);
	});

	it('counts instances as out before their first answer', () => {
		const {rig} = createRig(['p']);
		const successor = rig.addEntry('b', 2, ['p']);
		rig.push(successor, {kind: 'instances-listed', instances: rig.listed});
		rig.call(successor, drain);
		expect(successor.answers).toMatchObject([{status: 409, body: {message: expect.stringContaining('p1 unknown, p2 unknown, p3 unknown') as string}}]);
	});

	it.each([0, 50, 100, 150, 200])('goes on with a move interrupted after %i ms', interruptedMs => {
		const {rig, entry} = createRig(['p']);
		const other = rig.addEntry('other', 1, ['q']);
		rig.run(2000);
		rig.call(entry, {
			command: 'move', pool: 'p', instance: 'p1', targetPool: 'q',
		});
		rig.run(interruptedMs);
		rig.entries.splice(rig.entries.indexOf(entry), 1);
		const successor = rig.addEntry('b', 2, ['p']);
		// Guards against an instance that two owners send to.
		rig.run(5000, () => {
			expect(listServing(successor).filter(id => listServing(other, 'q').includes(id))).toEqual([]);
		});
		expect(rig.getPool('p1')).toBe('q');
		expect(rig.getRecord('p').permits).toEqual({});
		expect(listServing(other, 'q')).toEqual(['p1', 'q1', 'q2']);
	});
});

describe('move', () => {
	// Guards against requests that fail because the instance is not ready for its new pool.
	it('gives the instance work in its new pool only after it has answered a probe', () => {
		const {rig, entry} = createRig();
		rig.call(entry, {
			command: 'move', pool: 'p', instance: 'p1', targetPool: 'q',
		});
		rig.down.add('p1');
		rig.run(5000);
		expect(rig.getPool('p1')).toBe('q');
		expect(listServing(entry, 'q')).toEqual(['q1', 'q2']);
		rig.down.clear();
		rig.run(1000);
		expect(listServing(entry, 'q')).toEqual(['p1', 'q1', 'q2']);
	});
});

describe('wave', () => {
	it('maintains every instance once, within the budget, without cutting a request off', () => {
		const {rig, entry} = createRig();
		rig.call(entry, {command: 'wave-start', pool: 'p'});
		rig.run(60_000, () => {
			expect(Object.keys(rig.getRecord('p').permits).length).toBeLessThanOrEqual(1);
		});
		expect(rig.reboots.toSorted()).toEqual(['p1', 'p2', 'p3']);
		expect(rig.getRecord('p')).toMatchObject({permits: {}, wave: {state: 'done'}});
	});

	it('is resumed by a successor', () => {
		const {rig, entry} = createRig(['p']);
		rig.call(entry, {command: 'wave-start', pool: 'p'});
		rig.run(15_000);
		rig.entries.pop();
		rig.addEntry('b', 2, ['p']);
		rig.run(60_000);
		expect(rig.getRecord('p')).toMatchObject({permits: {}, wave: {state: 'done', done: ['p1', 'p2', 'p3']}});
	});

	it('stops nothing further when the store is out, and ends what began when it is back', () => {
		const {rig, entry} = createRig();
		rig.call(entry, {command: 'wave-start', pool: 'p'});
		rig.run(100);
		rig.fault = 'out';
		entry.state.membership.isStoreReached = false;
		rig.run(60_000);
		expect(rig.reboots.length).toBeLessThanOrEqual(1);
		rig.fault = 'none';
		entry.state.membership.isStoreReached = true;
		rig.run(60_000);
		expect(rig.reboots.toSorted()).toEqual(['p1', 'p2', 'p3']);
	});
});

// Guards against calls that fail without saying why, or change something they should not.
const refusals: Array<{name: string; command: OperatorCommand; status: number; message: RegExp}> = [
	{
		name: 'unknown pool', command: {...drain, pool: 'x'}, status: 404, message: /unknown pool x/u,
	},
	{
		name: 'unknown instance', command: {...drain, instance: 'q1'}, status: 404, message: /no instance q1 in pool p/u,
	},
	{
		name: 'unknown target', command: {
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
		name: 'lend from a pool that does not', command: {command: 'lend', pool: 'p', targetPool: 'q'}, status: 409, message: /does not lend/u,
	},
];

describe('operator calls', () => {
	it.each(refusals)('refuses with the reason: $name', ({command, status, message}) => {
		const {rig, entry} = createRig();
		rig.call(entry, command);
		expect(entry.answers).toMatchObject([{status, body: {message: expect.stringMatching(message) as string}}]);
		expect(entry.changes.filter(change => change.by === 'ana')).toMatchObject([{result: 'refused'}]);
	});

	it('lets one of two racing operators win and tells the other who', () => {
		const {rig, entry} = createRig();
		rig.isHolding = true;
		rig.call(entry, drain, 'ana');
		rig.call(entry, drain, 'can');
		rig.isHolding = false;
		rig.push(entry, {
			kind: 'store-answered', operationId: rig.held[0]!.operationId, result: 'failed', entries: [],
		});
		rig.run(1000);
		expect(entry.answers.map(answer => [answer.callId, answer.status])).toEqual([['call-1', 200], ['call-2', 409]]);
		expect(entry.answers[1]!.body).toMatchObject({message: expect.stringContaining('operator-drain by ana') as string});
	});

	it('says in the status what a drain waits for', () => {
		const {rig, entry} = createRig();
		addAttempt(entry, 'p1');
		rig.call(entry, drain);
		rig.call(entry, {command: 'pool-status', pool: 'p'});
		expect(JSON.stringify(entry.answers[1]!.body)).toMatch(/1 requests run at it, the oldest for \d+\.\d s/u);
	});

	it('frees the budget of an instance that is gone when an operator retires it', () => {
		const {rig, entry} = createRig();
		rig.listed = rig.listed.filter(instance => instance.id !== 'p3');
		rig.run(1000);
		rig.call(entry, drain);
		rig.call(entry, {command: 'retire', pool: 'p', instance: 'p3'});
		rig.run(3000);
		rig.call(entry, drain);
		rig.run(1000);
		expect(entry.answers.map(answer => answer.status)).toEqual([409, 200, 200]);
	});
});
