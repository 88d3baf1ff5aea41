/**
Command line for operators.

@packageDocumentation
*/
export {callEntry, type CallOptions} from './call-entry.js';
export {CliError} from './cli-error.js';
export {explainLogs, type Explanation, type LogRecord} from './explain-logs.js';
export {runCommandLine, type CommandExitCode, type CommandOutput} from './run-command-line.js';
