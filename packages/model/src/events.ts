import {
	type AttemptId, type EntryId, type InstanceId, type PoolName, type RequestId,
} from './identifiers.js';
import {type HeaderList, type RequestResult, type ServiceRequest} from './request.js';
import {type ListedInstance} from './fleet.js';
import {type OperatorCommand} from './operator-command.js';
import {type PeerMessage, type PeerMessageKind} from './messages.js';

/** How an attempt at an endpoint failed. Only `not-sent` proves that nothing ran. @public */
export type AttemptFailure = 'not-sent' | 'connection-lost' | 'answer-truncated' | 'answer-timeout';

/** Answer of the store to a write or read. `failed` says nothing about whether a write took effect. @public */
export type StoreResult = 'applied' | 'conflict' | 'failed';

/** One key of the store with the revision of its last change. @public */
export type KeyValue = {
	readonly key: string;
	readonly value: string;
	readonly revision: number;
};

/** A message from another entry. @public */
export type PeerEvent = {
	[Kind in PeerMessageKind]: {
		readonly kind: `peer-${Kind}`;
		readonly from: EntryId;
		readonly message: Extract<PeerMessage, {kind: Kind}>;
	};
}[PeerMessageKind];

/** Inputs of an entry. @public */
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

/** Events that filters hand on to later filters, or again to the first one. @public */
export type DerivedEvent =
	/** A request has reached the owner of its pool. */
	| {readonly kind: 'request-submitted'; readonly request: ServiceRequest; readonly receiver: EntryId; readonly pool: string}
	/** A task to record, or a question about one, has reached the owner of its pool. */
	| {readonly kind: 'task-submitted'; readonly request: ServiceRequest; readonly receiver: EntryId; readonly pool: string}
	| {readonly kind: 'task-status-requested'; readonly request: ServiceRequest; readonly receiver: EntryId; readonly pool: string}
	/** The idempotency filter lets the request run. */
	| {readonly kind: 'request-deduplicated'; readonly request: ServiceRequest; readonly receiver: EntryId; readonly pool: string}
	/** A request waits for a slot: admitted, or coming back for another attempt. */
	| {readonly kind: 'request-queued'; readonly work: PoolWork}
	/** An attempt at an endpoint has ended; the retry filter decides what follows. */
	| {readonly kind: 'attempt-ended'; readonly work: PoolWork; readonly instanceId: InstanceId; readonly durationMs: number; readonly result: AttemptResult}
	/** The owner is done with a request. Always enters at the first filter. */
	| {readonly kind: 'request-ended'; readonly requestId: RequestId; readonly receiver: EntryId; readonly result: RequestResult}
	/** A request that was not run here goes back to its receiver, which looks for the new owner. */
	| {readonly kind: 'request-returned'; readonly requestId: RequestId; readonly receiver: EntryId}
	/** A result goes to the receiver of a request. */
	| {readonly kind: 'result-ready'; readonly requestId: RequestId; readonly receiver: EntryId; readonly result: RequestResult}
	/** This entry has adopted a new epoch. */
	| {readonly kind: 'epoch-adopted'; readonly epoch: number}
	/** This entry may now act for a pool that it did not own before, or no longer owns it. */
	| {readonly kind: 'pool-acquired'; readonly pool: string; readonly wasStandby: boolean}
	| {readonly kind: 'pool-lost'; readonly pool: string}
	/** An operator's call has been carried out or refused. */
	| {readonly kind: 'operator-answered'; readonly callId: string; readonly status: number; readonly body: unknown}
	/** A new bundle is in force at this entry. */
	| {readonly kind: 'bundle-applied'; readonly version: number}
	/** A change that belongs in the audit trail. */
	| {readonly kind: 'audit-event'; readonly by: string; readonly action: string; readonly subject: string; readonly result: 'done' | 'refused'; readonly detail: string};

/** A request at the owner of its pool. @public */
export type PoolWork = {
	readonly request: ServiceRequest;
	readonly receiver: EntryId;
	readonly pool: PoolName;
	/** Monotonic milliseconds. */
	readonly deadlineAt: number;
	/** Instances at which attempts have failed, the latest last. */
	readonly triedInstances: readonly InstanceId[];
	/** Attempts that endpoints have refused as not executed; absent before the first one. */
	readonly refusalCount?: number;
	/** Whether an earlier attempt may have run; true only for idempotent requests. */
	readonly mayHaveRun: boolean;
	/** Monotonic milliseconds before which no further attempt starts. */
	readonly notBefore: number;
};

/** How an attempt ended. @public */
export type AttemptResult =
	| {readonly kind: 'answered'; readonly status: number; readonly headers: HeaderList; readonly body: Uint8Array}
	| {readonly kind: 'failed'; readonly failure: AttemptFailure};

/** Everything that flows through the filters. @public */
export type EntryEvent = InputEvent | DerivedEvent;
/** @public */
export type EntryEventKind = EntryEvent['kind'];
/** The event of one kind. @public */
export type EventOf<Kind extends EntryEventKind> = Extract<EntryEvent, {kind: Kind}>;
