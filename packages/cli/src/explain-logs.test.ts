import {describe, expect, it} from 'vitest';
import {explainLogs} from './explain-logs.js';

/** Formats a log line of the second `at`. */
function formatLine(at: number, message: string, fields: Readonly<Record<string, unknown>>): string {
	return JSON.stringify({
		time: `2026-12-04T10:00:${String(at).padStart(2, '0')}.000Z`, level: 'info', message, entry: 'e1', incarnation: 'i', ...fields,
	});
}

const log = [
	formatLine(1, 'request answered', {request: 'r1', job: 'j1', answer: {kind: 'accepted'}}),
	formatLine(1, 'request answered', {request: 'r2', job: 'j2', answer: {kind: 'refused'}}),
	`front-a-1 ${formatLine(3, 'run confirmed not running', {task: 'j1.0.0.0', run: 1, endpoint: 'x'})}`,
	formatLine(2, 'task placed', {
		job: 'j1', task: 'j1.0.0.0', run: 1, endpoint: 'x',
	}),
	formatLine(2, 'endpoint stopped answering', {endpoint: 'x'}),
	formatLine(5, 'endpoint stopped answering', {endpoint: 'x', lastAnswerAgeMs: 900}),
	formatLine(2, 'endpoint stopped answering', {endpoint: 'y'}),
	formatLine(4, 'recent machine orders of previous holder read', {machines: ['m1', 'm2']}),
	formatLine(6, 'job ended', {job: 'j11', account: 'museum', status: 'done'}),
	'no record about j1',
	'{"time":"2026-12-04T10:00:07.000Z","message":"cut off","job":"j1',
].join('\n');

// Guards against an explanation that leaves out the cause, or tells of another job.
const cases: ReadonlyArray<{readonly name: string; readonly id: string; readonly messages: readonly string[]; readonly accounts?: readonly string[]; readonly unreadableCount?: number}> = [
	{
		name: 'a job, its tasks and what happened to its endpoint meanwhile', id: 'j1', messages: ['request answered', 'task placed', 'endpoint stopped answering', 'run confirmed not running'], unreadableCount: 2,
	},
	{
		name: 'a request leads to its job', id: 'r1', messages: ['request answered', 'task placed', 'endpoint stopped answering', 'run confirmed not running'], unreadableCount: 2,
	},
	{name: 'a refused request', id: 'r2', messages: ['request answered']},
	{
		name: 'a job with an account', id: 'j11', messages: ['job ended'], accounts: ['museum'],
	},
	{name: 'a task', id: 'j1.0.0.0', messages: ['task placed', 'endpoint stopped answering', 'run confirmed not running']},
	{name: 'a machine in a list', id: 'm2', messages: ['recent machine orders of previous holder read']},
	{name: 'an unknown id', id: 'none', messages: []},
];

describe('explainLogs', () => {
	it.each(cases)('$name', ({
		id, messages, accounts = [], unreadableCount = 0,
	}) => {
		const explanation = explainLogs(id, log);
		expect(explanation.records.map(({message}) => message)).toEqual(messages);
		expect(explanation.accounts).toEqual(accounts);
		expect(explanation.unreadableCount).toBe(unreadableCount);
	});
});
