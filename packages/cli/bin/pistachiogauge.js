#!/usr/bin/env node
// Stands in the repository, as npm links binaries when it installs, before anything is built.
import {existsSync} from 'node:fs';
import process from 'node:process';

const main = new URL('../dist/main.js', import.meta.url);
if (existsSync(main)) {
	await import(main.href);
} else {
	process.stderr.write('pistachiogauge is not built yet: run `npm run build` first\n');
	process.exitCode = 2;
}
