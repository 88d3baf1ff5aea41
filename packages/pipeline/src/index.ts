/**
The event stream of a process.

@packageDocumentation
*/
export {
	createPipeline, type Pipeline, type PipelineOptions, type SinkTable,
} from './pipeline.js';
