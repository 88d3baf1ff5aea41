import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {type ConfigurationView} from '../configuration/index.js';
import {type DirectoryView} from '../directory/index.js';
import {emitCount, type JobFilter, type JobOutput} from '../filter.js';
import {type LedgerView, type PoolLedger} from '../ledger/index.js';
import {
	type AdmissionRecord, type QueueAdmission, type QueueWait, type StoredAdmission,
} from '../model/index.js';
import {type ObservationView} from '../observation/index.js';
import {
	chooseDisplacementPolicy, getAccountWeights, type PlacementState, type PoolBacklog, type PoolDisplacement,
} from '../placement/index.js';
import {getMeanWork} from '../value/index.js';
import {createLiftedRecord, type AdmissionState} from './admission-state.js';
import {isOverloadReported} from './decide-admission.js';
import {estimateWaits} from './estimate-waits.js';
import {measureFullMs} from './measure-job-bytes.js';

type State = {readonly admission: AdmissionState; readonly placement: PlacementState} & ConfigurationView & DirectoryView & LedgerView & ObservationView;

/** Minimum interval between two publications of a pool. */
const minPublicationIntervalMs = 500;
/** Interval at which unchanged waits are published again; entries do not refuse by a report older than 2 s. */
const repeatIntervalMs = 1000;
/** Change of a wait, in ms and relative to it, from which it is published again. */
const noticeableChangeMs = 250;
const noticeableChangeShare = 0.2;
/** Shorter waits make no job useless and are not published. */
const minWaitMs = 500;
/** Time for which configurations must have had accounts before waits are published: until an entry has applied the first of them, it stores jobs without regard to admission records. */
const accountsSettledMs = 10_000;

/**
Follows the admission records, and publishes those of the pools that this entry owns.

@public
*/
export const admissionFilter: JobFilter<State> = {
	name: 'admission',
	handlers: {
		'configuration-changed'({admission, configuration}, _event, {now}) {
			admission.accountsSince = configuration.current?.accounts === undefined ? undefined : admission.accountsSince ?? now;
			return [];
		},
		'admission-changed'({admission}, event, {now}) {
			recordAdmission(admission, event.admission, now);
			return [];
		},
		'admission-read'({admission}, {found}, {now}) {
			recordAdmission(admission, found?.admission, now);
			return [];
		},
		'admission-written'({admission}, event, {now}) {
			recordAdmission(admission, event.admission, now);
			const publication = event.requestId === undefined ? admission.publications.get(event.pool) : undefined;
			if (publication !== undefined) {
				publication.isWriting = false;
			}

			return [];
		},
		'pool-lost'({admission}, {pool}) {
			admission.publications.delete(pool);
			return [];
		},
		tick: (state, _event, context) => [...state.ledger.pools.values()].flatMap(pool => publishWaits(state, pool, context)),
	},
};

/** Records what this entry has seen of a record; a watch may deliver an earlier revision than a read has shown. */
function recordAdmission({records}: AdmissionState, stored: StoredAdmission | undefined, now: number): void {
	if (stored === undefined) {
		return;
	}

	const {pool, revision, record} = stored;
	const known = records.get(pool);
	if (revision > (known?.revision ?? 0) || (revision === 0 && known !== undefined)) {
		records.set(pool, {revision, record, seenAt: now});
	}
}

function publishWaits(state: State, {pool, token}: Readonly<PoolLedger>, {now, wallTime}: DecisionContext): JobOutput[] {
	const {records, publications} = state.admission;
	const known = records.get(pool);
	const queues = measureQueues(state, pool, now);
	const fullMs = measureFullMs(state, pool, now);
	const isOverloaded = Object.keys(queues).length > 0 || fullMs > 0;
	if (!isOverloaded && (known === undefined || known.revision === 0 || (known.record !== undefined && !isOverloadReported(known.record)))) {
		return [];
	}

	const publication = publications.get(pool) ?? {checkedAt: Number.NEGATIVE_INFINITY, isWriting: false};
	publications.set(pool, publication);
	const configurationVersion = state.configuration.current?.version ?? 0;
	const record = isOverloaded
		? {
			publishedAt: wallTime, configurationVersion, queues, fullMs,
		}
		: createLiftedRecord(wallTime, configurationVersion);
	if (publication.isWriting || now < publication.checkedAt + minPublicationIntervalMs || !isPublicationDue(known?.record, record)) {
		return [];
	}

	publication.checkedAt = now;
	publication.isWriting = true;
	return [
		emitCount('admission_reports_total'),
		emitEffect({
			kind: 'write-admission', pool, token, requestId: undefined, revision: known?.revision ?? 0, record,
		}),
	];
}

/** Measures the waits of a pool's queues. @returns Nothing if the pool is not overloaded, or admission is not in force. */
function measureQueues(state: State, pool: string, now: number): Record<string, QueueAdmission> {
	const {admission: {accountsSince}, configuration: {current}, placement, observation} = state;
	const queues: Record<string, QueueAdmission> = {};
	const displacement = placement.displacements.get(pool);
	const backlog = displacement?.backlog;
	const isInForce = accountsSince !== undefined && now >= accountsSince + accountsSettledMs && chooseDisplacementPolicy(state) === 'least-cost';
	if (!isInForce || current === undefined || displacement === undefined || backlog === undefined || now > backlog.measuredAt + minPublicationIntervalMs) {
		return queues;
	}

	const {getWeight} = getAccountWeights(current.accounts);
	const expected = addExpectedCapacity(state, pool, backlog);
	for (const {name, priority, pool: queuePool} of current.queues) {
		const meanWork = queuePool === pool ? findMeanWork(displacement, name) : 0;
		const waits = selectLongWaits(estimateWaits(expected, {priority, meanWork}, getWeight));
		if (Object.keys(waits).length > 0) {
			const durations = observation.durationModels.get(name);
			queues[name] = {meanWork, durations: durations === undefined ? undefined : {...durations}, waits};
		}
	}

	return queues;
}

/** Adds the capacity of the pool's endpoints that are registered and not in use yet. */
function addExpectedCapacity({directory}: State, pool: string, backlog: PoolBacklog): PoolBacklog {
	let listedMillis = 0;
	for (const endpoint of directory.endpoints.values()) {
		listedMillis += endpoint.pool === pool && endpoint.state !== 'draining' ? endpoint.capacity.cpuMillis : 0;
	}

	return {...backlog, capacityMillis: backlog.capacityMillis + Math.max(0, listedMillis - backlog.totalMillis)};
}

function findMeanWork({queues}: PoolDisplacement, queue: string): number {
	const record = queues.get(queue);
	return record === undefined ? 0 : getMeanWork(record.work);
}

function selectLongWaits(waits: Readonly<Record<string, QueueWait>>): Record<string, QueueWait> {
	return Object.fromEntries(Object.entries(waits).filter(([, {total}]) => Math.max(...total) >= minWaitMs));
}

/** Whether a record differs noticeably from the one that is known, or that one has to be published again. */
function isPublicationDue(known: AdmissionRecord | undefined, record: AdmissionRecord): boolean {
	if (known?.configurationVersion !== record.configurationVersion || Math.abs(record.publishedAt - known.publishedAt) >= repeatIntervalMs) {
		return true;
	}

	const before = listWaits(known);
	const after = listWaits(record);
	return before.size !== after.size || [...after].some(([key, wait]) => {
		const change = Math.abs(wait - (before.get(key) ?? Number.POSITIVE_INFINITY));
		return change >= noticeableChangeMs && change >= wait * noticeableChangeShare;
	});
}

/** Lists the waits of a record by queue, account and ratio, and that for memory. */
function listWaits({queues, fullMs = 0}: AdmissionRecord): Map<string, number> {
	const waits = Object.entries(queues).flatMap(([queue, {waits: waitsByAccount}]) => Object.entries(waitsByAccount).flatMap(([account, {timely, total}]) => [...timely, ...total].map((wait, index) => [JSON.stringify([queue, account, index]), wait] as const)));
	return new Map(fullMs === 0 ? waits : [...waits, ['full', fullMs]]);
}
