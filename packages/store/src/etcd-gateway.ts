import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request, type Dispatcher} from 'undici';
import {z} from 'zod';
import {StoreError} from './store-error.js';

const callTimeoutMs = 1000;

const keyValueSchema = z.object({
	key: z.string(),
	value: z.string().default(''),
	mod_revision: z.coerce.number().default(0),
});
/** A key and its value, both in base64, as the gateway sends them. */
export type EtcdKeyValue = z.infer<typeof keyValueSchema>;

const headerSchema = z.object({revision: z.coerce.number().default(0)});

/** Schemas of the gateway's responses (etcd API reference, version 3). @internal */
export const answerSchemas = {
	range: z.object({header: headerSchema, kvs: z.array(keyValueSchema).default([])}),
	txn: z.object({header: headerSchema, succeeded: z.boolean().default(false)}),
	deleteRange: z.object({header: headerSchema}),
	leaseGrant: z.object({ID: z.coerce.string()}),
	leaseKeepAlive: z.object({result: z.object({TTL: z.coerce.number().default(0)})}),
	watch: z.object({
		result: z.object({
			header: headerSchema,
			/** The service has cancelled the watch, for example after a compaction; the stream itself stays open. */
			canceled: z.boolean().default(false),
			events: z.array(z.object({type: z.enum(['PUT', 'DELETE']).default('PUT'), kv: keyValueSchema})).default([]),
		}),
	}),
} as const;

/** Client of etcd's JSON gateway. After a failed call it uses the next address. @internal */
export class EtcdGateway {
	readonly #addresses: readonly string[];
	readonly #count: (metric: string, by: number) => void;
	readonly #agent = new Agent({connections: 8, pipelining: 1, connect: {timeout: callTimeoutMs}});
	#addressIndex = 0;

	constructor(addresses: readonly string[], count: (metric: string, by: number) => void) {
		this.#addresses = addresses;
		this.#count = count;
	}

	/**
	Posts one call and parses its response.

	@throws StoreError when there is no valid response within the timeout.
	*/
	async post<Schema extends z.ZodType>(path: string, body: unknown, schema: Schema): Promise<z.infer<Schema>> {
		try {
			const text = JSON.stringify(body);
			this.#count('store_bytes_sent_total', Buffer.byteLength(text));
			const answer = await request(this.#getUrl(path), {
				method: 'POST', body: text, dispatcher: this.#agent, headersTimeout: callTimeoutMs, bodyTimeout: callTimeoutMs,
			});
			const answerText = await answer.body.text();
			this.#count('store_bytes_received_total', Buffer.byteLength(answerText));
			const value: unknown = JSON.parse(answerText);
			if (answer.statusCode !== 200) {
				throw new TypeError(`status ${answer.statusCode}`);
			}

			return schema.parse(value);
		} catch (error) {
			this.#addressIndex = (this.#addressIndex + 1) % this.#addresses.length;
			throw new StoreError(`call ${path} failed`, {cause: error});
		}
	}

	/**
	Opens a watch and yields its results, one for each line of the stream.

	@throws StoreError when the watch ends or cannot be opened.
	*/
	async * watch(body: unknown, signal: AbortSignal): AsyncGenerator<z.infer<typeof answerSchemas.watch>['result']> {
		try {
			const answer = await request(this.#getUrl('/v3/watch'), {
				method: 'POST', body: JSON.stringify(body), dispatcher: this.#agent, headersTimeout: callTimeoutMs, bodyTimeout: 0, signal,
			});
			for await (const result of this.#readLines(answer.body)) {
				if (result.canceled) {
					break;
				}

				yield result;
			}

			throw new TypeError('the watch has ended');
		} catch (error) {
			throw new StoreError('watch failed', {cause: error});
		}
	}

	async close(): Promise<void> {
		await Promise.race([this.#agent.destroy(), delay(callTimeoutMs)]);
	}

	#getUrl(path: string): string {
		return `http://${this.#addresses[this.#addressIndex]!}${path}`;
	}

	async * #readLines(body: Dispatcher.ResponseData['body']): AsyncGenerator<z.infer<typeof answerSchemas.watch>['result']> {
		const decoder = new TextDecoder();
		let incompleteLine = '';
		for await (const chunk of body) {
			const bytes = chunk as Uint8Array;
			this.#count('store_bytes_received_total', bytes.length);
			incompleteLine += decoder.decode(bytes, {stream: true});
			const lines = incompleteLine.split('\n');
			incompleteLine = lines.pop()!;
			for (const line of lines) {
				if (line.trim() !== '') {
					yield answerSchemas.watch.parse(JSON.parse(line)).result;
				}
			}
		}
	}
}
