/**
Entry process of pistachiogauge.

@packageDocumentation
*/
export {createIdempotencyKey} from './create-key.js';
export {createEntryProcess, type EntryProcess} from './entry-process.js';
