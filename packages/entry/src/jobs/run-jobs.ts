import {readPlatformSettings, settingsVariable} from '@pistachiogauge/platform';
import {createJobsProcess} from './jobs-process.js';

/**
Runs an entry on the operators' platform until SIGTERM or SIGINT.

@throws PlatformSettingsError when the settings cannot be used.
@internal
*/
export async function runJobs(): Promise<void> {
	const entry = createJobsProcess(readPlatformSettings(process.env[settingsVariable] ?? ''));
	let isStopping = false;
	const stop = () => {
		if (isStopping) {
			return;
		}

		isStopping = true;
		void entry.stop().finally(() => {
			process.exit(0);
		});
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
	process.on('SIGHUP', () => {
		entry.handleReloadSignal();
	});
	await entry.start();
}
