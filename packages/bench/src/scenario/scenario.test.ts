import {readFileSync} from 'node:fs';
import {describe, expect, test} from 'vitest';
import {parseSoakArguments} from '../soak/soak-arguments.js';
import {runSoak} from '../soak/run-soak.js';
import {allFaults} from '../faults/index.js';
import {
	formatUsage, parseScenario, runScenario, scenarioCommands,
} from './index.js';

const setup = ['seed 1', 'entries 3', 'pool desk instances=2 budget=1', 'service badges pool=desk', 'start'];

type ErrorCase = {readonly lines: readonly string[]; readonly errors: readonly RegExp[]};

// Guards against malformed files that run in part and seem to pass.
const errorCases: readonly ErrorCase[] = [
	{lines: [...setup, 'fly e1'], errors: [/^f:6: unknown command fly/u]},
	{lines: [...setup, 'run soon'], errors: [/^f:6: duration: expected a whole number of milliseconds, not soon/u]},
	{lines: [...setup, 'kill e4'], errors: [/^f:6: entry: expected a declared entry/u]},
	{lines: [...setup, 'send a badges'], errors: [/^f:6: at= is missing/u]},
	{lines: [...setup, 'kill'], errors: [/^f:6: <entry> is missing/u]},
	{lines: [...setup, 'kill e1 e2'], errors: [/^f:6: unexpected word e2/u]},
	{lines: [...setup, 'send a badges at=e1 colour=red'], errors: [/^f:6: unknown option colour=/u]},
	{lines: [...setup, 'pool late instances=1 budget=1'], errors: [/^f:6: pool must come before start/u]},
	{lines: ['run 5', 'x'], errors: [/^f:1: run must come after start/u, /^f:2: unknown command x/u, /^f:2: the scenario never says start/u]},
];

describe('scenario files', () => {
	test.each(errorCases)('errors of $lines', ({lines, errors}) => {
		const found = parseScenario('f', lines.join('\n'), scenarioCommands).errors;
		expect(found).toHaveLength(errors.length);
		for (const [index, pattern] of errors.entries()) {
			expect(found[index]).toMatch(pattern);
		}
	});

	// Guards against a runner that ignores failed expectations.
	test('a failed expectation ends the scenario and is reported with its line', () => {
		const {lines} = parseScenario('f', [...setup, 'expect bundle 9', 'run 10'].join('\n'), scenarioCommands);
		expect(runScenario(lines)).toMatchObject({expected: 'version 9 in force', line: {lineNumber: 6}});
	});

	// Guards against a reference page that misses a command or a change to one.
	test.each(scenarioCommands.map(command => formatUsage(command)))('the reference page lists %s', usage => {
		expect(readFileSync(new URL('../../../../docs/scenarios.md', import.meta.url), 'utf8').split('\n')).toContain(usage);
	});
});

describe('randomised runs', () => {
	test.each([
		{options: {seed: 1, steps: 5}, isAccepted: true},
		{options: {seeds: '1..3', faults: 'entry-kill,flood'}, isAccepted: true},
		{options: {seed: 'x'}, isAccepted: false},
		{options: {seeds: '3..1'}, isAccepted: false},
		{options: {seed: 1, seeds: '1..2'}, isAccepted: false},
		{options: {seed: 1, steps: '1.5'}, isAccepted: false},
		{options: {seed: 1, faults: 'rain'}, isAccepted: false},
		{options: {seed: 1, colour: 'red'}, isAccepted: false},
		{options: {}, isAccepted: false},
	])('command line $options', ({options, isAccepted}) => {
		expect(parseSoakArguments([], options).kind).toBe(isAccepted ? 'accepted' : 'refused');
	});

	// Guards against runs that can't be reproduced from their seed.
	test('a seed always gives the same trace, and another seed a different one', () => {
		const faults = allFaults.filter(fault => fault.isOptIn !== true);
		const [first, second, other] = [4, 4, 5].map(seed => runSoak({seed, stepCount: 400, faults}));
		expect(second!.traceHash).toBe(first!.traceHash);
		expect(other!.traceHash).not.toBe(first!.traceHash);
	});
});
