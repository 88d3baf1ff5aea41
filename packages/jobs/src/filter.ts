import {
	emitEffect, type ChainFilter, type ChainOutput,
} from '@pistachiogauge/chain';
import {type JobEffect, type JobEvent, type LogLevel} from './model/index.js';

/** Event or effect returned by a handler of the jobs chain. @public */
export type JobOutput = ChainOutput<JobEvent, JobEffect>;

/** One stage of the jobs chain; `State` is the part of the state that it reads and changes. @public */
export type JobFilter<State> = ChainFilter<State, JobEvent, JobEffect>;

/** Creates the effect that writes a line to the log. @internal */
export function emitLog(level: LogLevel, message: string, fields: Readonly<Record<string, unknown>>): JobOutput {
	return emitEffect({
		kind: 'log', level, message, fields,
	});
}

/** Creates the effect that adds to a counter. @internal */
export function emitCount(metric: string, by = 1): JobOutput {
	return emitEffect({kind: 'count', metric, by});
}
