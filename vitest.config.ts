import {existsSync, readFileSync} from 'node:fs';
import {configDefaults, defineConfig} from 'vitest/config';

/** Test files that are listed as known failures, each at the start of a line. CI passes over them and prints the list. */
const knownRed = existsSync('KNOWN-RED.txt')
	? [...readFileSync('KNOWN-RED.txt', 'utf8').matchAll(/^(\S+\.test\.ts)\b/gm)].map(([, file]) => file!)
	: [];

export default defineConfig({
	resolve: {conditions: ['source']},
	ssr: {resolve: {conditions: ['source']}},
	test: {
		include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
		exclude: [...configDefaults.exclude, ...(process.env.RUN_KNOWN_RED === undefined ? knownRed : [])],
		testTimeout: 60_000,
		// Starting a cluster of processes takes a few seconds, more on a busy machine.
		hookTimeout: 60_000,
	},
});
