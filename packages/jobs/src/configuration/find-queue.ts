import {type Configuration, type Queue} from '../model/index.js';

/** A queue and what stands after its prefix. @public */
export type QueueMatch = {
	readonly queue: Queue;
	/** The rest of the path: a job's id, or nothing. */
	readonly remainingPath: string;
};

/**
Finds the queue for a host and path: the longest prefix that the path begins with.

@param host - Host as the caller named it, without port.
@public
*/
export function findQueue(configuration: Configuration, host: string, path: string): QueueMatch | undefined {
	let best: Queue | undefined;
	for (const queue of configuration.queues) {
		if (queue.host === host && path.startsWith(queue.prefix) && queue.prefix.length > (best?.prefix.length ?? -1)) {
			best = queue;
		}
	}

	return best === undefined ? undefined : {queue: best, remainingPath: path.slice(best.prefix.length)};
}
