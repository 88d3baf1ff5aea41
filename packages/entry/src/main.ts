#!/usr/bin/env node
import {cac} from 'cac';

const usageExitCode = 2;
/** Errors that the operator's settings cause; compared by name, so that only the code of the chosen command is loaded. */
const usageErrors: ReadonlySet<string> = new Set(['SettingsError', 'PlatformSettingsError', 'ListenError', 'PeerListenError', 'CACError']);

const program = cac('pistachiogauge-entry');
program
	.command('jobs', 'Run an entry on the operators\' platform, with the settings file that PISTACHIOGAUGE_CONFIG names')
	.action(async () => {
		const {runJobs} = await import('./jobs/run-jobs.js');
		await runJobs();
	});
program
	.command('<settings>', 'Run an entry with an INI settings file')
	.example('pistachiogauge-entry /etc/pistachiogauge/entry.ini')
	.action(async (settingsFile: string) => {
		const {runEntry} = await import('./run-entry.js');
		await runEntry(settingsFile);
	});
program.help();
program.version('0.1.0');

try {
	program.parse(process.argv, {run: false});
	if (program.args.length === 0 && program.matchedCommandName !== 'jobs' && !program.options.help && !program.options.version) {
		program.outputHelp();
		process.exitCode = usageExitCode;
	}

	await program.runMatchedCommand();
} catch (error) {
	const isUsage = error instanceof Error && usageErrors.has(error.name);
	process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
	process.exit(isUsage ? usageExitCode : 1);
}
