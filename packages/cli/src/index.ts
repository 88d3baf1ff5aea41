/**
Command line for operators.

@packageDocumentation
*/
export {callEntry, type CallOptions} from './call-entry.js';
export {CliError} from './cli-error.js';
