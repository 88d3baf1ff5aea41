import {type Command} from './command.js';
import {expectCommands} from './expect-commands.js';
import {faultCommands} from './fault-commands.js';
import {operatorCommands} from './operator-commands.js';
import {callerCommands} from './run-commands.js';
import {setupCommands} from './setup-commands.js';

export {type Command} from './command.js';
export {formatUsage, parseScenario} from './parse-scenario.js';
export {runScenario} from './run-scenario.js';

/** The scenario language: every command, longer names first. */
export const scenarioCommands: readonly Command[] = [
	...expectCommands, ...setupCommands, ...callerCommands, ...faultCommands, ...operatorCommands,
];
