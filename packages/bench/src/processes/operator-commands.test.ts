import {join} from 'node:path';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {runCommandLine} from '@pistachiogauge/cli';
import {type LocalCluster} from '../local-cluster.js';
import {createTestCluster, waitUntilSettled} from './test-cluster.js';

let cluster: LocalCluster;

beforeAll(async () => {
	cluster = await createTestCluster();
	await waitUntilSettled(cluster);
});

afterAll(async () => {
	await cluster.stop();
});

/** Runs a command against one entry, which sends it on when another entry owns the pool. */
async function run(line: string, index = 0): Promise<{code: number; text: string}> {
	let text = '';
	const write = (part: string) => {
		text += part;
	};

	const access = ['--entry', cluster.entries[index]!.address, '--operator', 'demo', '--key', join(cluster.folder, 'operator.pem')];
	const code = await runCommandLine([...line.split(' '), ...access], {writeResult: write, writeError: write});
	return {code, text};
}

async function waitFor(line: string, expected: RegExp, limitMs = 20_000): Promise<void> {
	let last = '';
	await cluster.waitUntil(`${line} shows ${expected.source}`, async () => {
		const {text} = await run(line);
		last = text;
		return expected.test(last);
	}, limitMs).catch((error: unknown) => {
		throw new Error(`${String(error)}; the last answer was ${last}`);
	});
}

describe('operator commands on real processes', () => {
	// Guards against commands that work at the owner only, and against steps that real stores and platforms do not let end.
	it('drains, refuses beyond the budget, returns and moves an instance, and audits each step', async () => {
		await waitFor('pool status badge-desk', /badge-desk-1\s.*serving[\s\S]*badge-desk-2\s.*serving/u);
		await cluster.waitUntil('the drain is accepted', async () => {
			const {code} = await run('drain badge-desk badge-desk-1', 1);
			return code === 0;
		});
		const refused = await run('drain badge-desk badge-desk-2', 2);
		expect(refused.code).toBe(1);
		expect(refused.text).toContain('budget is 1: badge-desk-1 draining');
		await waitFor('pool status badge-desk', /badge-desk-1\s.*stopped/u);
		expect(await run('undrain badge-desk badge-desk-1', 2)).toMatchObject({code: 0});
		await waitFor('pool status badge-desk', /badge-desk-1\s.*serving/u);
		expect(await run('move admin admin-2 badge-desk', 1)).toMatchObject({code: 0});
		await waitFor('pool status badge-desk', /admin-2\s.*serving/u);
		await waitFor('audit --pool badge-desk', /drain\s+pool badge-desk instance badge-desk-1\s+done[\s\S]*refused[\s\S]*chains of all entries are whole/u);
	}, 120_000);

	it('maintains every instance of a pool in a wave', async () => {
		expect(await run('wave plan badge-desk', 1)).toMatchObject({code: 0});
		expect(await run('wave start badge-desk', 2)).toMatchObject({code: 0});
		// Three instances one after the other; each is given 10 s for its reboot to begin.
		await waitFor('wave status badge-desk', /state\s+done/u, 90_000);
	}, 120_000);
});
