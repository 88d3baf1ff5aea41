import {type Mismatch, type ScenarioRun} from './command.js';
import {type ScenarioLine} from './parse-scenario.js';

/** The first line of a scenario that failed. */
export type ScenarioFailure = Mismatch & {readonly line: ScenarioLine};

const pollIntervalMs = 10;

/** Runs the lines of one scenario and returns the first that fails. @public */
export function runScenario(lines: readonly ScenarioLine[]): ScenarioFailure | undefined {
	const run: ScenarioRun = {
		clusterOptions: {
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
		const mismatch = runLine(line, run) ?? findViolation(run);
		if (mismatch !== undefined) {
			return {...mismatch, line};
		}
	}

	return undefined;
}

/** Runs one line. With `within=`, an expectation is checked repeatedly until it holds or that much virtual time has passed. */
function runLine({command, values}: ScenarioLine, run: ScenarioRun): Mismatch | undefined {
	let mismatch = command.run(run, values);
	const timeoutMs = values.getNumber('within');
	for (let waitedMs = 0; mismatch !== undefined && waitedMs < timeoutMs && findViolation(run) === undefined; waitedMs += pollIntervalMs) {
		run.cluster!.run(pollIntervalMs);
		mismatch = command.run(run, values);
	}

	return mismatch === undefined || timeoutMs === 0 ? mismatch : {...mismatch, expected: `${mismatch.expected} within ${timeoutMs} ms`};
}

function findViolation({cluster}: ScenarioRun): Mismatch | undefined {
	const violation = cluster?.simulation.violation;
	return violation === undefined
		? undefined
		: {expected: `invariant ${violation.invariant}`, actual: `${violation.message} (at ${violation.at.toFixed(0)} ms)`};
}
