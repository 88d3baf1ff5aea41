/**
Event stream of a process, from input events to effects.

@packageDocumentation
*/
export {
	createPipeline, type Pipeline, type PipelineOptions, type SinkTable,
} from './pipeline.js';
