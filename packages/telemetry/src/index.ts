/**
Structured logs and metrics of a process.

@packageDocumentation
*/
export {createLogger, type Logger} from './logger.js';
export {createMetrics, type Metrics} from './metrics.js';
