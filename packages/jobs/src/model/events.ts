import {type Configuration} from './configuration.js';
import {
	type Claim, type Member, type PoolReport, type Roster, type RunId, type EvacuationRequest, type EvacuatedEndpoint,
} from './coordination.js';
import {type Endpoint, type ReportedEnd, type ReportedRun} from './endpoint.js';
import {
	type JobRecord, type JobSpec, type JobStatus, type ProgressRecord,
} from './job.js';
import {type Machine, type Wave} from './machine.js';

/** What a caller wants. @public */
export type CallerAction = 'submit' | 'get' | 'cancel' | 'count';

/** Result of a call to the store that may or may not have been carried out. */
type WriteResult = 'applied' | 'conflict' | 'refused' | 'unknown';

/** A job with its progress and the revision of its progress record. @public */
export type StoredJob = {
	readonly job: JobRecord;
	readonly progress: ProgressRecord;
	readonly revision: number;
	readonly isCancelled: boolean;
};

/** What is kept of a job that has ended. @public */
export type EndedJob = {
	readonly queue: string;
	readonly status: JobStatus;
	/** Unix ms. */
	readonly endedAt: number;
};

/** Why an endpoint did not carry out an order. @public */
export type OrderRefusal =
	/** It has seen a higher fencing token. */
	| 'fenced'
	/** The run is not higher than one that was stopped or ended there. */
	| 'outdated'
	/** The start's deadline had passed. */
	| 'late'
	| 'no-room'
	| 'no-ticket'
	| 'invalid'
	/** It is unhealthy and has done nothing. */
	| 'unhealthy'
	/** Another incarnation answers at the address. */
	| 'other-incarnation'
	/** The connection was refused; nothing was sent. */
	| 'not-sent'
	/** No answer: the order may still be carried out, also seconds later. */
	| 'no-answer';

/** Members and claims. @public */
export type CoordinationEvent =
	| {readonly kind: 'tick'}
	| {readonly kind: 'shutdown-requested'}
	/** The process holds a lease in the store under which it is registered. */
	| {readonly kind: 'session-opened'}
	/** The lease has ended; claims made under it are gone. */
	| {readonly kind: 'session-lost'}
	/** Whether the store answers this entry. */
	| {readonly kind: 'store-reached'}
	| {readonly kind: 'store-lost'}
	/** Monotonic ms up to which the lease holds for certain. */
	| {readonly kind: 'session-renewed'; readonly validUntil: number}
	| {readonly kind: 'members-listed'; readonly members: readonly Member[]}
	| {readonly kind: 'member-changed'; readonly node: string; readonly member: Member | undefined}
	| {readonly kind: 'claims-listed'; readonly claims: readonly Claim[]}
	| {readonly kind: 'claim-changed'; readonly name: string; readonly claim: Claim | undefined}
	/** Which entry held a claim last, as far as that is kept; `revision` is that of its record. */
	| {readonly kind: 'last-holder-changed'; readonly name: string; readonly node: string; readonly revision: number}
	| {readonly kind: 'claim-answered'; readonly name: string; readonly result: WriteResult; readonly token: number}
	| {readonly kind: 'configuration-changed'; readonly configuration: Configuration}
	| {readonly kind: 'endpoints-listed'; readonly endpoints: readonly Endpoint[]}
	| {readonly kind: 'endpoint-changed'; readonly endpoint: Endpoint}
	| {readonly kind: 'endpoint-removed'; readonly endpointId: string};

/** What the store holds for a pool. @public */
export type PoolRecords = {
	readonly pool: string;
	readonly token: number;
	readonly jobs: readonly StoredJob[];
	readonly ended: ReadonlyMap<string, EndedJob>;
	readonly roster: Roster;
	readonly rosterRevision: number;
};

/** Ownership of a pool, made by the authority filter. @public */
export type OwnershipEvent =
	| {readonly kind: 'pool-lost'; readonly pool: string; readonly reason: string}
	/** A pool's records as read after its claim with this token. */
	| ({readonly kind: 'pool-read'} & PoolRecords)
	/** The same, where the claim still holds. */
	| ({readonly kind: 'pool-loaded'} & PoolRecords)
	| {readonly kind: 'pool-load-failed'; readonly pool: string; readonly token: number}
	/** `isSameEntry`: this entry held the claim last, in this life or a former one. */
	| {readonly kind: 'fleet-acquired'; readonly token: number; readonly isSameEntry: boolean}
	| {readonly kind: 'fleet-lost'}
	/** An order or a record was turned down, as another holds the claim. */
	| {readonly kind: 'claim-superseded'; readonly name: string; readonly token: number};

/** Callers' requests and the records they need. @public */
export type CallerEvent =
	| {
		readonly kind: 'caller-requested';
		readonly requestId: string;
		readonly action: CallerAction;
		readonly queue: string;
		readonly jobId: string;
		readonly spec: JobSpec | undefined;
	}
	| {readonly kind: 'job-stored'; readonly requestId: string; readonly result: WriteResult}
	| {readonly kind: 'progress-read'; readonly requestId: string; readonly result: 'found' | 'absent' | 'failed'; readonly progress: ProgressRecord | undefined}
	| {readonly kind: 'cancel-stored'; readonly requestId: string; readonly result: WriteResult}
	| {readonly kind: 'report-read'; readonly requestId: string; readonly result: 'found' | 'absent' | 'failed'; readonly report: PoolReport | undefined}
	| {readonly kind: 'job-recorded'; readonly stored: StoredJob}
	| {readonly kind: 'job-cancelled'; readonly pool: string; readonly jobId: string};

/** What endpoints answer. @public */
export type EndpointEvent =
	| {
		readonly kind: 'poll-answered';
		readonly endpointId: string;
		/** Fencing token of the order. */
		readonly token: number;
		/** Steady clock of the endpoint in ms. */
		readonly clockMs: number;
		readonly startedAt: number;
		readonly running: readonly ReportedRun[];
		readonly ended: readonly ReportedEnd[];
	}
	| {readonly kind: 'poll-refused'; readonly endpointId: string; readonly token: number; readonly refusal: OrderRefusal}
	| {readonly kind: 'start-answered'; readonly endpointId: string; readonly token: number; readonly taskId: string; readonly run: number; readonly clockMs: number}
	| {readonly kind: 'start-refused'; readonly endpointId: string; readonly token: number; readonly taskId: string; readonly run: number; readonly refusal: OrderRefusal}
	| {readonly kind: 'stop-answered'; readonly endpointId: string; readonly token: number; readonly taskId: string; readonly run: number; readonly refusal: OrderRefusal | undefined}
	| {readonly kind: 'pace-answered'; readonly endpointId: string; readonly token: number; readonly taskId: string; readonly run: number; readonly percent: number; readonly refusal: OrderRefusal | undefined}
	| {readonly kind: 'advice-answered'; readonly pool: string; readonly stepId: string; readonly tickets: ReadonlyMap<string, string> | undefined; readonly validMs: number};

/** Runs of tasks, from supervision to the filters after it. @public */
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
	/** A run that a former owner started. */
	| {readonly kind: 'run-adopted'; readonly pool: string; readonly taskId: string; readonly run: number; readonly endpointId: string}
	| {readonly kind: 'run-ended'; readonly pool: string; readonly endpointId: string; readonly end: ReportedEnd; readonly wasExpected: boolean; readonly tookMs: number}
	/** A run that is certain not to be at work, and of which no end will be listed. */
	| {readonly kind: 'run-dropped'; readonly pool: string; readonly taskId: string; readonly run: number; readonly endpointId: string; readonly reason: RunDropReason; readonly checkpoint: string}
	/** Every endpoint that may run something for the pool has told what it runs, or can run nothing any more. */
	| {readonly kind: 'pool-surveyed'; readonly pool: string}
	| {readonly kind: 'run-stop-requested'; readonly pool: string; readonly taskId: string; readonly reason: string}
	/** An endpoint that has left, and on which nothing can run any more. */
	/** An endpoint does not answer; these runs may be at work there, and no others. */
	| {readonly kind: 'endpoint-silent'; readonly pool: string; readonly endpointId: string; readonly runs: readonly RunId[]}
	/** One that did not answer does again. */
	| {readonly kind: 'endpoint-recovered'; readonly pool: string; readonly endpointId: string}
	/** A run that may be at work on an endpoint that did not answer the former owner. */
	| {readonly kind: 'run-suspected'; readonly pool: string; readonly endpointId: string; readonly taskId: string; readonly run: number}
	| {readonly kind: 'endpoint-forgotten'; readonly pool: string; readonly endpointId: string}
	| {readonly kind: 'end-saved'; readonly endpointId: string; readonly number: number}
	/** Something changed that may let a task start. */
	| {readonly kind: 'placement-due'; readonly pool: string};

/** @public */
export type RunDropReason = 'not-started' | 'lease-expired' | 'endpoint-restarted' | 'not-listed' | 'superseded';

/** Records of a pool that its owner writes. @public */
export type SaveEvent = {
	readonly kind: 'progress-saved';
	readonly pool: string;
	readonly token: number;
	readonly saveId: number;
	readonly result: WriteResult;
	/** New revision of the records when applied. */
	readonly revision: number;
	/** Present records where one of them was not as expected, by job; undefined when the claim itself was not. */
	readonly presentRevisions: ReadonlyMap<string, number> | undefined;
	readonly isClaimLost: boolean;
};

/** @public */
export type MachineOrder = 'move' | 'maintain';

/** Machines and waves. @public */
export type FleetEvent =
	| {readonly kind: 'machines-listed'; readonly machines: readonly Machine[]}
	| {readonly kind: 'machine-list-failed'}
	| {readonly kind: 'wave-changed'; readonly wave: Wave; readonly seenAt: number}
	| {readonly kind: 'wave-removed'; readonly number: number}
	/** Machines that a former holder has had maintained. */
	| {readonly kind: 'wave-progress-read'; readonly number: number; readonly maintained: readonly string[]; readonly isDone: boolean}
	| {readonly kind: 'machine-order-answered'; readonly machine: string; readonly order: MachineOrder; readonly result: 'accepted' | 'fenced' | 'busy' | 'not-in-wave' | 'invalid' | 'limited' | 'unknown'}
	| {readonly kind: 'wave-status-written'; readonly number: number; readonly result: WriteResult}
	| {readonly kind: 'report-changed'; readonly report: PoolReport}
	| {readonly kind: 'evacuation-requested'; readonly request: EvacuationRequest}
	| {readonly kind: 'evacuation-withdrawn'; readonly pool: string; readonly endpointId: string}
	| {readonly kind: 'endpoint-evacuated'; readonly evacuated: EvacuatedEndpoint}
	/** Nothing runs on an endpoint of an own pool, and nothing will be started there until the wish is withdrawn. */
	| {readonly kind: 'evacuation-completed'; readonly pool: string; readonly endpointId: string};

/** @public */
export type JobEvent = CoordinationEvent | OwnershipEvent | CallerEvent | EndpointEvent | RunEvent | SaveEvent | FleetEvent;

/** @public */
export type JobEventOf<Kind extends JobEvent['kind']> = Extract<JobEvent, {kind: Kind}>;

