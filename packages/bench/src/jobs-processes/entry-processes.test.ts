import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {createEntryProcesses, type EntryProcesses} from './entry-processes.js';

const endless = 'setInterval(() => {}, 1000)';
let logFolder: string;

beforeEach(() => {
	logFolder = mkdtempSync(path.join(tmpdir(), 'entry-processes-'));
});
afterEach(() => {
	rmSync(logFolder, {recursive: true, force: true});
});

type Case = {readonly title: string; readonly script: string; readonly isOwnEnd: boolean; end(processes: EntryProcesses): void};

const cases: readonly Case[] = [
	{
		title: 'ends by itself', script: '', isOwnEnd: true, end: () => undefined,
	},
	{
		title: 'is killed', script: endless, isOwnEnd: false, end(processes) {
			processes.signal('front-1', 'SIGKILL');
		},
	},
	{
		title: 'is terminated', script: endless, isOwnEnd: false, end(processes) {
			processes.signal('front-1', 'SIGTERM');
		},
	},
	{
		title: 'is paused when the run is over', script: endless, isOwnEnd: false, end(processes) {
			processes.signal('front-1', 'SIGSTOP');
			processes.killAll();
		},
	},
	{
		title: 'goes on when the run is interrupted', script: endless, isOwnEnd: false, end() {
			// What Node.js does before this process exits.
			(process.listeners('exit').at(-1) as () => void)();
		},
	},
];

describe('a process of an entry', () => {
	test.each(cases)('that $title', async ({script, isOwnEnd, end}) => {
		let processes: EntryProcesses | undefined;
		const seen = await new Promise<boolean>(resolve => {
			processes = createEntryProcesses({
				command: ['node', '-e', script], logFolder, onStart: () => undefined,
				onExit(_entry, _pid, isOwn) {
					resolve(isOwn);
				},
			});
			processes.start('front-1', '');
			end(processes);
		});
		expect([seen, processes?.isRunning('front-1')]).toEqual([isOwnEnd, false]);
		processes?.killAll();
	});
});
