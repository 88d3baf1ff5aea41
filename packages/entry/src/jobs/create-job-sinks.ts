import {setTimeout as delay} from 'node:timers/promises';
import {
	rosterRecordKey, type JobEffect, type JobEffectOf, type PoolReport, type ProgressRecord,
} from '@pistachiogauge/jobs';
import {
	encodeWaveStatus, type ChangeResult, type StoreChange,
} from '@pistachiogauge/platform';
import {type SinkTable} from '@pistachiogauge/pipeline';
import {createOrderSinks, type CallRunner} from './create-order-sinks.js';
import {followPool} from './follow-pool.js';
import {
	followEndpoints, followFleet, type StopFollowing,
} from './follow-records.js';
import {createRecordWriter, rewritePauseMs} from './record-writer.js';
import {
	createProgress, createStoredJob, decodeRecord, encodeRecord, recordKeys,
} from './job-records.js';
import {type JobParts} from './job-parts.js';

type WriteResult = 'applied' | 'conflict' | 'refused' | 'unknown';

const writeResults: Readonly<Record<ChangeResult['kind'], WriteResult>> = {
	applied: 'applied', conflict: 'conflict', refused: 'refused', unknown: 'unknown', 'lease-gone': 'refused',
};

/** Carries out the effects of the jobs chain. @internal */
export function createJobSinks(parts: JobParts): SinkTable<JobEffect> {
	const {store, session, pushEvent, metrics, log} = parts;
	const pools = new Map<string, StopFollowing>();
	let stopEndpoints: StopFollowing | undefined;
	let stopFleet: StopFollowing | undefined;

	/** Runs a call whose outcome is told by an event; what goes wrong in between is logged. */
	const run: CallRunner = (name, call, failed) => {
		call().catch((error: unknown) => {
			log('warn', 'call failed', {call: name, error: String(error)});
			if (failed !== undefined) {
				pushEvent(failed);
			}
		});
	};

	const writeRecord = createRecordWriter(store, log);

	function getFleetCondition(): StoreChange['conditions'] {
		const token = parts.state.fleet.token ?? 0;
		return [{key: `${recordKeys.claimPrefix}fleet`, revision: token}];
	}

	/** Endpoints are of interest to entries that own something. */
	function updateEndpoints(): void {
		const isWanted = pools.size > 0;
		if (isWanted && stopEndpoints === undefined) {
			stopEndpoints = followEndpoints(parts.follow);
		}

		if (!isWanted && stopEndpoints !== undefined) {
			stopEndpoints();
			stopEndpoints = undefined;
			parts.state.directory.listedAt = undefined;
		}
	}

	async function storeJob({requestId, job}: JobEffectOf<'store-job'>): Promise<void> {
		const progressKey = recordKeys.getProgressKey(job.pool, job.id);
		const result = await store.changeItems({
			conditions: [{key: progressKey, revision: 0}],
			puts: [
				{key: recordKeys.getJobKey(job.pool, job.id), value: encodeRecord(job)},
				{key: progressKey, value: encodeRecord(createProgress(job))},
			],
		});
		if (result.kind === 'applied') {
			// The owner hears of it from its watch; where this entry is the owner, at once.
			pushEvent({kind: 'job-recorded', stored: createStoredJob(job, result.revision)});
		}

		if (result.kind === 'unknown') {
			const item = await store.readItem(progressKey);
			pushEvent({kind: 'job-stored', requestId, result: item === undefined ? 'unknown' : 'applied'});
			return;
		}

		pushEvent({kind: 'job-stored', requestId, result: writeResults[result.kind]});
	}

	async function saveProgress({
		pool, token, saveId, records, roster,
	}: JobEffectOf<'save-progress'>): Promise<void> {
		const claimKey = `${recordKeys.claimPrefix}pool/${pool}`;
		const rosterKey = recordKeys.getRosterKey(pool);
		const result = await store.changeItems({
			conditions: [
				{key: claimKey, revision: token},
				...records.map(({jobId, revision}) => ({key: recordKeys.getProgressKey(pool, jobId), revision})),
				...(roster === undefined ? [] : [{key: rosterKey, revision: roster.revision}]),
			],
			puts: [
				...records.map(({jobId, progress}) => ({key: recordKeys.getProgressKey(pool, jobId), value: encodeRecord(progress)})),
				...(roster === undefined ? [] : [{key: rosterKey, value: encodeRecord(roster.roster)}]),
			],
			// What a job asked for is not needed once it has ended.
			removes: records.filter(({progress}) => progress.endedAt !== undefined).map(({jobId}) => recordKeys.getJobKey(pool, jobId)),
		});
		const revisions = result.kind === 'conflict' ? result.revisions : undefined;
		const found = new Map<string, number>();
		for (const {jobId} of records) {
			const revision = revisions?.get(recordKeys.getProgressKey(pool, jobId));
			if (revision !== undefined) {
				found.set(jobId, revision);
			}
		}

		const rosterRevision = revisions?.get(rosterKey);
		if (rosterRevision !== undefined) {
			found.set(rosterRecordKey, rosterRevision);
		}

		pushEvent({
			kind: 'progress-saved',
			pool,
			token,
			saveId,
			result: writeResults[result.kind],
			revision: result.kind === 'applied' ? result.revision : 0,
			presentRevisions: found,
			isClaimLost: revisions !== undefined && revisions.get(claimKey) !== token,
		});
	}

	return {
		claim({name, expectedToken, lastHolderRevision}) {
			run('claim', async () => {
				const lease = session.getLease();
				if (lease === undefined) {
					pushEvent({
						kind: 'claim-answered', name, result: 'refused', token: 0,
					});
					return;
				}

				const key = `${recordKeys.claimPrefix}${name}`;
				const lastKey = `${recordKeys.lastHolderPrefix}${name}`;
				const value = encodeRecord({node: parts.node, incarnation: parts.incarnation});
				const result = await store.changeItems({
					conditions: [{key, revision: expectedToken}, ...(lastHolderRevision === undefined ? [] : [{key: lastKey, revision: lastHolderRevision}])],
					puts: [{key, value, lease}, ...(lastHolderRevision === undefined ? [] : [{key: lastKey, value}])],
				});
				pushEvent({
					kind: 'claim-answered', name, result: writeResults[result.kind], token: result.kind === 'applied' ? result.revision : 0,
				});
			});
		},
		'load-pool'({pool, token}) {
			pools.get(pool)?.();
			pools.set(pool, followPool(parts.follow, pool, token));
			updateEndpoints();
		},
		'unload-pool'({pool}) {
			pools.get(pool)?.();
			pools.delete(pool);
			updateEndpoints();
		},
		'follow-fleet'({isFollowing}) {
			stopFleet?.();
			stopFleet = isFollowing ? followFleet(parts.follow) : undefined;
		},
		'store-job'(effect) {
			run('store-job', async () => storeJob(effect), {kind: 'job-stored', requestId: effect.requestId, result: 'unknown'});
		},
		'read-progress'({requestId, pool, jobId}) {
			run('read-progress', async () => {
				const item = await store.readItem(recordKeys.getProgressKey(pool, jobId));
				const progress = item === undefined ? undefined : decodeRecord<ProgressRecord>(item);
				pushEvent({
					kind: 'progress-read', requestId, result: progress === undefined ? 'absent' : 'found', progress,
				});
			}, {
				kind: 'progress-read', requestId, result: 'failed', progress: undefined,
			});
		},
		'store-cancel'({requestId, pool, jobId}) {
			run('store-cancel', async () => {
				const key = recordKeys.getCancelKey(pool, jobId);
				const result = await store.changeItems({conditions: [{key, revision: 0}], puts: [{key, value: encodeRecord({})}]});
				if (result.kind === 'applied') {
					pushEvent({kind: 'job-cancelled', pool, jobId});
				}

				pushEvent({kind: 'cancel-stored', requestId, result: writeResults[result.kind]});
			}, {kind: 'cancel-stored', requestId, result: 'unknown'});
		},
		'read-report'({requestId, pool}) {
			run('read-report', async () => {
				const item = await store.readItem(`${recordKeys.reportPrefix}${pool}`);
				const report = item === undefined ? undefined : decodeRecord<PoolReport>(item);
				pushEvent({
					kind: 'report-read', requestId, result: report === undefined ? 'absent' : 'found', report,
				});
			}, {
				kind: 'report-read', requestId, result: 'failed', report: undefined,
			});
		},
		'save-progress'(effect) {
			run('save-progress', async () => saveProgress(effect), {
				kind: 'progress-saved', pool: effect.pool, token: effect.token, saveId: effect.saveId, result: 'unknown', revision: 0, presentRevisions: undefined, isClaimLost: false,
			});
		},
		'delete-ended-jobs'({pool, token, jobIds}) {
			run('delete-ended-jobs', async () => {
				await store.changeItems({
					conditions: [{key: `${recordKeys.claimPrefix}pool/${pool}`, revision: token}],
					puts: [],
					removes: jobIds.flatMap(jobId => [recordKeys.getProgressKey(pool, jobId), recordKeys.getCancelKey(pool, jobId)]),
				});
			});
		},
		'publish-report'({token, report}) {
			run('publish-report', async () => {
				await store.changeItems({
					conditions: [{key: `${recordKeys.claimPrefix}pool/${report.pool}`, revision: token}],
					puts: [{key: `${recordKeys.reportPrefix}${report.pool}`, value: encodeRecord(report)}],
				});
			});
		},
		'request-evacuation'({request}) {
			const key = `${recordKeys.evacuationPrefix}${request.pool}/${request.endpointId}`;
			run('request-evacuation', async () => writeRecord(key, {conditions: getFleetCondition(), puts: [{key, value: encodeRecord(request)}]}));
		},
		'withdraw-evacuation'({pool, endpointId}) {
			const key = `${recordKeys.evacuationPrefix}${pool}/${endpointId}`;
			run('withdraw-evacuation', async () => writeRecord(key, {
				conditions: getFleetCondition(),
				puts: [],
				removes: [key, `${recordKeys.evacuatedPrefix}${pool}/${endpointId}`],
			}));
		},
		'confirm-evacuation'({token, evacuated: {requestId, pool, endpointId}}) {
			const key = `${recordKeys.evacuatedPrefix}${pool}/${endpointId}`;
			run('confirm-evacuation', async () => writeRecord(key, {
				conditions: [{key: `${recordKeys.claimPrefix}pool/${pool}`, revision: token}],
				puts: [{key, value: encodeRecord({requestId})}],
			}));
		},
		'write-wave-status'({number, status, maintained}) {
			run('write-wave-status', async () => {
				const result = await store.changeItems({
					conditions: getFleetCondition(),
					puts: [encodeWaveStatus(number, status), {key: `${recordKeys.wavePrefix}${number}`, value: encodeRecord({maintained, isDone: status === 'done'})}],
				});
				if (result.kind !== 'applied') {
					await delay(rewritePauseMs);
				}

				pushEvent({kind: 'wave-status-written', number, result: writeResults[result.kind]});
			}, {kind: 'wave-status-written', number, result: 'unknown'});
		},
		...createOrderSinks(parts, run),
		'answer-caller'({requestId, answer}) {
			parts.ingress.answerCaller(requestId, answer);
		},
		'close-session'() {
			run('close-session', async () => session.close());
		},
		log({level, message, fields}) {
			log(level, message, fields);
		},
		count({metric, by}) {
			metrics.addCount(metric, by);
		},
		'record-value'({metric, value}) {
			metrics.recordValue(metric, value);
		},
		'handler-failed'({filter, eventKind, error}) {
			metrics.addCount('handlers_failed_total');
			log('error', 'handler failed', {filter, event: eventKind, error: error instanceof Error ? error.stack : String(error)});
		},
	};
}
