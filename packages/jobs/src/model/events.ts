import {type StoredAdmission} from './admission.js';
import {type CallerAnswer} from './caller-answer.js';
import {type DurationModel} from './duration-model.js';
import {type Configuration} from './configuration.js';
import {
	type Claim, type Clocks, type Member, type OwnedPool, type PoolDemandHistory, type PoolReport, type Roster, type RunId, type EvacuationRequest, type EvacuatedEndpoint, type StoredShares,
} from './coordination.js';
import {type Endpoint, type ReportedEnd, type ReportedRun} from './endpoint.js';
import {
	type JobLocation, type JobRecord, type JobSpec, type JobStatus, type ProgressRecord,
} from './job.js';
import {type Machine, type Wave} from './machine.js';
import {type CallerAction, type CallerOrigin, type RelayResult} from './relay.js';
import {type Resources} from './resources.js';

/** Result of a write to the store; an `unknown` one may or may not have been carried out. */
type WriteResult = 'applied' | 'conflict' | 'refused' | 'unknown';

/** Why a caller's request has no decision of the store. @public */
export type UnansweredCause =
	/** The store was known to be out of reach, and no call was made. */
	| 'store-lost'
	/** A call was not answered, or a read failed. */
	| 'no-answer'
	/** The store answered that it has not carried out the write. */
	| 'store-refused';

/** A job with its progress and the revision of its progress record. @public */
export type StoredJob = {
	readonly job: JobRecord;
	readonly progress: ProgressRecord;
	readonly revision: number;
	readonly isCancelled: boolean;
};

/** What is retained of a job that has ended. @public */
export type EndedJob = {
	readonly queue: string;
	readonly account?: string | undefined;
	readonly status: JobStatus;
	/** Unix ms. */
	readonly endedAt: number;
	/** Resources of a task of each step, for jobs of accounts that this entry knew before they ended. */
	readonly rooms?: readonly Resources[] | undefined;
};

/** Why an endpoint did not carry out an order, or is not known to have done so. @public */
export type OrderRefusal =
	/** The endpoint has seen a higher fencing token. */
	| 'fenced'
	/** The run number is not higher than that of a run that was stopped or has ended there. */
	| 'outdated'
	/** The deadline of the start had passed. */
	| 'late'
	/** The endpoint does not have the resources for the task. */
	| 'no-room'
	/** The start lacked a valid ticket from the advice service. */
	| 'no-ticket'
	| 'invalid'
	/** The endpoint is unhealthy and has done nothing. */
	| 'unhealthy'
	/** Another incarnation answers at the address. */
	| 'other-incarnation'
	/** The connection was refused; nothing was sent. */
	| 'not-sent'
	/** No answer; the order may still be carried out, even seconds later. */
	| 'no-answer';

/** Members, claims, the configuration and the list of endpoints, as read from the store. @public */
export type CoordinationEvent =
	| {readonly kind: 'tick'}
	| {readonly kind: 'shutdown-requested'}
	/** This process holds a lease in the store and is registered under it. */
	| {readonly kind: 'session-opened'}
	/** The lease has ended, and with it all claims made under it. */
	| {readonly kind: 'session-lost'}
	/** The store answers this entry. */
	| {readonly kind: 'store-reached'}
	/** The store does not answer this entry. */
	| {readonly kind: 'store-lost'}
	/** The process was paused or suspended for the given time in ms. It comes before any event that was waiting meanwhile. */
	| {readonly kind: 'process-resumed'; readonly pausedMs: number}
	/** Time until which the lease is certain to hold; it says nothing about the records under it, which the store may have removed: `validUntil` in monotonic ms, `wallValidUntil` in Unix ms. */
	| {readonly kind: 'session-renewed'; readonly validUntil: number; readonly wallValidUntil: number}
	| {readonly kind: 'members-listed'; readonly members: readonly Member[]}
	| {readonly kind: 'member-changed'; readonly node: string; readonly member: Member | undefined}
	| {readonly kind: 'claims-listed'; readonly claims: readonly Claim[]}
	| {readonly kind: 'claim-changed'; readonly name: string; readonly claim: Claim | undefined}
	/** The entry that held a claim last, for claims for which that is stored; `revision` is that of its record. */
	| {readonly kind: 'last-holder-changed'; readonly name: string; readonly node: string; readonly revision: number}
	| {readonly kind: 'claim-answered'; readonly name: string; readonly result: WriteResult; readonly token: number}
	/** The store has carried out a call on the condition that the claim's record is unchanged; the clocks were read before the call was sent. */
	| {readonly kind: 'claim-confirmed'; readonly name: string; readonly token: number; readonly requestedAt: Clocks}
	| {readonly kind: 'configuration-changed'; readonly configuration: Configuration}
	/** A call that was sent at the given clocks has shown that this version is the operator's current one. */
	| {readonly kind: 'configuration-confirmed'; readonly version: number; readonly requestedAt: Clocks}
	| {readonly kind: 'endpoints-listed'; readonly endpoints: readonly Endpoint[]}
	| {readonly kind: 'endpoint-changed'; readonly endpoint: Endpoint}
	| {readonly kind: 'endpoint-removed'; readonly endpointId: string};

/** All records of a pool in the store. @public */
export type PoolRecords = {
	readonly pool: string;
	readonly token: number;
	readonly jobs: readonly StoredJob[];
	readonly ended: ReadonlyMap<string, EndedJob>;
	readonly roster: Roster;
	readonly rosterRevision: number;
	/** Endpoints that an owner of the pool has confirmed to be evacuated: they run nothing, and no task is started there until the request is withdrawn. */
	readonly evacuatedEndpointIds: readonly string[];
	/** What the previous owner has measured, by queue. */
	readonly durationModels: Readonly<Record<string, DurationModel>>;
};

/** Ownership of pools and of the fleet. @public */
export type OwnershipEvent =
	| {readonly kind: 'pool-lost'; readonly pool: string; readonly reason: string}
	/** A pool's records, read after its claim was made with this token. */
	| ({readonly kind: 'pool-read'} & PoolRecords)
	/** The same records, passed on only while the claim still holds. */
	| ({readonly kind: 'pool-loaded'} & PoolRecords)
	| {readonly kind: 'pool-load-failed'; readonly pool: string; readonly token: number}
	/** `isSameEntry`: this entry was also the last holder of the claim, in this process or an earlier one. */
	| {readonly kind: 'fleet-acquired'; readonly token: number; readonly isSameEntry: boolean; readonly previousToken: number | undefined}
	| {readonly kind: 'fleet-lost'}
	/** An order or a write was rejected because another entry holds the claim. */
	| {readonly kind: 'claim-superseded'; readonly name: string; readonly token: number};

/** Why a request is rejected because of its key. @public */
export type CallerRejectionReason = 'no-key' | 'unknown-key' | 'configuration-age';

/** Rejection of a request because of its key. @public */
export type CallerRejection = {
	readonly reason: CallerRejectionReason;
	/** Name of the account that has the key; undefined if none is known to have it. */
	readonly account: string | undefined;
	readonly answer: CallerAnswer;
};

/** Requests from callers, and results of the store calls made for them. @public */
export type CallerEvent =
	| {
		readonly kind: 'caller-requested';
		readonly requestId: string;
		readonly action: CallerAction;
		readonly queue: string;
		readonly jobId: string;
		readonly spec: JobSpec | undefined;
		/** SHA-256 hash of the caller's API key in lower-case hexadecimal; undefined when the request carries none. */
		readonly keyHash: string | undefined;
		/** Undefined for a request that must not be relayed, such as one that a peer has relayed to this entry. */
		readonly origin?: CallerOrigin | undefined;
	}
	/** A request that was answered before its body was read, because of its key. */
	| {
		readonly kind: 'caller-rejected';
		readonly requestId: string;
		readonly action: CallerAction;
		readonly queue: string;
		readonly jobId: string;
	} & CallerRejection
	| {
		readonly kind: 'job-stored';
		readonly requestId: string;
		/** `superseded`: the job was not stored, as the pool's admission record has another revision. `cancelled`: it was not stored, as it had been cancelled. */
		readonly result: WriteResult | 'superseded' | 'cancelled';
		/** After a conflict, the location that the store has for the job's id; undefined for a job that an entry of an earlier version has stored. */
		readonly location?: JobLocation | undefined;
	}
	| {readonly kind: 'progress-read'; readonly requestId: string; readonly result: 'found' | 'absent' | 'failed'; readonly progress: ProgressRecord | undefined}
	| {readonly kind: 'job-location-read'; readonly requestId: string; readonly result: 'found' | 'absent' | 'failed'; readonly location: JobLocation | undefined}
	/** `conflict`: the job is stored. */
	| {readonly kind: 'early-cancellation-stored'; readonly requestId: string; readonly result: WriteResult}
	| {readonly kind: 'cancelled-job-stored'; readonly requestId: string; readonly result: WriteResult}
	| {readonly kind: 'cancel-stored'; readonly requestId: string; readonly result: WriteResult}
	| {readonly kind: 'reports-read'; readonly requestId: string; readonly result: 'found' | 'failed'; readonly reports: readonly PoolReport[]}
	/** Number of jobs of a queue in the given pools whose stored record shows no started task. */
	| {readonly kind: 'queued-jobs-counted'; readonly requestId: string; readonly result: 'found' | 'failed'; readonly count: number}
	/** This entry cannot give a caller the store's decision; `answer` is what it can say by itself. */
	| {readonly kind: 'request-unanswered'; readonly requestId: string; readonly cause: UnansweredCause; readonly answer: CallerAnswer}
	| {readonly kind: 'relay-answered'; readonly requestId: string; readonly node: string; readonly result: RelayResult}
	/** The answer to a request that was relayed, or that no peer could be asked about. */
	| {readonly kind: 'relay-ended'; readonly requestId: string; readonly answer: CallerAnswer}
	| {readonly kind: 'job-recorded'; readonly stored: StoredJob}
	| {readonly kind: 'job-cancelled'; readonly pool: string; readonly jobId: string};

/** Answers from endpoints and from the advice service. @public */
export type EndpointEvent =
	| {
		readonly kind: 'poll-answered';
		readonly endpointId: string;
		/** Token of the claim that the order was given under. */
		readonly token: number;
		/** Generation of the order. */
		readonly generation: number;
		/** Monotonic clock of the endpoint in ms. */
		readonly clockMs: number;
		/** Unix ms at which the endpoint's process started. */
		readonly startedAt: number;
		readonly running: readonly ReportedRun[];
		readonly ended: readonly ReportedEnd[];
	}
	| {readonly kind: 'poll-refused'; readonly endpointId: string; readonly token: number; readonly generation: number; readonly refusal: OrderRefusal}
	| {readonly kind: 'start-answered'; readonly endpointId: string; readonly token: number; readonly taskId: string; readonly run: number; readonly clockMs: number}
	| {readonly kind: 'start-refused'; readonly endpointId: string; readonly token: number; readonly taskId: string; readonly run: number; readonly refusal: OrderRefusal}
	| {readonly kind: 'stop-answered'; readonly endpointId: string; readonly token: number; readonly generation: number; readonly taskId: string; readonly run: number; readonly refusal: OrderRefusal | undefined}
	| {readonly kind: 'pace-answered'; readonly endpointId: string; readonly token: number; readonly taskId: string; readonly run: number; readonly percent: number; readonly refusal: OrderRefusal | undefined}
	| {
		readonly kind: 'advice-answered';
		readonly pool: string;
		readonly stepId: string;
		/** Endpoints that the call named. */
		readonly endpointIds: readonly string[];
		/** By endpoint that may run the step; undefined if the call failed. */
		readonly tickets: ReadonlyMap<string, string> | undefined;
		readonly validMs: number;
		/** Whether all of the answer could be read, so that the other endpoints in the call may not run the step. */
		readonly isComplete: boolean;
	};

/** Runs of tasks and the endpoints they run on, exchanged between filters. @public */
export type RunEvent =
	| {
		readonly kind: 'task-placed';
		readonly pool: string;
		readonly taskId: string;
		readonly run: number;
		readonly endpointId: string;
		readonly checkpoint: string;
		readonly ticket: string | undefined;
	}
	/** An endpoint has confirmed a run for the first time. */
	| {readonly kind: 'run-confirmed'; readonly pool: string; readonly taskId: string}
	/** A run that a previous owner started. */
	| {readonly kind: 'run-adopted'; readonly pool: string; readonly taskId: string; readonly run: number; readonly endpointId: string}
	/** An endpoint lists a run of an occurrence that is not due yet by this entry's clock. */
	| {readonly kind: 'occurrence-reported'; readonly pool: string; readonly taskId: string}
	/** `wasExpected`: supervision knew the run; `tookMs` is 0 otherwise. */
	| {readonly kind: 'run-ended'; readonly pool: string; readonly endpointId: string; readonly endpointStartedAt: number; readonly end: ReportedEnd; readonly wasExpected: boolean; readonly tookMs: number; /** Progress in the last answer before the end. */ readonly percent: number}
	/** A run that is certain not to be running, and whose end the endpoint will not list. */
	| {readonly kind: 'run-dropped'; readonly pool: string; readonly taskId: string; readonly run: number; readonly endpointId: string; readonly reason: RunDropReason; readonly checkpoint: string}
	/** Every endpoint on which a previous owner may have started tasks has reported its runs, or can no longer run any. */
	| {readonly kind: 'pool-surveyed'; readonly pool: string}
	| {readonly kind: 'run-stop-requested'; readonly pool: string; readonly taskId: string; readonly reason: string}
	/** An endpoint does not answer; these runs and no others may be running there, or have ended there without the end being saved. */
	| {readonly kind: 'endpoint-silent'; readonly pool: string; readonly endpointId: string; readonly runs: readonly RunId[]}
	/** A silent endpoint answers again. */
	| {readonly kind: 'endpoint-recovered'; readonly pool: string; readonly endpointId: string}
	/** A process of an endpoint has answered, and only orders to it take effect there. */
	| {readonly kind: 'endpoint-process-accepted'; readonly pool: string; readonly endpointId: string; readonly startedAt: number}
	/** A run that may be running on an endpoint that did not answer the previous owner. */
	| {readonly kind: 'run-suspected'; readonly pool: string; readonly endpointId: string; readonly taskId: string; readonly run: number}
	/** An endpoint that has left the directory and on which nothing can run any more. */
	| {readonly kind: 'endpoint-forgotten'; readonly pool: string; readonly endpointId: string}
	/** The end with this number is in the store, so the endpoint may delete it. */
	| {readonly kind: 'end-saved'; readonly endpointId: string; readonly endpointStartedAt: number; readonly number: number}
	/** A decision needs the store's confirmation that this entry holds the claim on the pool now. */
	| {readonly kind: 'claim-confirmation-due'; readonly pool: string}
	/** Something has changed that may allow a task to start. */
	| {readonly kind: 'placement-due'; readonly pool: string};

/** Why a run was dropped; with `superseded`, a later run of the task is running elsewhere. @public */
export type RunDropReason = 'not-started' | 'lease-expired' | 'endpoint-restarted' | 'not-listed' | 'superseded';

/** Result of a write of a pool's records by its owner. @public */
export type SaveEvent = {
	readonly kind: 'progress-saved';
	readonly pool: string;
	readonly token: number;
	readonly saveId: number;
	readonly result: WriteResult;
	/** New revision of the records if the write was applied, else 0. */
	readonly revision: number;
	/** Present revisions of the records after a conflict, by job; undefined when they are not known. */
	readonly presentRevisions: ReadonlyMap<string, number> | undefined;
	readonly isClaimLost: boolean;
};

/** Records by which entries refuse jobs that would be too late. */
export type AdmissionEvent =
	| {readonly kind: 'admission-changed'; readonly admission: StoredAdmission}
	/** The answer to `read-admission`: first the record was read, then whether the job is stored. */
	| {
		readonly kind: 'admission-read';
		readonly requestId: string;
		/** Undefined if the store did not answer. */
		readonly found: {
			readonly admission: StoredAdmission;
			/** Whether there is a job with this id in the queue's pool. */
			readonly isJobStored: boolean;
			/** Location of the job with this id, in whichever pool; undefined for a job that an entry of an earlier version has stored. */
			readonly location: JobLocation | undefined;
		} | undefined;
	}
	| {
		readonly kind: 'admission-written';
		readonly pool: string;
		/** Submission for which an entry has lifted the record; undefined when the pool's owner has written it. */
		readonly requestId: string | undefined;
		readonly result: WriteResult;
		/** The record if the write was applied. */
		readonly admission: StoredAdmission | undefined;
	};

/** Shares of accounts in the store, and what the pools want of them. */
export type QuotaEvent =
	/** The records of all accounts, read after the claims on these pools were made. */
	| {readonly kind: 'shares-listed'; readonly owned: readonly OwnedPool[]; readonly shares: readonly StoredShares[]}
	| {readonly kind: 'shares-changed'; readonly shares: StoredShares}
	/** The answer to `read-shares` for one account. */
	| {readonly kind: 'shares-read'; readonly shares: StoredShares}
	| {
		readonly kind: 'shares-written';
		readonly pool: string;
		readonly token: number;
		readonly writeId: number;
		readonly result: WriteResult;
		/** New revision of the records if the write was applied, else 0. */
		readonly revision: number;
		/** Present revisions of the records after a conflict, by account. */
		readonly presentRevisions: ReadonlyMap<string, number>;
		readonly isClaimLost: boolean;
	}
	/** What the tasks of a pool would take, by account, that could start now if their account's share were larger. */
	| {readonly kind: 'account-demand-measured'; readonly pool: string; readonly demands: ReadonlyMap<string, AccountDemand>}
	/** Shares are to be compared with what the pools want. */
	| {readonly kind: 'shares-review-due'};

/** @public */
export type AccountDemand = {
	readonly resources: Resources;
	/** What the task or gang takes that comes first, and its step; undefined if it has no room. */
	readonly unit?: {readonly resources: Resources; readonly stepId: string} | undefined;
	/** Number of jobs with tasks that wait only because of their account's share. */
	readonly jobCount: number;
};

/** @public */
export type MachineOrder = 'move' | 'maintain';

/** Machines, maintenance waves and evacuations of endpoints. @public */
export type FleetEvent =
	/** The list of machines was read. `requestedAt`: when it was requested, in monotonic ms. */
	| {readonly kind: 'machines-listed'; readonly requestedAt: number; readonly machines: readonly Machine[]}
	/** The list of machines could not be read. */
	| {readonly kind: 'machine-list-failed'; readonly requestedAt: number}
	| {readonly kind: 'wave-changed'; readonly wave: Wave; readonly seenAt: number}
	| {readonly kind: 'wave-removed'; readonly number: number}
	/** Machines that a previous holder of the fleet's claim has had maintained. */
	| {readonly kind: 'wave-progress-read'; readonly number: number; readonly maintained: readonly string[]; readonly isDone: boolean}
	/** The machine service's answer to an order. */
	| {readonly kind: 'machine-order-answered'; readonly machine: string; readonly order: MachineOrder; readonly result: 'accepted' | 'fenced' | 'busy' | 'not-in-wave' | 'invalid' | 'limited' | 'unknown'}
	| {readonly kind: 'wave-status-written'; readonly number: number; readonly result: WriteResult}
	/** Machines that the holder with the given token may have ordered in its last seconds. */
	| {readonly kind: 'recent-orders-read'; readonly token: number; readonly machines: readonly string[]}
	/** What an earlier holder of the fleet's claim has learned. */
	| {readonly kind: 'demand-history-read'; readonly history: readonly PoolDemandHistory[]}
	| {readonly kind: 'demand-history-written'; readonly result: WriteResult}
	| {readonly kind: 'report-changed'; readonly report: PoolReport}
	| {readonly kind: 'evacuation-requested'; readonly request: EvacuationRequest}
	| {readonly kind: 'evacuation-withdrawn'; readonly pool: string; readonly endpointId: string}
	| {readonly kind: 'endpoint-evacuated'; readonly evacuated: EvacuatedEndpoint}
	/** An endpoint of an owned pool runs nothing, and nothing will be started there until the evacuation request is withdrawn. */
	| {readonly kind: 'evacuation-completed'; readonly pool: string; readonly endpointId: string};

/** @public */
export type JobEvent = CoordinationEvent | OwnershipEvent | CallerEvent | EndpointEvent | RunEvent | SaveEvent | AdmissionEvent | QuotaEvent | FleetEvent;

/** @public */
export type JobEventOf<Kind extends JobEvent['kind']> = Extract<JobEvent, {kind: Kind}>;

