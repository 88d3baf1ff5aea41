/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['**/dist/**', 'target/**', '**/*_pb.ts', 'coverage/**', 'vitest.config.ts'],
	},
	{
		files: ['**/*.ts'],
		rules: {
			'n/prefer-global/process': ['error', 'always'],
			'n/prefer-global/buffer': ['error', 'always'],
			// Servers and command lines end their process with an exit code.
			'unicorn/no-process-exit': 'off',
			// Background work that must not reject is clearer with .catch() and .finally() than with a wrapping function.
			'promise/prefer-await-to-then': 'off',
			// Handlers of keyed records take state, pool, key, value and context.
			'max-params': ['error', 5],
		},
	},
	{
		files: ['packages/{chain,decisions,entry,jobs}/src/**/!(*.test|*.test-support).ts', 'platform/src/**/!(*.test|*.test-support).ts'],
		rules: {
			// Arguments lie on the call stack, so a list that grows with the work overflows it.
			'no-restricted-syntax': ['error', {
				selector: 'CallExpression[callee.property.name=/^(push|unshift)$/] > SpreadElement',
				message: 'Append the items with appendItems or a loop.',
			}],
		},
	},
	{
		// Vitest and fast-check are development dependencies of the workspace.
		files: ['**/*.test.ts', '**/*.test-support.ts'],
		rules: {
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
	{
		// Names of the key-value services' and the platform's protocols and URL paths are not ours to choose.
		files: ['packages/store/src/**/*.ts', 'packages/standins/src/**/*.ts', 'packages/http/src/caller-server.ts', 'platform/src/**/*.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
];

export default config;
