/** Number of the newest jobs of a queue whose work is kept. */
const sampleCount = 100;
/** Number of jobs whose weight the assumption has that all jobs of a queue are equally large. */
const priorCount = 4;
/** Number of jobs from which a job counts as large or medium. */
const minClassifiedCount = 10;
/** Shares of a queue's jobs that are smaller than its large ones, and than its large and medium ones. */
const largeQuantile = 0.9;
const mediumQuantile = 0.7;

/** Work of the newest jobs of a queue, each in thousandths of a core times ms. @public */
export type QueueWork = {
	/** Overwritten in turn once there are enough. */
	readonly samples: number[];
	nextIndex: number;
	/** What the samples yield; undefined after a change. */
	summary: {readonly mean: number; readonly largeLimit: number; readonly mediumLimit: number} | undefined;
};

/** Size of a job within its queue: `large` is the largest tenth, `medium` the fifth below it. @public */
export type JobSize = 'large' | 'medium' | 'small';

/** @public */
export function createQueueWork(): QueueWork {
	return {samples: [], nextIndex: 0, summary: undefined};
}

/** Records the work of a job of the queue, in thousandths of a core times ms. @public */
export function recordQueueWork(queue: QueueWork, work: number): void {
	queue.samples[queue.nextIndex] = work;
	queue.nextIndex = (queue.nextIndex + 1) % sampleCount;
	queue.summary = undefined;
}

/**
Estimates the ratio of a job's work to the mean work of its queue.

With few samples the ratio stays near 1, so that an unusual first job does not decide what all others are worth.

@param work - In thousandths of a core times ms.
@public
*/
export function estimateWorkRatio(queue: QueueWork, work: number): number {
	const {mean} = getSummary(queue);
	const count = queue.samples.length;
	return mean <= 0 ? 1 : 1 + ((count / (count + priorCount)) * ((work / mean) - 1));
}

/** Classifies a job by its size within its queue; while little is known, and among jobs of equal size, all are small. @param work - In thousandths of a core times ms. @public */
export function classifySize(queue: QueueWork, work: number): JobSize {
	if (queue.samples.length < minClassifiedCount) {
		return 'small';
	}

	const {largeLimit, mediumLimit} = getSummary(queue);
	if (work > largeLimit) {
		return 'large';
	}

	return work > mediumLimit ? 'medium' : 'small';
}

function getSummary(queue: QueueWork): NonNullable<QueueWork['summary']> {
	if (queue.summary === undefined) {
		const {samples} = queue;
		const sorted = Float64Array.from(samples).sort();
		const getQuantile = (share: number) => sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? 0;
		queue.summary = {
			mean: samples.length === 0 ? 0 : samples.reduce((sum, work) => sum + work, 0) / samples.length,
			largeLimit: getQuantile(largeQuantile),
			mediumLimit: getQuantile(mediumQuantile),
		};
	}

	return queue.summary;
}
