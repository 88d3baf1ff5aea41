import {
	poolClaimPrefix, rosterRecordKey, type Claim, type JobEffectOf, type JobEvent, type JobAddress, type JobEventOf, type JobLocation, type JobRecord, type Member, type ProgressRecord, type Roster, type StoredJob,
} from '@pistachiogauge/jobs';

/** Records of jobs in the simulated store of the platform. */
export type VirtualJobStore = {
	readonly claims: ReadonlyMap<string, Claim>;
	/** Lists the events of a full listing of registrations and claims. */
	listMembersAndClaims(): readonly JobEvent[];
	/** Creates a lease that expires at a virtual time in ms. */
	createLease(expiresAt: number): number;
	/** Returns whether the lease still exists. */
	renewLease(lease: number, expiresAt: number): boolean;
	/** Ends all leases that have expired. */
	expireLeases(now: number): void;
	/** Ends a lease, which deletes the records under it. */
	endLease(lease: number): void;
	/** Deletes the registration and the claims of an entry; its leases go on. */
	revokeRecords(node: string): void;
	/** Registers a member under a lease; returns false if that has ended. */
	register(member: Member, lease: number): boolean;
	claim(effect: JobEffectOf<'claim'>, member: Member, lease: number): JobEventOf<'claim-answered'>;
	/** Stores a job whose id has no location yet. */
	storeJob(job: JobRecord, location: JobLocation): void;
	getLocation(jobId: string): JobLocation | undefined;
	/** Stores that a job is cancelled whose id has no location. Returns false if it has one. */
	storeEarlyCancellation(jobId: string, address: JobAddress): boolean;
	isCancelledEarly(jobId: string, address: JobAddress): boolean;
	/** Stores the location of a job that was cancelled before it was submitted. Returns false if there is one. */
	storeCancelledJob(jobId: string, location: JobLocation): boolean;
	storeCancel(pool: string, jobId: string): void;
	/** Returns whether the claim under which a pool's report is published still holds. */
	publishReport(pool: string, token: number): boolean;
	getProgress(jobId: string): ProgressRecord | undefined;
	/** The progress of a job if its records are in the given pool. */
	getProgressInPool(pool: string, jobId: string): ProgressRecord | undefined;
	getStoredJob(jobId: string): StoredJob | undefined;
	saveProgress(effect: JobEffectOf<'save-progress'>): JobEventOf<'progress-saved'>;
	loadPool(pool: string, token: number, evacuatedEndpointIds: readonly string[]): JobEvent;
	/** Lists the events of a full listing, as after a watch lost its history. Cancellations come before jobs, as their keys sort. */
	listInbox(pool: string): readonly JobEvent[];
};

type Versioned<Record> = {readonly record: Record; readonly revision: number};

/** Creates an empty store; `publish` receives the changes that watches deliver. */
export function createVirtualJobStore(publish: (changes: readonly JobEvent[]) => void): VirtualJobStore {
	const claims = new Map<string, Claim>();
	const members = new Map<string, Member>();
	/** Expiry of each lease in virtual ms, and the leases that claims and members depend on. */
	const leases = new Map<number, number>();
	const claimLeases = new Map<string, number>();
	const memberLeases = new Map<string, number>();
	const locations = new Map<string, JobLocation>();
	const earlyCancellations = new Set<string>();
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

	function deleteRecords(isAffected: {readonly claim: (claim: Claim) => boolean; readonly member: (member: Member) => boolean}): void {
		revision += 1;
		const changes: JobEvent[] = [];
		for (const claim of [...claims.values()].filter(each => isAffected.claim(each))) {
			claims.delete(claim.name);
			changes.push({kind: 'claim-changed', name: claim.name, claim: undefined});
		}

		for (const member of [...members.values()].filter(each => isAffected.member(each))) {
			members.delete(member.node);
			changes.push({kind: 'member-changed', node: member.node, member: undefined});
		}

		publish(changes);
	}

	function endLease(lease: number): void {
		leases.delete(lease);
		deleteRecords({claim: ({name}) => claimLeases.get(name) === lease, member: ({node}) => memberLeases.get(node) === lease});
	}

	return {
		claims,
		listMembersAndClaims: () => [{kind: 'members-listed', members: [...members.values()]}, {kind: 'claims-listed', claims: [...claims.values()]}],
		createLease(expiresAt) {
			revision += 1;
			leases.set(revision, expiresAt);
			return revision;
		},
		renewLease(lease, expiresAt) {
			if (!leases.has(lease)) {
				return false;
			}

			leases.set(lease, expiresAt);
			return true;
		},
		expireLeases(now) {
			for (const [lease, expiresAt] of leases) {
				if (now > expiresAt) {
					endLease(lease);
				}
			}
		},
		endLease,
		revokeRecords(node) {
			deleteRecords({claim: claim => claim.node === node, member: member => member.node === node});
		},
		register(member, lease) {
			if (!leases.has(lease)) {
				return false;
			}

			revision += 1;
			members.set(member.node, member);
			memberLeases.set(member.node, lease);
			publish([{kind: 'member-changed', node: member.node, member}]);
			return true;
		},
		claim({name, expectedToken}, {node, incarnation}, lease) {
			const isConflict = (claims.get(name)?.token ?? 0) !== expectedToken;
			if (isConflict || !leases.has(lease)) {
				return {
					kind: 'claim-answered', name, result: isConflict ? 'conflict' : 'refused', token: 0,
				};
			}

			revision += 1;
			const claim: Claim = {
				name, node, incarnation, token: revision,
			};
			claims.set(name, claim);
			claimLeases.set(name, lease);
			publish([{kind: 'claim-changed', name, claim}]);
			return {
				kind: 'claim-answered', name, result: 'applied', token: revision,
			};
		},
		storeJob(job, location) {
			revision += 1;
			locations.set(job.id, location);
			jobs.set(job.id, {record: job, revision});
			progress.set(job.id, {
				record: {
					queue: job.queue, account: job.account, status: 'queued', steps: {}, lastRun: 0,
				}, revision,
			});
			publish([{kind: 'job-recorded', stored: {...createStoredJob(job.id), isCancelled: false}}]);
		},
		getLocation: jobId => locations.get(jobId),
		storeEarlyCancellation(jobId, address) {
			if (locations.has(jobId)) {
				return false;
			}

			earlyCancellations.add(formatAddress(jobId, address));
			return true;
		},
		isCancelledEarly: (jobId, address) => earlyCancellations.has(formatAddress(jobId, address)),
		storeCancelledJob(jobId, location) {
			if (locations.has(jobId)) {
				return false;
			}

			locations.set(jobId, location);
			return true;
		},
		storeCancel(pool, jobId) {
			cancels.set(jobId, pool);
			publish([{kind: 'job-cancelled', pool, jobId}]);
		},
		publishReport: (pool, token) => claims.get(`${poolClaimPrefix}${pool}`)?.token === token,
		getProgress: jobId => progress.get(jobId)?.record,
		getProgressInPool: (pool, jobId) => locations.get(jobId)?.pool === pool ? progress.get(jobId)?.record : undefined,
		getStoredJob: jobId => jobs.has(jobId) ? createStoredJob(jobId) : undefined,
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
		loadPool(pool, token, evacuatedEndpointIds) {
			const own = [...jobs.values()].filter(({record}) => record.pool === pool).map(({record}) => createStoredJob(record.id));
			return {
				kind: 'pool-read',
				pool,
				token,
				jobs: own.filter(stored => stored.progress.endedAt === undefined),
				ended: new Map(own.filter(stored => stored.progress.endedAt !== undefined).map(stored => [stored.job.id, {
					queue: stored.job.queue, account: stored.job.account, status: stored.progress.status, endedAt: stored.progress.endedAt!,
				}])),
				roster: rosters.get(pool)?.record ?? {endpointIds: []},
				rosterRevision: rosters.get(pool)?.revision ?? 0,
				evacuatedEndpointIds,
				durationModels: {},
			};
		},
		listInbox(pool) {
			return [
				...[...cancels].filter(([, name]) => name === pool).map(([jobId]) => ({kind: 'job-cancelled', pool, jobId} as const)),
				...[...jobs.values()]
					.filter(({record}) => record.pool === pool && progress.get(record.id)?.record.endedAt === undefined)
					.map(({record}) => ({kind: 'job-recorded', stored: {...createStoredJob(record.id), isCancelled: false}} as const)),
			];
		},
	};
}

function formatAddress(jobId: string, {host, prefix, account}: JobAddress): string {
	return JSON.stringify([jobId, host, prefix, account]);
}
