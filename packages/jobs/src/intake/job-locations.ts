import {type JobLocation, type Queue} from '../model/index.js';

/** Creates the location of a job that is submitted to a queue. @internal */
export function createJobLocation({pool, name, host, prefix}: Queue, account: string | undefined): JobLocation {
	return {
		pool, queue: name, host, prefix, account,
	};
}

/** Whether a queue is the one that a job was submitted to: its pool may have changed since, and so may its name or its address. @internal */
export function isQueueOfJob(queue: Pick<Queue, 'name' | 'host' | 'prefix'>, location: JobLocation): boolean {
	return queue.name === location.queue || (queue.host === location.host && queue.prefix === location.prefix);
}

/** Whether callers of an account, or callers without one, may read and cancel a job. A job without an account is open to all that may use its queue. @internal */
export function mayAccessJob(job: {readonly account?: string | undefined}, account: string | undefined): boolean {
	return job.account === undefined || job.account === account;
}
