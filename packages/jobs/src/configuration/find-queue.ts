import {type Configuration, type Queue} from '../model/index.js';

/** A queue selected by a request, and the part of the path after the queue's prefix. @public */
export type QueueMatch = {
	readonly queue: Queue;
	/** Path after the prefix: a job's id, or empty. */
	readonly remainingPath: string;
};

/**
Finds the queue with the longest matching prefix for a host and path.

@param host - Host as given by the caller, in the form in which the hosts of queues are compared: lower case, without port and final dot.
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
