import {execFile} from 'node:child_process';
import {access} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {describe, expect, it} from 'vitest';

const run = promisify(execFile);

/** Guards against executables that npm cannot link; `npx` would then download a package of that name from the registry. */
const launchers = [
	{
		name: 'pistachiogauge', file: '../bin/pistachiogauge.js', args: ['--help'], expected: 'Usage',
	},
	{
		name: 'pistachiogauge-entry', file: '../../entry/bin/pistachiogauge-entry.js', args: ['--help'], expected: 'pistachiogauge-entry',
	},
];

describe('launchers', () => {
	it.each(launchers)('$name is linked and starts', async ({name, file, args, expected}) => {
		const path = fileURLToPath(new URL(file, import.meta.url));
		await access(fileURLToPath(new URL(`../../../node_modules/.bin/${name}`, import.meta.url)));
		const {stdout, stderr} = await run(process.execPath, [path, ...args]).catch((error: unknown) => error as {readonly stdout: string; readonly stderr: string});
		expect(stdout + stderr).toContain(expected);
	});
});
