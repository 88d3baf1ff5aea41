/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['**/dist/**', '**/*_pb.ts', 'coverage/**'],
	},
	{
		files: ['**/*.ts'],
		rules: {
			// Servers and command lines end their process with an exit code.
			'unicorn/no-process-exit': 'off',
			// Background work that must not reject is clearer with .catch() and .finally() than with a wrapping function.
			'promise/prefer-await-to-then': 'off',
			// Handlers of keyed records take state, pool, key, value and context.
			'max-params': ['error', 5],
		},
	},
	{
		// Names of the key-value service's protocol are not ours to choose.
		files: ['packages/store/src/**/*.ts', 'packages/standins/src/**/*.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
];

export default config;
