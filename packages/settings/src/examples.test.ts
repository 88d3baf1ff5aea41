import {
	copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {describe, expect, it} from 'vitest';
import {createKeyPair} from './bundle-signature.js';
import {parseBundle} from './bundle-text.js';
import {readEntrySettings} from './entry-settings.js';

const examples = fileURLToPath(new URL('../../../examples/', import.meta.url));
const deployments = [
	{folder: 'kapikayit', spare: 'admin', operator: 'ana'},
	{folder: 'ceara-circulara', spare: 'internal-tools', operator: 'mihai'},
];
/** Smallest number of instances in a pool, as given in section 1.1 of the design page. */
const smallestPoolSize = 6;

// Guards against schema changes that make the example configurations invalid.
describe.each(deployments)('the example of $folder', ({folder, spare, operator}) => {
	const file = join(examples, folder, 'bundle.ini');

	it('is a valid bundle of five pools with one spare pool', () => {
		const bundle = parseBundle(readFileSync(file, 'utf8'), file);
		const pools = Object.entries(bundle.pools);
		expect(pools).toHaveLength(5);
		expect(pools.filter(([, pool]) => pool.isSpare).map(([name]) => name)).toEqual([spare]);
		for (const [name, pool] of pools) {
			expect(pool.slotsPerInstance, name).toBe(8);
			// With a budget of 0, no instance of the pool could be maintained or lent.
			expect(pool.budget, name).toBeGreaterThanOrEqual(1);
			expect(pool.minInstances, name).toBeLessThanOrEqual(name === 'badge-desk' ? 9 : smallestPoolSize);
		}

		expect(new Set(Object.values(bundle.services).map(service => service.pool)).size).toBe(5);
	});

	it('has valid entry settings', () => {
		const copy = mkdtempSync(join(tmpdir(), 'pistachiogauge-example-'));
		try {
			copyFileSync(join(examples, folder, 'entry.ini'), join(copy, 'entry.ini'));
			writeFileSync(join(copy, 'peer.secret'), 'a secret of the test, long enough\n', {mode: 0o600});
			writeFileSync(join(copy, `${operator}.pem.pub`), createKeyPair().publicKey);
			expect(readEntrySettings(join(copy, 'entry.ini'))).toMatchObject({name: 'entry-1', operatorKeys: {[operator]: expect.stringContaining('PUBLIC KEY') as string}});
		} finally {
			rmSync(copy, {recursive: true});
		}
	});
});
