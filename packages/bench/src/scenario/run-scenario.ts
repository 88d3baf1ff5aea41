import {type Mismatch, type ScenarioRun} from './command.js';
import {type ScenarioLine} from './parse-scenario.js';

/** A scenario's first line that did not hold. */
export type ScenarioFailure = Mismatch & {readonly line: ScenarioLine};

const pollMs = 10;

/** Runs the lines of one scenario; returns the first that does not hold. @public */
export function runScenario(lines: readonly ScenarioLine[]): ScenarioFailure | undefined {
	const run: ScenarioRun = {
		plan: {
			seed: 1, zones: ['a', 'b', 'c'], entryCount: 3, pools: [], services: [],
		},
		cluster: undefined,
		requests: new Map(),
		calls: new Map(),
		runs: [],
		arrivals: [],
		reboots: [],
	};
	for (const line of lines) {
		const mismatch = runLine(line, run) ?? findBreach(run);
		if (mismatch !== undefined) {
			return {...mismatch, line};
		}
	}

	return undefined;
}

/** Runs one line. With `within=` an expectation may come true until that much virtual time has passed. */
function runLine({command, values}: ScenarioLine, run: ScenarioRun): Mismatch | undefined {
	let mismatch = command.run(run, values);
	const limitMs = values.getNumber('within');
	for (let waitedMs = 0; mismatch !== undefined && waitedMs < limitMs && findBreach(run) === undefined; waitedMs += pollMs) {
		run.cluster!.run(pollMs);
		mismatch = command.run(run, values);
	}

	return mismatch === undefined || limitMs === 0 ? mismatch : {...mismatch, expected: `${mismatch.expected} within ${limitMs} ms`};
}

function findBreach({cluster}: ScenarioRun): Mismatch | undefined {
	const violation = cluster?.simulation.violation;
	return violation === undefined
		? undefined
		: {expected: `invariant ${violation.invariant}`, seen: `${violation.message} (at ${violation.at.toFixed(0)} ms)`};
}
