import {join} from 'node:path';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {runCommandLine} from '@pistachiogauge/cli';
import {type LocalCluster} from '../local-cluster.js';
import {createTestCluster, waitUntilEntriesAgree} from './test-cluster.js';

let cluster: LocalCluster;

beforeAll(async () => {
	cluster = await createTestCluster();
	await waitUntilEntriesAgree(cluster);
});

afterAll(async () => {
	await cluster.stop();
});

/** Runs a command at one entry, which forwards it if another entry owns the pool. */
async function runCommand(line: string, index = 0): Promise<{code: number; text: string}> {
	let text = '';
	const write = (part: string) => {
		text += part;
	};

	const access = ['--entry', cluster.entries[index]!.address, '--operator', 'demo', '--key', join(cluster.folder, 'operator.pem')];
	const code = await runCommandLine([...line.split(' '), ...access], {writeResult: write, writeError: write});
	return {code, text};
}

async function waitForOutput(line: string, expected: RegExp, timeoutMs = 20_000): Promise<void> {
	let lastOutput = '';
	await cluster.waitUntil(`${line} shows ${expected.source}`, async () => {
		const {text} = await runCommand(line);
		lastOutput = text;
		return expected.test(lastOutput);
	}, timeoutMs).catch((error: unknown) => {
		throw new Error(`${String(error)}; the last answer was ${lastOutput}`);
	});
}

describe('operator commands on real processes', () => {
	// Guards against commands that work only at the owner, and against steps that don't finish with separate store and platform processes.
	it('drains, rejects a drain beyond the budget, undrains and moves an instance, and audits each step', async () => {
		await waitForOutput('pool status badge-desk', /badge-desk-1\s.*serving[\s\S]*badge-desk-2\s.*serving/u);
		await cluster.waitUntil('the drain is accepted', async () => {
			const {code} = await runCommand('drain badge-desk badge-desk-1', 1);
			return code === 0;
		});
		const refused = await runCommand('drain badge-desk badge-desk-2', 2);
		expect(refused.code).toBe(1);
		expect(refused.text).toContain('budget is 1: badge-desk-1 draining');
		await waitForOutput('pool status badge-desk', /badge-desk-1\s.*stopped/u);
		expect(await runCommand('undrain badge-desk badge-desk-1', 2)).toMatchObject({code: 0});
		await waitForOutput('pool status badge-desk', /badge-desk-1\s.*serving/u);
		expect(await runCommand('move admin admin-2 badge-desk', 1)).toMatchObject({code: 0});
		await waitForOutput('pool status badge-desk', /admin-2\s.*serving/u);
		await waitForOutput('audit --pool badge-desk', /drain\s+pool badge-desk instance badge-desk-1\s+done[\s\S]*refused[\s\S]*chains of all entries are whole/u);
	}, 120_000);

	it('maintains each instance of a pool in a wave', async () => {
		expect(await runCommand('wave plan badge-desk', 1)).toMatchObject({code: 0});
		expect(await runCommand('wave start badge-desk', 2)).toMatchObject({code: 0});
		// Three instances are maintained one after the other; each has 10 s for its reboot to start.
		await waitForOutput('wave status badge-desk', /state\s+done/u, 90_000);
	}, 120_000);
});
