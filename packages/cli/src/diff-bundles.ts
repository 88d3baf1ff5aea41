import {type Bundle} from '@pistachiogauge/model';

/** A setting that differs between two bundles; undefined on the side where it is absent. @public */
export type BundleChange = {
	readonly section: string;
	readonly key: string;
	readonly old: unknown;
	readonly new: unknown;
};

/** Lists the settings whose parsed values differ; order and layout of the texts are ignored. @public */
export function listBundleChanges(older: Bundle, newer: Bundle): BundleChange[] {
	const oldSettings = listSettings(older);
	const newSettings = listSettings(newer);
	const names = [...new Set([...oldSettings.keys(), ...newSettings.keys()])].sort();
	const changes: BundleChange[] = [];
	for (const name of names) {
		const [section = '', key = ''] = name.split('\n');
		const change = {
			section, key, old: oldSettings.get(name), new: newSettings.get(name),
		};
		if (JSON.stringify(change.old) !== JSON.stringify(change.new)) {
			changes.push(change);
		}
	}

	return changes;
}

function listSettings({pools, services, teams, version, expiresAt}: Bundle): Map<string, unknown> {
	const settings = new Map<string, unknown>([['bundle\nversion', version], ['bundle\nexpiresAt', expiresAt]]);
	for (const [kind, sections] of Object.entries({pool: pools, service: services, team: teams})) {
		for (const [name, section] of Object.entries<Readonly<Record<string, unknown>>>(sections)) {
			for (const [key, value] of Object.entries(section)) {
				settings.set(`${kind}.${name}\n${key}`, value);
			}
		}
	}

	return settings;
}
