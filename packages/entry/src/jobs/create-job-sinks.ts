import {
	poolClaimPrefix, rosterRecordKey, type JobEffect, type JobEffectOf,
} from '@pistachiogauge/jobs';
import {type StoreTransaction} from '@pistachiogauge/platform';
import {type SinkTable} from '@pistachiogauge/pipeline';
import {createAdmissionSinks} from './create-admission-sinks.js';
import {createFleetSinks} from './create-fleet-sinks.js';
import {createOrderSinks, type CallRunner} from './create-order-sinks.js';
import {createRequestSinks} from './create-request-sinks.js';
import {createShareSinks} from './create-share-sinks.js';
import {createOrderJournal} from './order-journal.js';
import {followPool} from './follow-pool.js';
import {
	followEndpoints, followFleetRecords, type StopFollowing,
} from './follow-records.js';
import {createGuardedWriter} from './guard-writes.js';
import {
	decodeRecord, encodeRecord, recordKeys,
} from './job-records.js';
import {type JobSinkDependencies} from './job-sink-dependencies.js';
import {readClocks} from './read-clocks.js';
import {sendRelay} from './send-relay.js';
import {writeResults} from './write-results.js';

/** Time in ms for which a machine order stays on record beyond the minimum time between orders of two holders: the time until the next holder reads it counts as well. */
const orderKeepMarginMs = 2000;

/** Creates the sinks that carry out the effects of the jobs chain. @internal */
export function createJobSinks(dependencies: JobSinkDependencies): SinkTable<JobEffect> {
	const {store, session, pushEvent, metrics, log} = dependencies;
	const stopsByPool = new Map<string, StopFollowing>();
	let stopFollowingEndpoints: StopFollowing | undefined;
	let stopFollowingFleet: StopFollowing | undefined;

	/** Runs an asynchronous call; a failure is logged and, if `failureEvent` is given, published as that event. */
	const runCall: CallRunner = (name, call, failureEvent) => {
		call().catch((error: unknown) => {
			log('warn', 'call to other service failed', {call: name, error: String(error)});
			if (failureEvent !== undefined) {
				pushEvent(failureEvent);
			}
		});
	};

	function createFleetConditions(): StoreTransaction['conditions'] {
		const token = dependencies.state.fleet.token ?? 0;
		return [{key: `${recordKeys.claimPrefix}fleet`, revision: token}];
	}

	const writeGuarded = createGuardedWriter(store);
	const orderJournal = createOrderJournal({
		keepMs: dependencies.state.fleet.orderLeaseMs + orderKeepMarginMs,
		getNow: () => performance.now(),
		async writeMachines(machines) {
			const {token = 0, inheritedOrders} = dependencies.state.fleet;
			// A record with the token 0 is taken for incomplete.
			const record = {token: inheritedOrders === undefined ? 0 : token, machines: [...new Set([...machines, ...inheritedOrders ?? []])]};
			const result = await writeGuarded(recordKeys.recentOrdersKey, {conditions: createFleetConditions(), puts: [{key: recordKeys.recentOrdersKey, value: encodeRecord(record)}]});
			return result.kind;
		},
	});

	/** Watches the list of endpoints only while this entry owns a pool. */
	function updateEndpointFollower(): void {
		const shouldFollow = stopsByPool.size > 0;
		if (shouldFollow && stopFollowingEndpoints === undefined) {
			stopFollowingEndpoints = followEndpoints(dependencies.followContext);
		}

		if (!shouldFollow && stopFollowingEndpoints !== undefined) {
			stopFollowingEndpoints();
			stopFollowingEndpoints = undefined;
			dependencies.state.directory.listedAt = undefined;
		}
	}

	async function saveProgress({
		pool, token, saveId, records, roster,
	}: JobEffectOf<'save-progress'>): Promise<void> {
		const claimName = `${poolClaimPrefix}${pool}`;
		const claimKey = `${recordKeys.claimPrefix}${claimName}`;
		const requestedAt = readClocks();
		const rosterKey = recordKeys.getRosterKey(pool);
		const result = await store.applyTransaction({
			conditions: [
				{key: claimKey, revision: token},
				...records.map(({jobId, revision}) => ({key: recordKeys.getProgressKey(pool, jobId), revision})),
				...(roster === undefined ? [] : [{key: rosterKey, revision: roster.revision}]),
			],
			puts: [
				...records.map(({jobId, progress}) => ({key: recordKeys.getProgressKey(pool, jobId), value: encodeRecord(progress)})),
				...(roster === undefined ? [] : [{key: rosterKey, value: encodeRecord(roster.roster)}]),
			],
			// The job record is not needed once the job has ended; the progress record is kept for callers.
			deletes: records.filter(({progress}) => progress.endedAt !== undefined).map(({jobId}) => recordKeys.getJobKey(pool, jobId)),
		});
		if (result.kind === 'applied') {
			pushEvent({
				kind: 'claim-confirmed', name: claimName, token, requestedAt,
			});
		}

		const revisions = result.kind === 'conflict' ? result.revisions : undefined;
		const presentRevisions = new Map<string, number>();
		for (const {jobId} of records) {
			const revision = revisions?.get(recordKeys.getProgressKey(pool, jobId));
			if (revision !== undefined) {
				presentRevisions.set(jobId, revision);
			}
		}

		const rosterRevision = revisions?.get(rosterKey);
		if (rosterRevision !== undefined) {
			presentRevisions.set(rosterRecordKey, rosterRevision);
		}

		pushEvent({
			kind: 'progress-saved',
			pool,
			token,
			saveId,
			result: writeResults[result.kind],
			revision: result.kind === 'applied' ? result.revision : 0,
			presentRevisions,
			isClaimLost: revisions !== undefined && revisions.get(claimKey) !== token,
		});
	}

	return {
		claim({name, expectedToken, lastHolderRevision}) {
			runCall('claim', async () => {
				const lease = session.getLease();
				if (lease === undefined) {
					pushEvent({
						kind: 'claim-answered', name, result: 'refused', token: 0,
					});
					return;
				}

				const key = `${recordKeys.claimPrefix}${name}`;
				const lastKey = `${recordKeys.lastHolderPrefix}${name}`;
				const value = encodeRecord({node: dependencies.node, incarnation: dependencies.incarnation});
				const requestedAt = readClocks();
				const result = await store.applyTransaction({
					conditions: [{key, revision: expectedToken}, ...(lastHolderRevision === undefined ? [] : [{key: lastKey, revision: lastHolderRevision}])],
					puts: [{key, value, lease}, ...(lastHolderRevision === undefined ? [] : [{key: lastKey, value}])],
				});
				const token = result.kind === 'applied' ? result.revision : 0;
				pushEvent({
					kind: 'claim-answered', name, result: writeResults[result.kind], token,
				});
				if (result.kind === 'applied') {
					pushEvent({
						kind: 'claim-confirmed', name, token, requestedAt,
					});
				}
			});
		},
		'confirm-claim'({name, token}) {
			runCall('confirm-claim', async () => {
				const requestedAt = readClocks();
				const item = await store.readItem(`${recordKeys.claimPrefix}${name}`);
				pushEvent(item?.revision === token
					? {
						kind: 'claim-confirmed', name, token, requestedAt,
					}
					: {kind: 'claim-superseded', name, token});
			});
		},
		'load-pool'({pool, token}) {
			stopsByPool.get(pool)?.();
			stopsByPool.set(pool, followPool(dependencies.followContext, pool, token));
			updateEndpointFollower();
		},
		'unload-pool'({pool}) {
			stopsByPool.get(pool)?.();
			stopsByPool.delete(pool);
			updateEndpointFollower();
		},
		'follow-fleet'({isFollowing}) {
			stopFollowingFleet?.();
			stopFollowingFleet = isFollowing ? followFleetRecords(dependencies.followContext) : undefined;
		},
		'save-progress'(effect) {
			runCall('save-progress', async () => saveProgress(effect), {
				kind: 'progress-saved', pool: effect.pool, token: effect.token, saveId: effect.saveId, result: 'unknown', revision: 0, presentRevisions: undefined, isClaimLost: false,
			});
		},
		'delete-ended-jobs'({pool, token, jobIds}) {
			runCall('delete-ended-jobs', async () => {
				await store.applyTransaction({
					conditions: [{key: `${recordKeys.claimPrefix}pool/${pool}`, revision: token}],
					puts: [],
					deletes: jobIds.flatMap(jobId => [recordKeys.getProgressKey(pool, jobId), recordKeys.getCancelKey(pool, jobId), recordKeys.getJobLocationKey(jobId)]),
				});
			});
		},
		'publish-report'({token, report}) {
			runCall('publish-report', async () => {
				const name = `${poolClaimPrefix}${report.pool}`;
				const requestedAt = readClocks();
				const result = await store.applyTransaction({
					conditions: [{key: `${recordKeys.claimPrefix}${name}`, revision: token}],
					puts: [{key: `${recordKeys.reportPrefix}${report.pool}`, value: encodeRecord(report)}],
				});
				if (result.kind === 'applied') {
					pushEvent({
						kind: 'claim-confirmed', name, token, requestedAt,
					});
				}

				// The claim's record is the only condition.
				if (result.kind === 'conflict') {
					pushEvent({kind: 'claim-superseded', name, token});
				}
			});
		},
		...createRequestSinks(dependencies, runCall),
		...createFleetSinks(dependencies, {
			runCall, orderJournal, writeGuarded, createFleetConditions,
		}),
		...createOrderSinks({...dependencies, orderJournal}, runCall),
		...createShareSinks(dependencies, runCall),
		...createAdmissionSinks(dependencies, runCall),
		'relay-request'(effect) {
			const {requestId, node} = effect;
			runCall('relay-request', async () => {
				const result = await sendRelay({http: dependencies.http, node: dependencies.node, findMember: name => dependencies.state.authority.members.get(name)}, effect);
				pushEvent({
					kind: 'relay-answered', requestId, node, result,
				});
			}, {
				kind: 'relay-answered', requestId, node, result: {kind: 'silent'},
			});
		},
		'answer-caller'({requestId, answer}) {
			if (dependencies.peerServer?.answerRequest(requestId, answer) !== true) {
				dependencies.ingress.answerCaller(requestId, answer);
			}
		},
		'close-session'() {
			runCall('close-session', async () => session.close());
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
			log('error', 'event handler failed', {filter, event: eventKind, error: error instanceof Error ? error.stack : String(error)});
		},
	};
}
