/**
Command line for operators.

@packageDocumentation
*/
export {callEntry, type CallOptions} from './call-entry.js';
export {CliError} from './cli-error.js';
export {runCommandLine, type CommandExitCode, type CommandOutput} from './run-command-line.js';
