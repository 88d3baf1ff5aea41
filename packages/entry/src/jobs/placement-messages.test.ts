import {describe, expect, it} from 'vitest';
import {decodePlacementQuestion, maxPlacementBytes} from './placement-messages.js';

const step = {
	count: 1, room: {cpuMillis: 1000, memoryMb: 100, gpus: 0}, estimateMs: 10, after: [], isCheckpointing: false, isGang: false, isSameRack: false, mayDuplicate: false, isLongRunning: false, image: '', isFiller: false,
};
const record = (steps: readonly unknown[]) => ({
	payload: '', steps, repeatCount: 0, startAtMs: 0, intervalMs: 0,
});
/** Jobs as callers send them, as text, since only the adapter knows the names of their fields. */
const caller: unknown = JSON.parse('{"Steps": [{"Cpu": 1000}]}');
const wrongCaller: unknown = JSON.parse('{"Steps": [{"Cpu": 1}, {"Cpu": "x"}]}');

const cases: ReadonlyArray<{readonly name: string; readonly body: unknown; readonly expected: Record<string, unknown>}> = [
	{name: 'a job as callers send it', body: {queue: 'prints', job: caller}, expected: {question: {target: {queue: 'prints'}, spec: {steps: [{count: 1, room: {cpuMillis: 1000}}]}}}},
	{name: 'a job as in records', body: {queue: 'prints', account: 'press', job: record([step])}, expected: {question: {target: {queue: 'prints'}, account: 'press', spec: record([step])}}},
	{name: 'a host and path', body: {host: 'shop', path: '/prints/1', job: caller}, expected: {question: {target: {host: 'shop', path: '/prints/1'}}}},
	{name: 'no queue', body: {job: caller}, expected: {fault: {field: 'queue'}}},
	{name: 'a queue and a host', body: {queue: 'prints', host: 'shop', job: caller}, expected: {fault: {field: 'queue'}}},
	{name: 'no object', body: [], expected: {fault: {field: ''}}},
	{name: 'no job', body: {queue: 'prints'}, expected: {fault: {field: 'job'}}},
	{name: 'a wrong field of a caller', body: {queue: 'prints', job: wrongCaller}, expected: {fault: {field: 'job.Steps[1].Cpu'}}},
	{name: 'a wrong field of a record', body: {queue: 'prints', job: record([{...step, room: {}}])}, expected: {fault: {field: 'job.steps[0].room.cpuMillis'}}},
	{name: 'a step without tasks', body: {queue: 'prints', job: record([{...step, count: 0}])}, expected: {fault: {field: 'job.steps'}}},
	{name: 'a step that depends on itself', body: {queue: 'prints', job: record([{...step, after: [0]}])}, expected: {fault: {field: 'job.steps'}}},
	{name: 'more tasks than an entry can keep', body: {queue: 'prints', job: record([{...step, count: 1e9}])}, expected: {fault: {field: 'job.steps'}}},
	{name: 'more steps than an answer lists', body: {queue: 'prints', job: record(Array.from({length: 201}, () => step))}, expected: {fault: {field: 'job'}}},
];

// Guards against a question that stops the entry, and against faults that do not name their field.
describe('decodePlacementQuestion', () => {
	it.each(cases)('decodes $name', ({body, expected}) => {
		const bytes = Buffer.from(JSON.stringify(body));
		expect(bytes.length).toBeLessThanOrEqual(maxPlacementBytes);
		expect(decodePlacementQuestion(bytes)).toMatchObject(expected);
	});

	it('refuses what is not JSON', () => {
		expect(decodePlacementQuestion(Buffer.from('{'))).toEqual({fault: {field: '', message: 'expected JSON'}});
	});
});
