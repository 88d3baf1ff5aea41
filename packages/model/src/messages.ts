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

const epochNewsSchema = z.object({
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
});

const keyReservedSchema = z.object({
	kind: z.literal('key-reserved'),
	epoch: z.number().int().positive(),
	pool: z.string(),
	key: z.string(),
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
	epochNewsSchema,
	bundleWantedSchema,
	bundleSentSchema,
	cancelSchema,
	keyReserveSchema,
	keyReservedSchema,
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
	/** Absent when the key was released because nothing ran. */
	readonly result?: RequestResult;
};

/** Messages between entries. @public */
export type PeerMessage = ControlMessage | ForwardMessage | ResultMessage | NotOwnerMessage | KeySettledMessage;
/** @public */
export type PeerMessageKind = PeerMessage['kind'];
