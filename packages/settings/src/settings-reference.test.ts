import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {formatSettingsReference} from './settings-reference.js';

describe('docs/settings.md', () => {
	// Guards against a page that describes other settings than the entry accepts.
	it('is current', () => {
		const page = readFileSync(new URL('../../../docs/settings.md', import.meta.url), 'utf8');
		expect(page).toBe(formatSettingsReference());
	});
});
