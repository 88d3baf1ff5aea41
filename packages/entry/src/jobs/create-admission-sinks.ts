import {poolClaimPrefix, type JobEffect, type JobEffectOf} from '@pistachiogauge/jobs';
import {type SinkTable} from '@pistachiogauge/pipeline';
import {type CallRunner} from './create-order-sinks.js';
import {decodeAdmission, encodeRecord, recordKeys} from './job-records.js';
import {readJobLocation} from './store-job.js';
import {type JobSinkDependencies} from './job-sink-dependencies.js';
import {writeResults} from './write-results.js';

/** Creates the sinks that read and write the admission records of pools. @internal */
export function createAdmissionSinks({store, pushEvent}: Pick<JobSinkDependencies, 'store' | 'pushEvent'>, runCall: CallRunner): Pick<SinkTable<JobEffect>, 'read-admission' | 'write-admission'> {
	async function readAdmission({requestId, pool, jobId}: JobEffectOf<'read-admission'>): Promise<void> {
		const key = recordKeys.getAdmissionKey(pool);
		const admission = decodeAdmission(await store.readItem(key) ?? {key, value: undefined, revision: 0});
		// These reads come second: a job that was stored before the first one, under an earlier revision, is found.
		const [progress, location] = await Promise.all([store.readItem(recordKeys.getProgressKey(pool, jobId)), readJobLocation(store, jobId)]);
		pushEvent({kind: 'admission-read', requestId, found: {admission, isJobStored: progress !== undefined, location}});
	}

	async function writeAdmission({
		pool, token, requestId, revision, record,
	}: JobEffectOf<'write-admission'>): Promise<void> {
		const key = recordKeys.getAdmissionKey(pool);
		const result = await store.applyTransaction({
			conditions: [{key, revision}, ...(token === undefined ? [] : [{key: `${recordKeys.claimPrefix}${poolClaimPrefix}${pool}`, revision: token}])],
			puts: [{key, value: encodeRecord(record)}],
		});
		pushEvent({
			kind: 'admission-written', pool, requestId, result: writeResults[result.kind], admission: result.kind === 'applied' ? {pool, revision: result.revision, record} : undefined,
		});
	}

	return {
		'read-admission'(effect) {
			runCall('read-admission', async () => readAdmission(effect), {kind: 'admission-read', requestId: effect.requestId, found: undefined});
		},
		'write-admission'(effect) {
			const {pool, requestId} = effect;
			runCall('write-admission', async () => writeAdmission(effect), {
				kind: 'admission-written', pool, requestId, result: 'unknown', admission: undefined,
			});
		},
	};
}
