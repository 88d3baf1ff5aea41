import {readEntrySettings} from '@pistachiogauge/settings';
import {createEntryProcess} from './entry-process.js';

/**
Runs an entry with its own HTTP interface until SIGTERM or SIGINT; a second signal ends the process at once.

@throws SettingsError, ListenError or PeerListenError when the settings cannot be used.
@internal
*/
export async function runEntry(settingsFile: string): Promise<void> {
	const settings = readEntrySettings(settingsFile);
	const entry = createEntryProcess(settings, exitCode => process.exit(exitCode));
	let isStopping = false;
	const stop = () => {
		if (isStopping) {
			process.exit(1);
		}

		isStopping = true;
		entry.requestShutdown();
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
	await entry.start();
}
