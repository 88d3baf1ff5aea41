import {
	type AttemptId, type EntryId, type InstanceId, type PoolName, type RequestId,
} from './identifiers.js';
import {type HeaderList, type RequestResult, type ServiceRequest} from './request.js';
import {type ListedInstance} from './fleet.js';
import {type OperatorCommand} from './operator-command.js';
import {type PeerMessage, type PeerMessageKind} from './messages.js';

/** How an attempt at an endpoint failed. Only `not-sent` proves that the request did not run. @public */
export type AttemptFailure = 'not-sent' | 'connection-lost' | 'answer-truncated' | 'answer-timeout';

/** Result of a read or write in the store. After `failed`, a write may or may not have taken effect. @public */
export type StoreResult = 'applied' | 'conflict' | 'failed';

/** A key of the store with its value and the revision of its last change. @public */
export type KeyValue = {
	readonly key: string;
	readonly value: string;
	readonly revision: number;
};

/** Receipt of a message from another entry. @public */
export type PeerEvent = {
	[Kind in PeerMessageKind]: {
		readonly kind: `peer-${Kind}`;
		readonly from: EntryId;
		readonly message: Extract<PeerMessage, {kind: Kind}>;
	};
}[PeerMessageKind];

/** Events that enter an entry from outside. @public */
export type InputEvent =
	| PeerEvent
	| {readonly kind: 'tick'}
	| {readonly kind: 'request-received'; readonly request: ServiceRequest}
	| {readonly kind: 'caller-gone'; readonly requestId: RequestId}
	| {readonly kind: 'link-up'; readonly entryId: EntryId}
	| {readonly kind: 'link-down'; readonly entryId: EntryId}
	| {readonly kind: 'endpoint-answered'; readonly attemptId: AttemptId; readonly status: number; readonly headers: HeaderList; readonly body: Uint8Array}
	| {readonly kind: 'endpoint-failed'; readonly attemptId: AttemptId; readonly failure: AttemptFailure}
	| {readonly kind: 'probe-ended'; readonly instanceId: string; readonly isHealthy: boolean}
	| {readonly kind: 'reboot-ended'; readonly instanceId: string; readonly isAccepted: boolean}
	| {readonly kind: 'store-answered'; readonly operationId: string; readonly result: StoreResult; readonly entries: readonly KeyValue[]}
	| {readonly kind: 'store-changed'; readonly key: string; readonly value?: string; readonly revision: number}
	| {readonly kind: 'store-reached'}
	| {readonly kind: 'store-lost'}
	| {readonly kind: 'instances-listed'; readonly instances: readonly ListedInstance[]}
	| {readonly kind: 'operator-called'; readonly callId: string; readonly operator: string; readonly command: OperatorCommand}
	| {readonly kind: 'shutdown-requested'};

/** Events that filters emit for later filters, or for the whole chain. @public */
export type DerivedEvent =
	/** A request has reached the owner of its pool. */
	| {readonly kind: 'request-submitted'; readonly request: ServiceRequest; readonly receiver: EntryId; readonly pool: string}
	/** A task that is to be recorded has reached the owner of its pool. */
	| {readonly kind: 'task-submitted'; readonly request: ServiceRequest; readonly receiver: EntryId; readonly pool: string}
	/** A query for the status of a task has reached the owner of its pool. */
	| {readonly kind: 'task-status-requested'; readonly request: ServiceRequest; readonly receiver: EntryId; readonly pool: string}
	/** The idempotency filter has established that the request is not a duplicate, so that it may run. */
	| {readonly kind: 'request-deduplicated'; readonly request: ServiceRequest; readonly receiver: EntryId; readonly pool: string}
	/** A request is queued for a slot, either after its admission or for a retry. */
	| {readonly kind: 'request-queued'; readonly work: PoolWork}
	/** An attempt at an endpoint has ended; the retry filter decides whether to retry. */
	| {readonly kind: 'attempt-ended'; readonly work: PoolWork; readonly instanceId: InstanceId; readonly durationMs: number; readonly result: AttemptResult}
	/** The owner has finished a request. Always enters the chain at the first filter. */
	| {readonly kind: 'request-ended'; readonly requestId: RequestId; readonly receiver: EntryId; readonly result: RequestResult}
	/** A request that did not run here is returned to its receiver, which looks up the new owner. */
	| {readonly kind: 'request-returned'; readonly requestId: RequestId; readonly receiver: EntryId}
	/** A result is ready to be sent to the receiver of the request. */
	| {readonly kind: 'result-ready'; readonly requestId: RequestId; readonly receiver: EntryId; readonly result: RequestResult}
	/** This entry has adopted a new epoch. */
	| {readonly kind: 'epoch-adopted'; readonly epoch: number}
	/** This entry may now act for a pool that it did not own before. `wasStandby` tells whether it was the pool's standby in the previous epoch. */
	| {readonly kind: 'pool-acquired'; readonly pool: string; readonly wasStandby: boolean}
	/** This entry no longer owns a pool. */
	| {readonly kind: 'pool-lost'; readonly pool: string}
	/** An operator's command has been carried out or refused. */
	| {readonly kind: 'operator-answered'; readonly callId: string; readonly status: number; readonly body: unknown}
	/** A new bundle has become active at this entry. */
	| {readonly kind: 'bundle-applied'; readonly version: number}
	/** A change, or its refusal, is to be written to the audit trail. */
	| {readonly kind: 'audit-event'; readonly by: string; readonly action: string; readonly subject: string; readonly result: 'done' | 'refused'; readonly detail: string};

/** A request that the owner of its pool has admitted, with the state of its attempts. @public */
export type PoolWork = {
	readonly request: ServiceRequest;
	readonly receiver: EntryId;
	readonly pool: PoolName;
	/** Monotonic time in milliseconds. */
	readonly deadlineAt: number;
	/** Instances at which attempts have failed, most recent last. */
	readonly triedInstances: readonly InstanceId[];
	/** Number of attempts that endpoints refused without executing them; absent before the first one. */
	readonly refusalCount?: number;
	/** Whether an earlier attempt may have run; true only for idempotent requests. */
	readonly mayHaveRun: boolean;
	/** Monotonic time in milliseconds before which no further attempt starts. */
	readonly notBefore: number;
};

/** Result of an attempt at an endpoint. @public */
export type AttemptResult =
	| {readonly kind: 'answered'; readonly status: number; readonly headers: HeaderList; readonly body: Uint8Array}
	| {readonly kind: 'failed'; readonly failure: AttemptFailure};

/** Any event that passes through the filters of an entry. @public */
export type EntryEvent = InputEvent | DerivedEvent;
/** @public */
export type EntryEventKind = EntryEvent['kind'];
/** The event of one kind. @public */
export type EventOf<Kind extends EntryEventKind> = Extract<EntryEvent, {kind: Kind}>;
