import {type Clocks} from '@pistachiogauge/jobs';

/** Time without any event that counts as a pause; a tick is due every 25 ms, and a busy loop falls behind by less. */
const minPauseMs = 500;

/**
Creates a function that is called with both clocks at each event and returns the duration of a pause since the last one in ms, or undefined if there was none.

The monotonic clock does not count the time for which a machine is suspended, so the clock that has advanced more counts. A step of the wall clock looks like a pause as well; that costs only a confirmation of the lease.

@internal
*/
export function createPauseMeter(start: Clocks): (clocks: Clocks) => number | undefined {
	let last = start;
	return clocks => {
		const pausedMs = Math.max(clocks.now - last.now, clocks.wallTime - last.wallTime);
		last = clocks;
		return pausedMs >= minPauseMs ? pausedMs : undefined;
	};
}
