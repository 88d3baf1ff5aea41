import {type Configuration, type Queue} from '../model/index.js';

/** A queue selected by a request, and the part of the path after the queue's prefix. @public */
export type QueueMatch = {
	readonly queue: Queue;
	/** Path after the prefix: a job's id, or empty. */
	readonly remainingPath: string;
};

/**
Finds the queue with the longest matching prefix for a host and path. Of several with the same host and prefix it is the first by name, in whichever order they are configured.

@param host - Host as given by the caller, in the form in which the hosts of queues are compared: lower case, without port and final dot.
@public
*/
export function findQueue(configuration: Configuration, host: string, path: string): QueueMatch | undefined {
	let best: Queue | undefined;
	for (const queue of configuration.queues) {
		if (queue.host === host && path.startsWith(queue.prefix) && (best === undefined || isSelectedBefore(queue, best))) {
			best = queue;
		}
	}

	return best === undefined ? undefined : {queue: best, remainingPath: path.slice(best.prefix.length)};
}

/** Lists the queues that no request can select, as another one has the same host and prefix. @public */
export function listHiddenQueues({queues}: Pick<Configuration, 'queues'>): string[] {
	const selected = new Map<string, Queue>();
	const hidden: string[] = [];
	for (const queue of [...queues].sort((left, right) => left.name < right.name ? -1 : 1)) {
		const address = JSON.stringify([queue.host, queue.prefix]);
		if (selected.has(address)) {
			hidden.push(queue.name);
		} else {
			selected.set(address, queue);
		}
	}

	return hidden;
}

function isSelectedBefore(queue: Queue, other: Queue): boolean {
	return queue.prefix.length === other.prefix.length ? queue.name < other.name : queue.prefix.length > other.prefix.length;
}
