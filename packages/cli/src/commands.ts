import {auditCommands} from './audit-commands.js';
import {bundleCommands} from './bundle-commands.js';
import {type Command} from './command.js';
import {poolCommands} from './pool-commands.js';
import {statusCommands} from './status-commands.js';

/** The commands of the program, in the order of its help. @internal */
export const commands: readonly Command[] = [
	...statusCommands,
	...poolCommands,
	...bundleCommands,
	...auditCommands,
];
