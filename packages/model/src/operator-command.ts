import {z} from 'zod';
import {signedBundleSchema} from './bundle.js';

/** A call of an operator, as the command line sends it. @public */
export const operatorCommandSchema = z.discriminatedUnion('command', [
	z.object({command: z.literal('status')}),
	z.object({command: z.literal('bundle-apply'), bundle: signedBundleSchema, nonce: z.string().min(1)}),
	z.object({command: z.literal('bundle-status')}),
	z.object({command: z.literal('membership-force'), epoch: z.number().int().positive()}),
	z.object({command: z.literal('pool-status'), pool: z.string()}),
	z.object({command: z.literal('drain'), pool: z.string(), instance: z.string()}),
	z.object({command: z.literal('undrain'), pool: z.string(), instance: z.string()}),
	z.object({
		command: z.literal('move'), pool: z.string(), instance: z.string(), targetPool: z.string(),
	}),
	z.object({command: z.literal('wave-plan'), pool: z.string()}),
	z.object({command: z.literal('wave-start'), pool: z.string()}),
	z.object({command: z.literal('wave-pause'), pool: z.string()}),
	z.object({command: z.literal('wave-status'), pool: z.string()}),
	/** States that an instance which the list no longer shows is gone for good; frees its share of the budget. */
	z.object({command: z.literal('retire'), pool: z.string(), instance: z.string()}),
	/** Asks the owner of a lending pool to choose an instance and to move it; sent by the owner of a pool in lasting need. */
	z.object({command: z.literal('lend'), pool: z.string(), targetPool: z.string()}),
	z.object({command: z.literal('bundle-history')}),
	z.object({command: z.literal('bundle-text'), version: z.number().int().positive()}),
	z.object({command: z.literal('audit'), since: z.number().optional(), pool: z.string().optional()}),
]);
/** @public */
export type OperatorCommand = z.infer<typeof operatorCommandSchema>;
/** @public */
export type OperatorCommandName = OperatorCommand['command'];
