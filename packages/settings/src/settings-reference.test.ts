import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {formatSettingsReference} from './settings-reference.js';

describe('docs/settings.md', () => {
	// Guards against a reference page that no longer matches the settings that the entry accepts.
	it('matches the schema', () => {
		const page = readFileSync(new URL('../../../docs/settings.md', import.meta.url), 'utf8');
		expect(page).toBe(formatSettingsReference());
	});
});
