import {z} from 'zod';

const text = z.string().max(4096);
const resources = z.object({cpuMillis: z.number(), memoryMb: z.number(), gpus: z.number()});
const limits = resources.partial();
const owner = z.object({node: text, token: z.number()});
const target = {queue: text, pool: text};

const stepSchema = z.object({
	step: z.number(),
	tasks: z.number(),
	outcome: text,
	endpoints: z.array(z.object({
		endpointId: text, rack: text, tasks: z.number(), free: resources,
	})),
	waitReason: text.optional(),
});

const explanationSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.enum(['not-configured', 'unknown-queue', 'unknown-account'])}),
	z.object({kind: z.literal('owner-unknown'), ...target}),
	z.object({
		kind: z.literal('owned-elsewhere'), ...target, owner, peerAddress: text.optional(),
	}),
	z.object({
		kind: z.literal('explained'),
		...target,
		owner,
		isStarted: z.boolean(),
		isKeyRequired: z.boolean(),
		policy: text,
		objectiveStatus: text,
		rank: z.number().optional(),
		rankedJobs: z.number(),
		endpointUses: z.record(text, z.object({count: z.number(), longestMs: z.number()})),
		account: z.object({
			name: text, cap: limits.optional(), share: limits.optional(), used: resources,
		}).optional(),
		steps: z.array(stepSchema),
	}),
]);

/** Where a job would be placed, as entries answer it. Later versions may use more outcomes, reasons and statuses. @public */
export type PlacementExplanation = z.output<typeof explanationSchema>;

/** The explanation by the owner of the pool. @public */
export type OwnPoolExplanation = Extract<PlacementExplanation, {kind: 'explained'}>;

/** Decodes an entry's answer. @returns Undefined when it is none that this version knows. @internal */
export function decodeExplanation(body: unknown): PlacementExplanation | undefined {
	return explanationSchema.safeParse(body).data;
}
