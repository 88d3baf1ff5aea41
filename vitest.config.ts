import {defineConfig} from 'vitest/config';

export default defineConfig({
	resolve: {conditions: ['source']},
	ssr: {resolve: {conditions: ['source']}},
	test: {
		include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
		testTimeout: 60_000,
		// Starting a cluster of processes takes a few seconds, more on a busy machine.
		hookTimeout: 60_000,
	},
});
