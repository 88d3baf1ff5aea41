/**
Entry process of pistachiogauge.

@packageDocumentation
*/
export {createEntryProcess, type EntryProcess} from './entry-process.js';
