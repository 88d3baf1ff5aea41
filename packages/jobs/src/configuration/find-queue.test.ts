import {describe, expect, it} from 'vitest';
import {type Configuration, type Queue} from '../model/index.js';
import {findQueue, listHiddenQueues} from './find-queue.js';

function createConfiguration(queues: ReadonlyArray<Pick<Queue, 'name' | 'host' | 'prefix'>>): Configuration {
	return {
		version: 1,
		queues: queues.map(queue => ({
			...queue, pool: 'desk', priority: 0, attempts: 1, stretch: 1, latencyTargetMs: 0, advice: undefined, isPublic: true,
		})),
		pools: [],
		accounts: undefined,
		limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	};
}

const lobby = {name: 'lobby', host: 'lobby.example', prefix: '/q/'};
const copy = {...lobby, name: 'annex'};
const wide = {...lobby, name: 'wide', prefix: '/'};
const other = {...lobby, name: 'other', host: 'other.example'};

// Guards against requests that reach another queue once routes with the same address are listed in another order.
const cases: ReadonlyArray<{readonly name: string; readonly queues: ReadonlyArray<typeof lobby>; readonly path: string; readonly expected: string | undefined; readonly hidden: readonly string[]}> = [
	{
		name: 'two of the same host and prefix', queues: [lobby, copy], path: '/q/id', expected: 'annex', hidden: ['lobby'],
	},
	{
		name: 'one with a longer prefix', queues: [wide, lobby, other], path: '/q/id', expected: 'lobby', hidden: [],
	},
	{
		name: 'one with a longer prefix that does not match', queues: [wide, lobby, copy], path: '/r/id', expected: 'wide', hidden: ['lobby'],
	},
	{
		name: 'another host only', queues: [other], path: '/q/id', expected: undefined, hidden: [],
	},
];

describe('findQueue', () => {
	it.each(cases)('selects $expected of $name, in any order', ({queues, path, expected, hidden}) => {
		for (const ordered of [queues, [...queues].reverse()]) {
			const configuration = createConfiguration(ordered);
			expect(findQueue(configuration, 'lobby.example', path)?.queue.name).toBe(expected);
			expect(listHiddenQueues(configuration)).toEqual(hidden);
		}
	});
});
