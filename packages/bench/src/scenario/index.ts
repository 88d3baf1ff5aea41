import {type ScenarioCommand} from './command.js';
import {expectCommands} from './expect-commands.js';
import {faultCommands} from './fault-commands.js';
import {operatorCommands} from './operator-commands.js';
import {callerCommands} from './caller-commands.js';
import {setupCommands} from './setup-commands.js';

export {type ScenarioCommand} from './command.js';
export {formatUsage, parseScenario} from './parse-scenario.js';
export {runScenario} from './run-scenario.js';

/** All commands of the scenario language, those with two-word names first, as the parser takes the first match. */
export const scenarioCommands: readonly ScenarioCommand[] = [
	...expectCommands, ...setupCommands, ...callerCommands, ...faultCommands, ...operatorCommands,
];
