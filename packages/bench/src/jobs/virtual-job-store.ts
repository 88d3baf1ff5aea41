import {
	poolClaimPrefix, rosterRecordKey, type Claim, type JobEffectOf, type JobEvent, type JobRecord, type Member, type ProgressRecord, type Roster, type StoredJob,
} from '@pistachiogauge/jobs';

/** Records of jobs in the simulated store of the platform. */
export type VirtualJobStore = {
	readonly claims: ReadonlyMap<string, Claim>;
	readonly members: ReadonlyMap<string, Member>;
	register(member: Member): readonly JobEvent[];
	/** Deletes the claims and the member record that depend on the lease of a process. */
	endLease(incarnation: string): readonly JobEvent[];
	claim(effect: JobEffectOf<'claim'>, member: Member): {readonly answer: JobEvent; readonly changes: readonly JobEvent[]};
	storeJob(job: JobRecord): {readonly isNew: boolean; readonly changes: readonly JobEvent[]};
	storeCancel(pool: string, jobId: string): readonly JobEvent[];
	getProgress(jobId: string): ProgressRecord | undefined;
	saveProgress(effect: JobEffectOf<'save-progress'>): JobEvent;
	loadPool(pool: string, token: number): JobEvent;
	/** Lists the events of a full listing, as after a watch lost its history. Cancellations come before jobs, as their keys sort. */
	listInbox(pool: string): readonly JobEvent[];
};

type Versioned<Record> = {readonly record: Record; readonly revision: number};

/** Creates an empty store. */
export function createVirtualJobStore(): VirtualJobStore {
	const claims = new Map<string, Claim>();
	const members = new Map<string, Member>();
	const jobs = new Map<string, Versioned<JobRecord>>();
	const progress = new Map<string, Versioned<ProgressRecord>>();
	const rosters = new Map<string, Versioned<Roster>>();
	const cancels = new Map<string, string>();
	let revision = 100;

	function createStoredJob(jobId: string): StoredJob {
		const {record} = jobs.get(jobId)!;
		const saved = progress.get(jobId)!;
		return {
			job: record, progress: saved.record, revision: saved.revision, isCancelled: cancels.has(jobId),
		};
	}

	return {
		claims,
		members,
		register(member) {
			revision += 1;
			members.set(member.node, member);
			return [{kind: 'member-changed', node: member.node, member}];
		},
		endLease(incarnation) {
			revision += 1;
			const events: JobEvent[] = [];
			for (const claim of claims.values()) {
				if (claim.incarnation === incarnation) {
					claims.delete(claim.name);
					events.push({kind: 'claim-changed', name: claim.name, claim: undefined});
				}
			}

			for (const member of members.values()) {
				if (member.incarnation === incarnation) {
					members.delete(member.node);
					events.push({kind: 'member-changed', node: member.node, member: undefined});
				}
			}

			return events;
		},
		claim({name, expectedToken}, {node, incarnation}) {
			if ((claims.get(name)?.token ?? 0) !== expectedToken) {
				return {
					answer: {
						kind: 'claim-answered', name, result: 'conflict', token: 0,
					}, changes: [],
				};
			}

			revision += 1;
			const claim: Claim = {
				name, node, incarnation, token: revision,
			};
			claims.set(name, claim);
			return {
				answer: {
					kind: 'claim-answered', name, result: 'applied', token: revision,
				}, changes: [{kind: 'claim-changed', name, claim}],
			};
		},
		storeJob(job) {
			if (progress.has(job.id)) {
				return {isNew: false, changes: []};
			}

			revision += 1;
			jobs.set(job.id, {record: job, revision});
			progress.set(job.id, {
				record: {
					queue: job.queue, status: 'queued', steps: {}, lastRun: 0,
				}, revision,
			});
			return {isNew: true, changes: [{kind: 'job-recorded', stored: {...createStoredJob(job.id), isCancelled: false}}]};
		},
		storeCancel(pool, jobId) {
			cancels.set(jobId, pool);
			return [{kind: 'job-cancelled', pool, jobId}];
		},
		getProgress: jobId => progress.get(jobId)?.record,
		saveProgress({
			pool, token, saveId, records, roster,
		}) {
			const isClaimLost = claims.get(`${poolClaimPrefix}${pool}`)?.token !== token;
			const found = new Map(records.map(({jobId}) => [jobId, progress.get(jobId)?.revision ?? 0]));
			const rosterRevision = rosters.get(pool)?.revision ?? 0;
			if (roster !== undefined) {
				found.set(rosterRecordKey, rosterRevision);
			}

			const isAsExpected = records.every(({jobId, revision: expected}) => found.get(jobId) === expected) && (roster === undefined || roster.revision === rosterRevision);
			const answer = {
				kind: 'progress-saved', pool, token, saveId, presentRevisions: found, isClaimLost,
			} as const;
			if (isClaimLost || !isAsExpected) {
				return {...answer, result: 'conflict', revision: 0};
			}

			revision += 1;
			for (const {jobId, progress: record} of records) {
				progress.set(jobId, {record, revision});
			}

			if (roster !== undefined) {
				rosters.set(pool, {record: roster.roster, revision});
			}

			return {...answer, result: 'applied', revision};
		},
		loadPool(pool, token) {
			const own = [...jobs.values()].filter(({record}) => record.pool === pool).map(({record}) => createStoredJob(record.id));
			return {
				kind: 'pool-read',
				pool,
				token,
				jobs: own.filter(stored => stored.progress.endedAt === undefined),
				ended: new Map(own.filter(stored => stored.progress.endedAt !== undefined).map(stored => [stored.job.id, {
					queue: stored.job.queue, status: stored.progress.status, endedAt: stored.progress.endedAt!,
				}])),
				roster: rosters.get(pool)?.record ?? {endpointIds: []},
				rosterRevision: rosters.get(pool)?.revision ?? 0,
				evacuatedEndpointIds: [],
				durationModels: {},
			};
		},
		listInbox(pool) {
			return [
				...[...cancels].filter(([, name]) => name === pool).map(([jobId]) => ({kind: 'job-cancelled', pool, jobId} as const)),
				...[...jobs.values()].filter(({record}) => record.pool === pool && progress.get(record.id)?.record.endedAt === undefined).map(({record}) => ({kind: 'job-recorded', stored: {...createStoredJob(record.id), isCancelled: false}} as const)),
			];
		},
	};
}
