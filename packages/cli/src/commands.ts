import {auditCommands} from './audit-commands.js';
import {bundleCommands} from './bundle-commands.js';
import {type Command} from './command.js';
import {logCommands} from './log-commands.js';
import {placeCommands} from './place-commands.js';
import {poolCommands} from './pool-commands.js';
import {statusCommands} from './status-commands.js';

/** All commands, in the order in which the help lists them. @internal */
export const commands: readonly Command[] = [
	...statusCommands,
	...poolCommands,
	...bundleCommands,
	...auditCommands,
	...logCommands,
	...placeCommands,
];
