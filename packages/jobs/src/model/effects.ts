import {type HandlerFailed} from '@pistachiogauge/chain';
import {type AdmissionRecord} from './admission.js';
import {type CallerAnswer} from './caller-answer.js';
import {
	type OwnedPool, type PoolDemandHistory, type PoolReport, type Roster, type EvacuationRequest, type EvacuatedEndpoint, type ShareRecord,
} from './coordination.js';
import {type MachineOrder} from './events.js';
import {
	type JobAddress, type JobLocation, type JobRecord, type ProgressRecord,
} from './job.js';
import {type WaveStatus} from './machine.js';
import {type CallerAction, type RelayedRequest} from './relay.js';

/** @public */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Calls to the store. @public */
export type StoreEffect =
	/** Makes a claim; `expectedToken` is the token of the claim to replace, 0 if there must be none. */
	| {
		readonly kind: 'claim';
		readonly name: string;
		readonly expectedToken: number;
		/** Revision of the record of the last holder, 0 for none; undefined for claims without such a record. */
		readonly lastHolderRevision: number | undefined;
	}
	/** Reads the claim's record and confirms the claim, or reports its loss. */
	| {readonly kind: 'confirm-claim'; readonly name: string; readonly token: number}
	| {readonly kind: 'load-pool'; readonly pool: string; readonly token: number}
	| {readonly kind: 'unload-pool'; readonly pool: string}
	/** Starts or stops watching the records that the holder of the fleet's claim needs. */
	| {readonly kind: 'follow-fleet'; readonly isFollowing: boolean}
	| {
		readonly kind: 'store-job';
		readonly requestId: string;
		readonly job: JobRecord;
		/** Stored with the job, on condition that its id has none and that no early cancellation for it is stored. */
		readonly location: JobLocation;
		/** Revision that the pool's admission record must have, 0 for none; undefined where no job is refused by it. */
		readonly admissionRevision?: number | undefined;
	}
	/** Reads the pool's admission record, and then whether the job is stored. */
	| {readonly kind: 'read-admission'; readonly requestId: string; readonly pool: string; readonly jobId: string}
	/** Replaces the pool's admission record on condition of its revision and, for its owner, of the claim. */
	| {
		readonly kind: 'write-admission';
		readonly pool: string;
		/** Token of the claim; undefined when an entry that does not own the pool lifts the record. */
		readonly token: number | undefined;
		readonly requestId: string | undefined;
		readonly revision: number;
		readonly record: AdmissionRecord;
	}
	| {readonly kind: 'read-progress'; readonly requestId: string; readonly pool: string; readonly jobId: string}
	| {readonly kind: 'read-job-location'; readonly requestId: string; readonly jobId: string}
	/** Stores for some minutes that a job is cancelled whose id has no location. */
	| {readonly kind: 'store-early-cancellation'; readonly requestId: string; readonly jobId: string; readonly address: JobAddress}
	/** Stores for some minutes that a job was submitted after it had been cancelled. */
	| {readonly kind: 'store-cancelled-job'; readonly requestId: string; readonly jobId: string; readonly location: JobLocation}
	| {readonly kind: 'store-cancel'; readonly requestId: string; readonly pool: string; readonly jobId: string}
	/** Reads the reports of all pools. */
	| {readonly kind: 'read-reports'; readonly requestId: string}
	/** Counts the jobs of a queue by the records of these pools. */
	| {readonly kind: 'count-queued-jobs'; readonly requestId: string; readonly pools: readonly string[]; readonly queue: string}
	| {
		readonly kind: 'save-progress';
		readonly pool: string;
		readonly token: number;
		readonly saveId: number;
		readonly records: ReadonlyArray<{readonly jobId: string; readonly revision: number; readonly progress: ProgressRecord}>;
		/** Endpoints that may run tasks from now on; undefined if unchanged. */
		readonly roster: {readonly roster: Roster; readonly revision: number} | undefined;
	}
	/** Deletes the records of jobs that ended long ago. */
	| {readonly kind: 'delete-ended-jobs'; readonly pool: string; readonly token: number; readonly jobIds: readonly string[]}
	| {readonly kind: 'publish-report'; readonly token: number; readonly report: PoolReport}
	/** Lists the shares of all accounts anew and watches them from then on for the owner of these pools; without a pool, ends the watch. */
	| {readonly kind: 'follow-shares'; readonly owned: readonly OwnedPool[]}
	/** Reads the shares of accounts back. */
	| {readonly kind: 'read-shares'; readonly accounts: readonly string[]}
	/** Replaces the shares of accounts, all or none: on condition that each record has the given revision, 0 for none, and that the claim on the pool is unchanged. */
	| {
		readonly kind: 'write-shares';
		readonly pool: string;
		readonly token: number;
		readonly writeId: number;
		readonly records: ReadonlyArray<{readonly account: string; readonly revision: number; readonly record: ShareRecord}>;
	}
	| {readonly kind: 'request-evacuation'; readonly request: EvacuationRequest}
	| {readonly kind: 'withdraw-evacuation'; readonly pool: string; readonly endpointId: string}
	| {readonly kind: 'confirm-evacuation'; readonly token: number; readonly evacuated: EvacuatedEndpoint}
	/** Takes the machines that the previous holder may have ordered over into the record of this one. */
	| {readonly kind: 'carry-over-orders'}
	| {readonly kind: 'write-demand-history'; readonly history: readonly PoolDemandHistory[]}
	| {readonly kind: 'write-wave-status'; readonly number: number; readonly status: WaveStatus; readonly maintained: readonly string[]};

/** Endpoint that an order is addressed to, and what its fencing token is made of. @public */
export type OrderTarget = {
	readonly endpointId: string;
	readonly address: string;
	/** Token of the claim that the order is given under. */
	readonly token: number;
	/** Number of times that the owner has shut out its earlier orders to the endpoint, from 0 to `maxOrderGeneration`. */
	readonly generation: number;
};

/** Calls to endpoints, the advice service and the machine service. @public */
export type OrderEffect =
	/** Renews the lease of an endpoint and asks for its runs. */
	| {
		readonly kind: 'poll-endpoint';
		readonly target: OrderTarget;
		/** All ends up to this number are in the store. */
		readonly lastSavedEnd: number;
		/** New end of the lease on the endpoint's clock; undefined to leave the lease unchanged. */
		readonly deadlineMs: number | undefined;
		/** Long poll: time for which the endpoint may wait for an end before it answers. */
		readonly waitMs: number;
	}
	| {
		readonly kind: 'start-task';
		readonly target: OrderTarget;
		readonly taskId: string;
		readonly run: number;
		readonly payload: string;
		readonly deadlineMs: number;
		readonly checkpoint: string;
		readonly ticket: string | undefined;
	}
	| {readonly kind: 'stop-task'; readonly target: OrderTarget; readonly taskId: string; readonly run: number}
	/** Limits the CPU use of a filler run. */
	| {readonly kind: 'pace-task'; readonly target: OrderTarget; readonly taskId: string; readonly run: number; readonly percent: number}
	| {readonly kind: 'ask-advice'; readonly pool: string; readonly stepId: string; readonly endpointIds: readonly string[]}
	/** Reads the list of machines; the answer names the time in monotonic ms at which it was requested. */
	| {readonly kind: 'list-machines'; readonly requestedAt: number}
	| {
		readonly kind: 'order-machine';
		readonly order: MachineOrder;
		readonly machine: string;
		readonly token: number;
		/** Target pool of a move. */
		readonly pool: string;
		/** Number of the wave that asked for the maintenance; 0 for a move. */
		readonly wave: number;
		/** Monotonic ms after which the order must not be sent. */
		readonly validUntil: number;
		/** Unix ms after which the order must not be sent. */
		readonly wallValidUntil: number;
	};

/** @public */
export type JobEffect =
	| StoreEffect
	| OrderEffect
	/** Asks a peer to handle a caller's request; the sink looks up its address and secret in the member's record. */
	| {readonly kind: 'relay-request'; readonly requestId: string; readonly node: string; readonly request: RelayedRequest; readonly timeoutMs: number}
	| {readonly kind: 'answer-caller'; readonly requestId: string; readonly action: CallerAction; readonly answer: CallerAnswer}
	| {readonly kind: 'close-session'}
	| {readonly kind: 'log'; readonly level: LogLevel; readonly message: string; readonly fields: Readonly<Record<string, unknown>>}
	| {readonly kind: 'count'; readonly metric: string; readonly by: number}
	| {readonly kind: 'record-value'; readonly metric: string; readonly value: number}
	| HandlerFailed;

/** @public */
export type JobEffectOf<Kind extends JobEffect['kind']> = Extract<JobEffect, {kind: Kind}>;
