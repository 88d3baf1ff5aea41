// Bundles the binaries into target/, so that an entry starts from a few files.
import {build} from 'esbuild';

await build({
	entryPoints: {
		'pistachiogauge-entry': 'packages/entry/src/main.ts',
		pistachiogauge: 'packages/cli/src/main.ts',
	},
	outdir: 'target',
	bundle: true,
	splitting: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	conditions: ['source'],
	// Some libraries are CommonJS and ask for Node's own modules at run time.
	banner: {js: 'import {createRequire as createRequireForBundle} from \'node:module\'; const require = createRequireForBundle(import.meta.url);'},
	logLevel: 'warning',
});
