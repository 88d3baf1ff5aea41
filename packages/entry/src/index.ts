/**
Entry process of pistachiogauge.

@packageDocumentation
*/
export {createKey} from './create-key.js';
export {createEntryProcess, type EntryProcess} from './entry-process.js';
