import {type CallerAnswer, type RelayedRequest} from '@pistachiogauge/jobs';
import {decodeValue, parseJson} from '@pistachiogauge/platform';
import {z} from 'zod';
import {recordSchemas} from './record-schemas.js';

/** Path on the peer server that takes relayed requests. @internal */
export const relayPath = '/relay';

/** Header with the peer's secret. @internal */
export const relaySecretHeader = 'pistachiogauge-relay-secret';

/** Limit on the encoded request. A job's record has about 6 KB; a larger request is not accepted. @internal */
export const maxRelayBytes = 524_288;

/** A relayed request as it is sent. @internal */
export type RelayMessage = {
	/** Id that the sender has given the request, so that both entries log the same one. */
	readonly requestId: string;
	/** Sender. */
	readonly node: string;
	readonly request: RelayedRequest;
};

const maxNameLength = 200;
const maxPathLength = 4096;
const maxTextLength = 2000;

const messageSchema = z.object({
	requestId: z.uuid(),
	node: z.string().max(maxNameLength),
	request: z.object({
		action: z.enum(['submit', 'get', 'cancel', 'count']),
		host: z.string().max(maxNameLength),
		path: z.string().max(maxPathLength),
		spec: recordSchemas.job.shape.spec.optional(),
		keyHash: z.string().regex(/^[\da-f]{64}$/u).optional(),
	}),
});

const text = z.string().max(maxTextLength);
const answerSchema = z.object({
	answer: z.discriminatedUnion('kind', [
		z.object({kind: z.enum(['accepted', 'cancelled', 'unknown-queue', 'unknown-job', 'unauthorized'])}),
		z.object({kind: z.literal('status'), status: recordSchemas.progress.shape.status}),
		z.object({kind: z.literal('waiting'), waiting: z.number().int().nonnegative()}),
		z.object({kind: z.literal('invalid'), message: text}),
		z.object({kind: z.literal('refused'), reason: text, retryAfterMs: z.number().nonnegative()}),
		z.object({kind: z.literal('undecided'), reason: text}),
	]),
});

/** @returns Undefined when the body is no relayed request. @internal */
export function decodeRelayMessage(body: Uint8Array): RelayMessage | undefined {
	return decodeValue(messageSchema, parseJson(Buffer.from(body).toString('utf8'))) as RelayMessage | undefined;
}

/** Decodes the body of a peer's response. @returns Undefined when it holds no answer that this version knows. @internal */
export function decodeRelayAnswer(body: unknown): CallerAnswer | undefined {
	return decodeValue(answerSchema, body)?.answer;
}
