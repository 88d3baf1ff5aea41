import {type HandlerFailed} from '@pistachiogauge/chain';
import {
	type PoolReport, type Roster, type EvacuationRequest, type EvacuatedEndpoint,
} from './coordination.js';
import {type CallerAction, type MachineOrder} from './events.js';
import {
	type JobRecord, type JobStatus, type ProgressRecord,
} from './job.js';
import {type WaveStatus} from './machine.js';

/** @public */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Answer to a caller, free of its encoding. @public */
export type CallerAnswer =
	| {readonly kind: 'accepted'}
	| {readonly kind: 'status'; readonly status: JobStatus}
	| {readonly kind: 'waiting'; readonly waiting: number}
	| {readonly kind: 'cancelled'}
	| {readonly kind: 'unknown-queue'}
	| {readonly kind: 'unknown-job'}
	| {readonly kind: 'invalid'; readonly message: string}
	/** Not accepted, and never runs under this attempt. */
	| {readonly kind: 'refused'; readonly reason: string; readonly retryAfterMs: number}
	/** It cannot be told whether the request took effect; the same request may be sent again. */
	| {readonly kind: 'undecided'; readonly reason: string};

/** Calls to the store. @public */
export type StoreEffect =
	/** Claims a name; `expectedToken` is the token of a claim to be replaced, 0 for none. */
	| {
		readonly kind: 'claim';
		readonly name: string;
		readonly expectedToken: number;
		/** Revision of the record of the last holder, 0 for none; undefined where none is kept. */
		readonly lastHolderRevision: number | undefined;
	}
	| {readonly kind: 'load-pool'; readonly pool: string; readonly token: number}
	| {readonly kind: 'unload-pool'; readonly pool: string}
	| {readonly kind: 'follow-fleet'; readonly isFollowing: boolean}
	| {readonly kind: 'store-job'; readonly requestId: string; readonly job: JobRecord}
	| {readonly kind: 'read-progress'; readonly requestId: string; readonly pool: string; readonly jobId: string}
	| {readonly kind: 'store-cancel'; readonly requestId: string; readonly pool: string; readonly jobId: string}
	| {readonly kind: 'read-report'; readonly requestId: string; readonly pool: string}
	| {
		readonly kind: 'save-progress';
		readonly pool: string;
		readonly token: number;
		readonly saveId: number;
		readonly records: ReadonlyArray<{readonly jobId: string; readonly revision: number; readonly progress: ProgressRecord}>;
		/** Endpoints that may run tasks from now on, when that list has changed. */
		readonly roster: {readonly roster: Roster; readonly revision: number} | undefined;
	}
	| {readonly kind: 'delete-ended-jobs'; readonly pool: string; readonly token: number; readonly jobIds: readonly string[]}
	| {readonly kind: 'publish-report'; readonly token: number; readonly report: PoolReport}
	| {readonly kind: 'request-evacuation'; readonly request: EvacuationRequest}
	| {readonly kind: 'withdraw-evacuation'; readonly pool: string; readonly endpointId: string}
	| {readonly kind: 'confirm-evacuation'; readonly token: number; readonly evacuated: EvacuatedEndpoint}
	| {readonly kind: 'write-wave-status'; readonly number: number; readonly status: WaveStatus; readonly maintained: readonly string[]};

/** Address and incarnation that an order is meant for. @public */
export type OrderTarget = {
	readonly endpointId: string;
	readonly address: string;
	readonly token: number;
};

/** Calls to endpoints, the advice service and the machine service. @public */
export type OrderEffect =
	| {
		readonly kind: 'poll-endpoint';
		readonly target: OrderTarget;
		/** Ends up to this number have been recorded. */
		readonly lastSavedEnd: number;
		/** On the endpoint's clock; undefined to leave the lease as it is. */
		readonly deadlineMs: number | undefined;
		/** How long the endpoint may wait for an end before it answers. */
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
	| {readonly kind: 'pace-task'; readonly target: OrderTarget; readonly taskId: string; readonly run: number; readonly percent: number}
	| {readonly kind: 'ask-advice'; readonly pool: string; readonly stepId: string; readonly endpointIds: readonly string[]}
	| {readonly kind: 'list-machines'}
	| {
		readonly kind: 'order-machine';
		readonly order: MachineOrder;
		readonly machine: string;
		readonly token: number;
		/** Where a move goes to. */
		readonly pool: string;
		/** Wave that maintenance belongs to. */
		readonly wave: number;
		/** Monotonic ms after which the order must not be sent any more. */
		readonly validUntil: number;
	};

/** @public */
export type JobEffect =
	| StoreEffect
	| OrderEffect
	| {readonly kind: 'answer-caller'; readonly requestId: string; readonly action: CallerAction; readonly answer: CallerAnswer}
	| {readonly kind: 'close-session'}
	| {readonly kind: 'log'; readonly level: LogLevel; readonly message: string; readonly fields: Readonly<Record<string, unknown>>}
	| {readonly kind: 'count'; readonly metric: string; readonly by: number}
	| {readonly kind: 'record-value'; readonly metric: string; readonly value: number}
	| HandlerFailed;

/** @public */
export type JobEffectOf<Kind extends JobEffect['kind']> = Extract<JobEffect, {kind: Kind}>;
