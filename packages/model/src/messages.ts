import {z} from 'zod';
import {epochRecordSchema} from './epoch.js';
import {operatorCommandSchema} from './operator-command.js';
import {signedBundleSchema} from './bundle.js';
import {type RequestResult, type ServiceRequest} from './request.js';

const heartbeatSchema = z.object({
	kind: z.literal('heartbeat'),
	/** Sender's monotonic time in milliseconds; echoed in the voucher. */
	askedAt: z.number(),
	/** Epoch that the sender has adopted; 0 before it knows one. */
	adoptedEpoch: z.number().int().nonnegative(),
	/** Proposal of the adopted epoch. */
	adoptedProposal: z.string().optional(),
	/** Set while the sender shuts down; the next epoch leaves it out. */
	isLeaving: z.boolean().optional(),
	bundleVersion: z.number().int().nonnegative(),
	/** Members that the sender has not heard from in time. */
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
	/** SHA-256 of method, path and body, hex. */
	fingerprint: z.string(),
	/** Identifies this reservation; a release that was overtaken must not free a later one. */
	reservation: z.string(),
	/** Owner's Unix time in milliseconds. */
	ownerTime: z.number(),
});

const keyReservedSchema = z.object({
	kind: z.literal('key-reserved'),
	epoch: z.number().int().positive(),
	pool: z.string(),
	key: z.string(),
	reservation: z.string(),
	/** Set when the standby knows the key from a former owner, so that it may have run. */
	isKnown: z.boolean().optional(),
	/** Set while the standby has no full copy of the owner's keys. */
	isCopyMissing: z.boolean().optional(),
});

const keysReceivedSchema = z.object({
	kind: z.literal('keys-received'),
	epoch: z.number().int().positive(),
	pool: z.string(),
	transfer: z.number().int(),
	/** Position of the chunk that has arrived. */
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

/** Control messages between entries. They travel as JSON and are checked by this schema on arrival. @public */
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

/** A caller's request on its way from the receiver to the pool's owner. @public */
export type ForwardMessage = {
	readonly kind: 'forward';
	readonly pool: string;
	readonly request: ServiceRequest;
};

/** The result of a forwarded request on its way back to the receiver. @public */
export type ResultMessage = {
	readonly kind: 'result';
	readonly requestId: string;
	readonly result: RequestResult;
};

/** A forwarded request that the addressee does not own; the receiver looks for the owner again. Nothing was run. @public */
export type NotOwnerMessage = {
	readonly kind: 'not-owner';
	readonly requestId: string;
	/** Epoch that the addressee has adopted. */
	readonly epoch: number;
};

/** The owner tells the standby how a key ended. @public */
export type KeySettledMessage = {
	readonly kind: 'key-settled';
	readonly pool: string;
	readonly key: string;
	readonly reservation: string;
	/** Absent when the key was released because nothing ran. */
	readonly result?: RequestResult;
};

/** One key as it is copied to another entry. @public */
export type CopiedKey = {
	readonly key: string;
	readonly fingerprint: string;
	readonly reservation: string;
	/** Absent while the key may be running. */
	readonly result?: RequestResult;
};

/** Time since which a service has belonged to its pool at every entry. @public */
export type ServiceCoverage = {
	readonly service: string;
	/** Unix time in milliseconds. */
	readonly since: number;
};

/** One chunk of a pool's keys, from an owner to its standby or to the next owner. @public */
export type KeysCopiedMessage = {
	readonly kind: 'keys-copied';
	readonly epoch: number;
	readonly pool: string;
	readonly transfer: number;
	readonly index: number;
	readonly isLast: boolean;
	/** Whether the sender has lost the pool, so that keys missing here were released. */
	readonly isHandover: boolean;
	/** Unix time in milliseconds; minus infinity when every key is known. */
	readonly coverageSince: number;
	readonly services: readonly ServiceCoverage[];
	readonly keys: readonly CopiedKey[];
};

/** Messages between entries. @public */
export type PeerMessage = ControlMessage | ForwardMessage | ResultMessage | NotOwnerMessage | KeySettledMessage | KeysCopiedMessage;
/** @public */
export type PeerMessageKind = PeerMessage['kind'];
