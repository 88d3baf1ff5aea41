/**
Entry process of pistachiogauge.

@packageDocumentation
*/
export {createIdempotencyKey} from './create-idempotency-key.js';
export {createEntryProcess, type EntryProcess} from './entry-process.js';
