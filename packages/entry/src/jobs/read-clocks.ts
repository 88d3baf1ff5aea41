import {type Clocks} from '@pistachiogauge/jobs';

/** Reads both clocks of this process. @internal */
export function readClocks(): Clocks {
	return {now: performance.now(), wallTime: Date.now()};
}
