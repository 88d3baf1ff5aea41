#!/usr/bin/env node
import {ListenError} from '@pistachiogauge/http';
import {PeerListenError} from '@pistachiogauge/peer';
import {readEntrySettings, SettingsError} from '@pistachiogauge/settings';
import {cac} from 'cac';
import {createEntryProcess} from './entry-process.js';

const usageExitCode = 2;

const program = cac('pistachiogauge-entry');
program
	.command('<settings>', 'Run an entry with an INI settings file')
	.example('pistachiogauge-entry /etc/pistachiogauge/entry.ini')
	.action(runEntry);
program.help();
program.version('0.1.0');

async function runEntry(settingsFile: string): Promise<void> {
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

try {
	program.parse(process.argv, {run: false});
	if (program.args.length === 0 && !program.options.help && !program.options.version) {
		program.outputHelp();
		process.exitCode = usageExitCode;
	}

	await program.runMatchedCommand();
} catch (error) {
	const isUsage = error instanceof SettingsError || error instanceof ListenError || error instanceof PeerListenError || (error instanceof Error && error.name === 'CACError');
	process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
	process.exit(isUsage ? usageExitCode : 1);
}
