/**
Structured logging and metrics of a process.

@packageDocumentation
*/
export {createLineWriter, type LineWriter} from './line-writer.js';
export {createLogger, type LineSink, type Logger} from './logger.js';
export {createMetrics, type Metrics} from './metrics.js';
