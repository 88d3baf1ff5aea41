#!/usr/bin/env node
import {runCommandLine} from './run-command-line.js';

process.exitCode = await runCommandLine(process.argv.slice(2), {
	writeResult(text) {
		process.stdout.write(text);
	},
	writeError(text) {
		process.stderr.write(text);
	},
});
