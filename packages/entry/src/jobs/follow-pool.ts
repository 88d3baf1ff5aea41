import {
	type EndedJob, type JobRecord, type ProgressRecord, type Roster, type StoredJob,
} from '@pistachiogauge/jobs';
import {followPrefix, type StoreItem} from '@pistachiogauge/platform';
import {
	createFailureLog, decodeItem, decodeEvacuationRequest, noPauseMs, type Decoder, type FollowContext, type StopFollowing,
} from './follow-records.js';
import {createStoredJob, decodeRecord, recordKeys} from './job-records.js';

/** Reads all records of a pool and then follows what is asked of its owner. @internal */
export function followPool(context: FollowContext, pool: string, token: number): StopFollowing {
	const inboxPrefix = recordKeys.getInboxPrefix(pool);
	let isLoaded = false;
	let early: StoreItem[] = [];
	const jobPrefix = recordKeys.getJobKey(pool, '');
	const cancelPrefix = recordKeys.getCancelKey(pool, '');
	const decoders: Decoder[] = [
		{
			prefix: jobPrefix,
			decode(item) {
				const job = decodeRecord<JobRecord>(item);
				return job === undefined ? undefined : {kind: 'job-recorded', stored: createStoredJob(job, item.revision)};
			},
		},
		{
			prefix: cancelPrefix,
			decode: item => item.value === undefined ? undefined : {kind: 'job-cancelled', pool, jobId: item.key.slice(cancelPrefix.length)},
		},
	];

	function changeItem(item: StoreItem): void {
		if (!isLoaded) {
			early.push(item);
			return;
		}

		decodeItem(decoders, item, context);
	}

	async function load(items: readonly StoreItem[]): Promise<void> {
		// The claim is this entry's, so nobody else changes these records; jobs that came after the list have no other progress than none.
		const state = await context.store.listItems(recordKeys.getStatePrefix(pool));
		const progressPrefix = recordKeys.getProgressKey(pool, '');
		const progress = new Map(state.items.filter(item => item.key.startsWith(progressPrefix)).map(item => [item.key.slice(progressPrefix.length), item]));
		const cancelled = new Set(items.filter(item => item.key.startsWith(cancelPrefix)).map(item => item.key.slice(cancelPrefix.length)));
		const jobs: StoredJob[] = [];
		for (const item of items.filter(each => each.key.startsWith(jobPrefix))) {
			const job = decodeRecord<JobRecord>(item);
			if (job === undefined) {
				context.log('error', 'job record left out, as it cannot be read', {key: item.key, revision: item.revision});
				continue;
			}

			const progressItem = progress.get(job.id);
			const record = progressItem === undefined ? undefined : decodeRecord<ProgressRecord>(progressItem);
			jobs.push({...createStoredJob(job, progressItem?.revision ?? item.revision), ...(record !== undefined && {progress: record}), isCancelled: cancelled.has(job.id)});
		}

		const ended = new Map<string, EndedJob>();
		for (const [jobId, item] of progress) {
			const record = decodeRecord<ProgressRecord>(item);
			if (record?.endedAt !== undefined) {
				ended.set(jobId, {queue: record.queue, status: record.status, endedAt: record.endedAt});
			}
		}

		const rosterItem = state.items.find(item => item.key === recordKeys.getRosterKey(pool));
		const roster = rosterItem === undefined ? undefined : decodeRecord<Roster>(rosterItem);
		context.pushEvent({
			kind: 'pool-read',
			pool,
			token,
			jobs: jobs.filter(({job}) => !ended.has(job.id)),
			ended,
			roster: roster ?? {endpointIds: []},
			rosterRevision: rosterItem?.revision ?? 0,
		});
		isLoaded = true;
		const waiting = early;
		early = [];
		for (const item of waiting) {
			changeItem(item);
		}
	}

	const stopInbox = followPrefix(context.store, {prefix: inboxPrefix, pauseMs: noPauseMs}, {
		listed(items) {
			if (isLoaded) {
				for (const item of items) {
					changeItem(item);
				}

				return;
			}

			early = [];
			load(items).catch((error: unknown) => {
				context.log('warn', 'pool not read', {pool, token, error: String(error)});
				context.pushEvent({kind: 'pool-load-failed', pool, token});
			});
		},
		changed: changeItem,
		failed: createFailureLog(context.log, inboxPrefix),
	});
	const evacuationPrefix = recordKeys.getEvacuationPoolPrefix(pool);
	let requestKeys = new Set<string>();
	const followEvacuations = (item: StoreItem) => {
		const event = decodeEvacuationRequest(item);
		if (item.value === undefined) {
			requestKeys.delete(item.key);
		} else {
			requestKeys.add(item.key);
		}

		if (event !== undefined) {
			context.pushEvent(event);
		}
	};

	const stopEvacuations = followPrefix(context.store, {prefix: evacuationPrefix, pauseMs: noPauseMs}, {
		listed(items) {
			// What was withdrawn while the store's history was lost shows only by not being listed.
			const listed = new Set(items.map(({key}) => key));
			const withdrawn = [...requestKeys].filter(key => !listed.has(key));
			requestKeys = listed;
			for (const item of [...withdrawn.map(key => ({key, value: undefined, revision: 0})), ...items]) {
				followEvacuations(item);
			}
		},
		changed: followEvacuations,
		failed: createFailureLog(context.log, evacuationPrefix),
	});
	return () => {
		stopInbox();
		stopEvacuations();
	};
}
