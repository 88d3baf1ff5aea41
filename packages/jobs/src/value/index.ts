export {
	computeJobValue, computePriorityFactor, computeSizeValue, computeTimeliness, lateFactor, lateShare,
} from './job-value.js';
export {
	classifySize, createQueueWork, estimateWorkRatio, recordQueueWork, type JobSize, type QueueWork,
} from './queue-work.js';
export {
	createQueueService, isSizeShort, recordOutcome, type GuardedSize, type QueueService, type ServiceCount,
} from './size-guard.js';
