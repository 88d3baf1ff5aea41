import {z} from 'zod';
import {signedBundleSchema} from './bundle.js';

/** Command of an operator, as sent by the command-line tool. @public */
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
	/** Declares that an instance which is missing from the instance list is gone permanently, so that it no longer uses up the availability budget. */
	z.object({command: z.literal('retire'), pool: z.string(), instance: z.string()}),
	/** Asks the owner of a spare pool to choose an instance and move it to the target pool. Sent by the owner of a pool whose load has stayed too high. */
	z.object({command: z.literal('lend'), pool: z.string(), targetPool: z.string()}),
	z.object({command: z.literal('bundle-history')}),
	z.object({command: z.literal('bundle-text'), version: z.number().int().positive()}),
	z.object({command: z.literal('audit'), since: z.number().optional(), pool: z.string().optional()}),
]);
/** @public */
export type OperatorCommand = z.infer<typeof operatorCommandSchema>;
/** @public */
export type OperatorCommandName = OperatorCommand['command'];
