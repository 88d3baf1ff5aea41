import {z} from 'zod';
import {epochRecordSchema} from './epoch.js';
import {operatorCommandSchema} from './operator-command.js';
import {signedBundleSchema} from './bundle.js';
import {type RequestResult, type ServiceRequest} from './request.js';

const heartbeatSchema = z.object({
	kind: z.literal('heartbeat'),
	/** Monotonic time of the sender in milliseconds; the voucher returns it. */
	askedAt: z.number(),
	/** Epoch that the sender has adopted; 0 if it has not adopted one yet. */
	adoptedEpoch: z.number().int().nonnegative(),
	/** Proposal of the adopted epoch. */
	adoptedProposal: z.string().optional(),
	/** Set while the sender shuts down; the next epoch excludes it. */
	isLeaving: z.boolean().optional(),
	bundleVersion: z.number().int().nonnegative(),
	/** Members that the sender suspects of having failed. */
	suspects: z.array(z.string()),
});

const voucherSchema = z.object({
	kind: z.literal('voucher'),
	epoch: z.number().int().positive(),
	proposal: z.string().optional(),
	askedAt: z.number(),
});

const epochAnnouncedSchema = z.object({
	kind: z.literal('epoch-announced'),
	record: epochRecordSchema,
});

const bundleWantedSchema = z.object({kind: z.literal('bundle-wanted')});

const bundleSentSchema = z.object({
	kind: z.literal('bundle-sent'),
	bundle: signedBundleSchema,
});

const cancelSchema = z.object({kind: z.literal('cancel'), requestId: z.string()});

const keyReserveSchema = z.object({
	kind: z.literal('key-reserve'),
	epoch: z.number().int().positive(),
	pool: z.string(),
	key: z.string(),
	/** Hexadecimal SHA-256 hash of method, path and body. */
	fingerprint: z.string(),
	/** Identifies this reservation, so that a delayed release does not release a later one. */
	reservation: z.string(),
	/** Unix time of the owner in milliseconds. */
	ownerTime: z.number(),
});

const keyReservedSchema = z.object({
	kind: z.literal('key-reserved'),
	epoch: z.number().int().positive(),
	pool: z.string(),
	key: z.string(),
	reservation: z.string(),
	/** Set if the standby received the key from a former owner, so that its request may have run. */
	isKnown: z.boolean().optional(),
	/** Set while the standby does not have a complete copy of the owner's keys. */
	isCopyMissing: z.boolean().optional(),
});

const keysReceivedSchema = z.object({
	kind: z.literal('keys-received'),
	epoch: z.number().int().positive(),
	pool: z.string(),
	transfer: z.number().int(),
	/** Index of the received chunk. */
	index: z.number().int().nonnegative(),
});

const operatorForwardSchema = z.object({
	kind: z.literal('operator-forward'),
	callId: z.string(),
	operator: z.string(),
	command: operatorCommandSchema,
});

const operatorResultSchema = z.object({
	kind: z.literal('operator-result'),
	callId: z.string(),
	status: z.number().int(),
	body: z.unknown(),
});

/** Control messages between entries, encoded as JSON and validated by this schema on receipt. @public */
export const controlMessageSchema = z.discriminatedUnion('kind', [
	heartbeatSchema,
	voucherSchema,
	epochAnnouncedSchema,
	bundleWantedSchema,
	bundleSentSchema,
	cancelSchema,
	keyReserveSchema,
	keyReservedSchema,
	keysReceivedSchema,
	operatorForwardSchema,
	operatorResultSchema,
]);
/** @public */
export type ControlMessage = z.infer<typeof controlMessageSchema>;

/** A caller's request, sent by its receiver to the owner of the pool. @public */
export type ForwardMessage = {
	readonly kind: 'forward';
	readonly pool: string;
	readonly request: ServiceRequest;
};

/** The result of a forwarded request, sent back to the receiver. @public */
export type ResultMessage = {
	readonly kind: 'result';
	readonly requestId: string;
	readonly result: RequestResult;
};

/** Rejects a forwarded request because the addressee does not own its pool. The request did not run; the receiver looks up the owner again. @public */
export type NotOwnerMessage = {
	readonly kind: 'not-owner';
	readonly requestId: string;
	/** Epoch that the addressee has adopted. */
	readonly epoch: number;
};

/** Notifies the standby of the final state of an idempotency key. @public */
export type KeySettledMessage = {
	readonly kind: 'key-settled';
	readonly pool: string;
	readonly key: string;
	readonly reservation: string;
	/** Absent if the key was released because the request did not run. */
	readonly result?: RequestResult;
};

/** An idempotency key in the form in which it is copied to another entry. @public */
export type CopiedKey = {
	readonly key: string;
	readonly fingerprint: string;
	readonly reservation: string;
	/** Absent while the request may still be running. */
	readonly result?: RequestResult;
};

/** Time since which all entries have assigned a service to its current pool. @public */
export type ServiceCoverage = {
	readonly service: string;
	/** Unix time in milliseconds. */
	readonly since: number;
};

/** One chunk of a pool's idempotency keys, sent by an owner to its standby or to the next owner. @public */
export type KeysCopiedMessage = {
	readonly kind: 'keys-copied';
	readonly epoch: number;
	readonly pool: string;
	readonly transfer: number;
	readonly index: number;
	readonly isLast: boolean;
	/** Whether the sender no longer owns the pool. If so, keys that are missing from the transfer have been released. */
	readonly isHandover: boolean;
	/** Unix time in milliseconds since which the sender knows all keys; minus infinity if it knows every key. */
	readonly coverageSince: number;
	readonly services: readonly ServiceCoverage[];
	readonly keys: readonly CopiedKey[];
};

/** Any message between entries. @public */
export type PeerMessage = ControlMessage | ForwardMessage | ResultMessage | NotOwnerMessage | KeySettledMessage | KeysCopiedMessage;
/** @public */
export type PeerMessageKind = PeerMessage['kind'];
