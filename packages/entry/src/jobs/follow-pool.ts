import {
	type EndedJob, type StoredJob,
} from '@pistachiogauge/jobs';
import {followPrefix, type StoreItem} from '@pistachiogauge/platform';
import {
	createFailureLogger, publishItem, decodeEvacuationRequest, noPauseMs, type RecordDecoder, type FollowContext, type StopFollowing,
} from './follow-records.js';
import {createStoredJob, decodeRecord, recordKeys} from './job-records.js';

/** Loads all records of a pool, then watches the requests to its owner: jobs, cancellations and evacuations. @internal */
export function followPool(context: FollowContext, pool: string, token: number): StopFollowing {
	const inboxPrefix = recordKeys.getInboxPrefix(pool);
	let isLoaded = false;
	let itemsBeforeLoad: StoreItem[] = [];
	/** Number of loads begun; only the last one counts. */
	let loadCount = 0;
	/** Jobs left out of the load. They must not be taken for new ones later. */
	const ignoredJobIds = new Set<string>();
	const jobPrefix = recordKeys.getJobKey(pool, '');
	const cancelPrefix = recordKeys.getCancelKey(pool, '');
	const decoders: RecordDecoder[] = [
		{
			prefix: jobPrefix,
			decode(item) {
				const job = decodeRecord('job', item);
				return job === undefined || ignoredJobIds.has(job.id) ? undefined : {kind: 'job-recorded', stored: createStoredJob(job, item.revision)};
			},
		},
		{
			prefix: cancelPrefix,
			decode: item => item.value === undefined ? undefined : {kind: 'job-cancelled', pool, jobId: item.key.slice(cancelPrefix.length)},
		},
	];

	function handleInboxItem(item: StoreItem): void {
		if (!isLoaded) {
			itemsBeforeLoad.push(item);
			return;
		}

		publishItem(decoders, item, context);
	}

	async function loadPool(items: readonly StoreItem[]): Promise<void> {
		loadCount += 1;
		const load = loadCount;
		// This entry holds the claim, so nobody else changes these records; jobs that arrive after the inbox was listed still have their initial progress.
		const evacuatedPrefix = recordKeys.getEvacuatedPoolPrefix(pool);
		const [stateRange, {items: evacuated}, reportItem] = await Promise.all([
			context.store.listItems(recordKeys.getStatePrefix(pool)),
			context.store.listItems(evacuatedPrefix),
			context.store.readItem(`${recordKeys.reportPrefix}${pool}`),
		]);
		const evacuatedEndpointIds = await listConfirmedEvacuations(evacuated, evacuatedPrefix);
		const progressPrefix = recordKeys.getProgressKey(pool, '');
		const progressItems = new Map(stateRange.items.filter(item => item.key.startsWith(progressPrefix)).map(item => [item.key.slice(progressPrefix.length), item]));
		const cancelled = new Set(items.filter(item => item.key.startsWith(cancelPrefix)).map(item => item.key.slice(cancelPrefix.length)));
		const report = reportItem === undefined ? undefined : decodeRecord('report', reportItem);
		const jobs: StoredJob[] = [];
		for (const item of items.filter(each => each.key.startsWith(jobPrefix))) {
			const job = decodeRecord('job', item);
			if (job === undefined) {
				context.log('error', 'job record ignored, as it cannot be decoded', {key: item.key, revision: item.revision});
				continue;
			}

			const progressItem = progressItems.get(job.id);
			const record = progressItem === undefined ? undefined : decodeRecord('progress', progressItem);
			if (progressItem !== undefined && record === undefined) {
				// Without its progress, tasks of the job that have run would run again.
				ignoredJobIds.add(job.id);
				context.log('error', 'job ignored, as its progress cannot be decoded', {key: progressItem.key, revision: progressItem.revision});
				continue;
			}

			jobs.push({...createStoredJob(job, progressItem?.revision ?? item.revision), ...(record !== undefined && {progress: record}), isCancelled: cancelled.has(job.id)});
		}

		const ended = new Map<string, EndedJob>();
		for (const [jobId, item] of progressItems) {
			const record = decodeRecord('progress', item);
			if (record?.endedAt !== undefined) {
				ended.set(jobId, {
					queue: record.queue, account: record.account, status: record.status, endedAt: record.endedAt,
				});
			}
		}

		const rosterItem = stateRange.items.find(item => item.key === recordKeys.getRosterKey(pool));
		const roster = rosterItem === undefined ? undefined : decodeRecord('roster', rosterItem);
		if (rosterItem !== undefined && roster === undefined) {
			throw new Error(`the roster cannot be decoded: ${rosterItem.key}, revision ${rosterItem.revision}`);
		}

		if (load !== loadCount) {
			return;
		}

		context.pushEvent({
			kind: 'pool-read',
			pool,
			token,
			jobs: jobs.filter(({job}) => !ended.has(job.id)),
			ended,
			roster: roster ?? {endpointIds: []},
			rosterRevision: rosterItem?.revision ?? 0,
			evacuatedEndpointIds,
			durationModels: report?.durationModels ?? {},
		});
		isLoaded = true;
		withdrawMissingEvacuations(evacuatedEndpointIds);
		const deferredItems = itemsBeforeLoad;
		itemsBeforeLoad = [];
		for (const item of deferredItems) {
			handleInboxItem(item);
		}
	}

	/** Lists the endpoints whose evacuation is confirmed and still requested. A confirmation may be written late, after its request was withdrawn and tasks were started there again. */
	async function listConfirmedEvacuations(evacuated: readonly StoreItem[], evacuatedPrefix: string): Promise<string[]> {
		if (evacuated.length === 0) {
			return [];
		}

		const {items: requests} = await context.store.listItems(evacuationPrefix);
		const requestIds = new Map(requests.map(item => [item.key.slice(evacuationPrefix.length), decodeRecord('evacuationRequest', item)?.requestId]));
		return evacuated.flatMap(item => {
			const endpointId = item.key.slice(evacuatedPrefix.length);
			const confirmation = decodeRecord('evacuated', item);
			return confirmation !== undefined && confirmation.requestId === requestIds.get(endpointId) ? [endpointId] : [];
		});
	}

	const evacuationPrefix = recordKeys.getEvacuationPoolPrefix(pool);
	/** Keys of the evacuation requests; undefined until they have been listed. */
	let evacuationKeys: Set<string> | undefined;
	let loadedEvacuatedIds: readonly string[] = [];

	/** Withdraws evacuations that were confirmed when the pool was loaded and are not requested any more: both records are deleted together, and this may have happened before the requests were listed. */
	function withdrawMissingEvacuations(evacuatedIds: readonly string[]): void {
		if (evacuationKeys === undefined) {
			loadedEvacuatedIds = evacuatedIds;
			return;
		}

		loadedEvacuatedIds = [];
		for (const endpointId of evacuatedIds) {
			if (!evacuationKeys.has(`${evacuationPrefix}${endpointId}`)) {
				context.pushEvent({kind: 'evacuation-withdrawn', pool, endpointId});
			}
		}
	}

	const stopInbox = followPrefix(context.store, {prefix: inboxPrefix, pauseMs: noPauseMs}, {
		handleItems(items) {
			if (isLoaded) {
				for (const item of items) {
					handleInboxItem(item);
				}

				return;
			}

			itemsBeforeLoad = [];
			loadPool(items).catch((error: unknown) => {
				context.log('warn', 'loading records of pool failed, retrying', {pool, token, error: String(error)});
				context.pushEvent({kind: 'pool-load-failed', pool, token});
			});
		},
		handleChange: handleInboxItem,
		handleError: createFailureLogger(context.log, inboxPrefix),
	});
	const handleEvacuationItem = (item: StoreItem) => {
		const event = decodeEvacuationRequest(item);
		if (item.value === undefined) {
			evacuationKeys?.delete(item.key);
		} else {
			evacuationKeys?.add(item.key);
		}

		if (event !== undefined) {
			context.pushEvent(event);
		}
	};

	const stopEvacuations = followPrefix(context.store, {prefix: evacuationPrefix, pauseMs: noPauseMs}, {
		handleItems(items) {
			// A request that was withdrawn during a gap in the watch is noticed only because it is missing from the new list.
			const listed = new Set(items.map(({key}) => key));
			const withdrawn = [...evacuationKeys ?? []].filter(key => !listed.has(key));
			evacuationKeys = listed;
			for (const item of [...withdrawn.map(key => ({key, value: undefined, revision: 0})), ...items]) {
				handleEvacuationItem(item);
			}

			withdrawMissingEvacuations(loadedEvacuatedIds);
		},
		handleChange: handleEvacuationItem,
		handleError: createFailureLogger(context.log, evacuationPrefix),
	});
	return () => {
		// A load that is under way publishes nothing: the pool may be owned under another claim by then.
		loadCount += 1;
		stopInbox();
		stopEvacuations();
	};
}
