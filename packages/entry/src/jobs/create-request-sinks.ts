import {type JobEffect} from '@pistachiogauge/jobs';
import {type SinkTable} from '@pistachiogauge/pipeline';
import {type CallRunner} from './create-order-sinks.js';
import {createQueuedJobCounter} from './count-queued-jobs.js';
import {decodeRecord, encodeRecord, recordKeys} from './job-records.js';
import {type JobSinkDependencies} from './job-sink-dependencies.js';
import {readJobLocation, storeJob} from './store-job.js';
import {createTemporaryWriter} from './temporary-writer.js';
import {writeResults} from './write-results.js';

/** Effects whose sinks read and write the records that callers ask for. */
type RequestEffect = 'store-job' | 'read-progress' | 'read-job-location' | 'store-early-cancellation' | 'store-cancelled-job' | 'store-cancel' | 'read-reports' | 'count-queued-jobs';

/** Creates the sinks that make the store calls of callers' requests. @internal */
export function createRequestSinks({store, pushEvent}: Pick<JobSinkDependencies, 'store' | 'pushEvent'>, runCall: CallRunner): Pick<SinkTable<JobEffect>, RequestEffect> {
	const writeTemporarily = createTemporaryWriter(store, () => performance.now());
	const countQueuedJobs = createQueuedJobCounter(store, () => performance.now());
	return {
		'store-job'(effect) {
			runCall('store-job', async () => {
				for (const event of await storeJob(store, effect)) {
					pushEvent(event);
				}
			}, {kind: 'job-stored', requestId: effect.requestId, result: 'unknown'});
		},
		'read-progress'({requestId, pool, jobId}) {
			runCall('read-progress', async () => {
				const item = await store.readItem(recordKeys.getProgressKey(pool, jobId));
				const progress = item === undefined ? undefined : decodeRecord('progress', item);
				if (item !== undefined && progress === undefined) {
					// The job exists, so the caller must not be told otherwise.
					throw new Error(`the progress of the job cannot be decoded: ${item.key}, revision ${item.revision}`);
				}

				pushEvent({
					kind: 'progress-read', requestId, result: progress === undefined ? 'absent' : 'found', progress,
				});
			}, {
				kind: 'progress-read', requestId, result: 'failed', progress: undefined,
			});
		},
		'read-job-location'({requestId, jobId}) {
			runCall('read-job-location', async () => {
				const location = await readJobLocation(store, jobId);
				pushEvent({
					kind: 'job-location-read', requestId, result: location === undefined ? 'absent' : 'found', location,
				});
			}, {
				kind: 'job-location-read', requestId, result: 'failed', location: undefined,
			});
		},
		'store-early-cancellation'({requestId, jobId, address}) {
			runCall('store-early-cancellation', async () => {
				const result = await writeTemporarily({key: recordKeys.getJobLocationKey(jobId), revision: 0}, {key: recordKeys.getEarlyCancellationKey(jobId, address), value: encodeRecord({})});
				pushEvent({kind: 'early-cancellation-stored', requestId, result: writeResults[result.kind]});
			}, {kind: 'early-cancellation-stored', requestId, result: 'unknown'});
		},
		'store-cancelled-job'({requestId, jobId, location}) {
			runCall('store-cancelled-job', async () => {
				const key = recordKeys.getJobLocationKey(jobId);
				const result = await writeTemporarily({key, revision: 0}, {key, value: encodeRecord(location)});
				pushEvent({kind: 'cancelled-job-stored', requestId, result: writeResults[result.kind]});
			}, {kind: 'cancelled-job-stored', requestId, result: 'unknown'});
		},
		'store-cancel'({requestId, pool, jobId}) {
			runCall('store-cancel', async () => {
				const key = recordKeys.getCancelKey(pool, jobId);
				const result = await store.applyTransaction({conditions: [{key, revision: 0}], puts: [{key, value: encodeRecord({})}]});
				if (result.kind === 'applied') {
					pushEvent({kind: 'job-cancelled', pool, jobId});
				}

				pushEvent({kind: 'cancel-stored', requestId, result: writeResults[result.kind]});
			}, {kind: 'cancel-stored', requestId, result: 'unknown'});
		},
		'read-reports'({requestId}) {
			runCall('read-reports', async () => {
				const {items} = await store.listItems(recordKeys.reportPrefix);
				const reports = items.map(item => decodeRecord('report', item)).filter(report => report !== undefined);
				pushEvent({
					kind: 'reports-read', requestId, result: 'found', reports,
				});
			}, {
				kind: 'reports-read', requestId, result: 'failed', reports: [],
			});
		},
		'count-queued-jobs'({requestId, pools, queue}) {
			runCall('count-queued-jobs', async () => {
				const counts = await Promise.all(pools.map(async pool => countQueuedJobs(pool)));
				pushEvent({
					kind: 'queued-jobs-counted', requestId, result: 'found', count: counts.reduce((sum, countsByQueue) => sum + (countsByQueue.get(queue) ?? 0), 0),
				});
			}, {
				kind: 'queued-jobs-counted', requestId, result: 'failed', count: 0,
			});
		},
	};
}
