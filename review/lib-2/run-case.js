import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {createRecord} from './record.js';

/** Longest time of a case, below the 120 s that a script may take. */
const timeLimitMs = 110_000;

/**
Runs a case and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

@param moduleUrl - Of the case's script; the record is written beside it.
@param play - Plays the case, with `isTroubled` false for a run without the disturbance. Returns what broke the rule, or an empty list. Everything that is added to `closers` is closed at the end.
*/
export async function runCase(moduleUrl, play) {
	const record = createRecord(path.dirname(fileURLToPath(moduleUrl)));
	const isTroubled = process.env.TROUBLE !== '0';
	const closers = [];
	let code = 2;
	record.add(`the case begins ${isTroubled ? 'with' : 'without'} the disturbance`);
	try {
		const faults = await Promise.race([
			play({record, isTroubled, closers}),
			new Promise((_resolve, reject) => {
				setTimeout(() => {
					reject(new Error('the case took too long'));
				}, timeLimitMs).unref();
			}),
		]);
		for (const fault of faults) {
			record.add(`RULE BROKEN: ${fault}`);
			console.log(`rule broken: ${fault}`);
		}

		if (faults.length === 0) {
			record.add('the rule held');
			console.log('the rule held');
		}

		code = faults.length > 0 ? 1 : 0;
	} catch (error) {
		record.add(`the case could not run: ${error.stack}`);
		console.log(`the case could not run: ${error.message}`);
	}

	for (const close of closers.reverse()) {
		close();
	}

	record.write();
	// Servers and timers of the stand-ins may still be open.
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
}
