import {type AttemptId, type EntryId, type RequestId} from './identifiers.js';
import {type PeerMessage} from './messages.js';
import {type RequestResult, type ServiceRequest} from './request.js';

/** Precondition of a write, checked by the store against the key's current revision. @public */
export type WriteCondition =
	| {readonly kind: 'always'}
	| {readonly kind: 'absent'}
	| {readonly kind: 'unchanged'; readonly revision: number};

/** Severity of a log record. @public */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Side effect that the decisions request and the process carries out. @public */
export type Effect =
	| {readonly kind: 'answer-caller'; readonly requestId: RequestId; readonly result: RequestResult}
	/** `notAfter` is monotonic time in milliseconds; the request must not be sent to the endpoint after it. */
	| {readonly kind: 'send-endpoint'; readonly attemptId: AttemptId; readonly address: string; readonly request: ServiceRequest; readonly notAfter: number; readonly timeoutMs: number}
	| {readonly kind: 'probe-endpoint'; readonly instanceId: string; readonly address: string}
	| {readonly kind: 'reboot-instance'; readonly instanceId: string}
	| {readonly kind: 'send-peer'; readonly to: EntryId; readonly message: PeerMessage}
	| {readonly kind: 'open-link'; readonly entryId: EntryId; readonly address: string}
	| {readonly kind: 'close-link'; readonly entryId: EntryId}
	| {readonly kind: 'read-store'; readonly operationId: string; readonly key: string; readonly isPrefix: boolean}
	/** With `isLeased`, the key is bound to the entry's lease and disappears when the lease expires. */
	| {readonly kind: 'write-store'; readonly operationId: string; readonly key: string; readonly value: string; readonly condition: WriteCondition; readonly isLeased: boolean}
	| {readonly kind: 'delete-store'; readonly operationId: string; readonly key: string}
	| {readonly kind: 'answer-operator'; readonly callId: string; readonly status: number; readonly body: unknown}
	| {readonly kind: 'set-readiness'; readonly isReady: boolean}
	| {readonly kind: 'stop-process'; readonly exitCode: 0 | 1}
	| {readonly kind: 'count'; readonly metric: string; readonly by: number}
	| {readonly kind: 'observe'; readonly metric: string; readonly value: number}
	| {readonly kind: 'log'; readonly level: LogLevel; readonly message: string; readonly fields: Readonly<Record<string, string | number | boolean>>}
	| {readonly kind: 'handler-failed'; readonly filter: string; readonly eventKind: string; readonly error: unknown};
/** @public */
export type EffectKind = Effect['kind'];
/** The effect of one kind. @public */
export type EffectOf<Kind extends EffectKind> = Extract<Effect, {kind: Kind}>;
