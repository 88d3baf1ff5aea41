import {setTimeout as delay} from 'node:timers/promises';
import {listedInstanceSchema, type EffectOf, type InputEvent} from '@pistachiogauge/model';
import {request} from 'undici';
import {z} from 'zod';

/** Polls the platform's instance list and requests reboots. */
export type InstanceListClient = {
	start(): void;
	stop(): void;
	rebootInstance(effect: EffectOf<'reboot-instance'>): void;
};

export type InstanceListClientOptions = {
	readonly address: string;
	readonly intervalMs: number;
	readonly pushEvent: (event: InputEvent) => void;
	readonly count: (metric: string) => void;
};

const callTimeoutMs = 1000;
const listSchema = z.array(listedInstanceSchema);

/** Creates the client of the platform's instance list. @internal */
export function createInstanceListClient(options: InstanceListClientOptions): InstanceListClient {
	const stopping = new AbortController();
	const timeouts = {headersTimeout: callTimeoutMs, bodyTimeout: callTimeoutMs};

	async function listInstances(): Promise<void> {
		try {
			const response = await request(`http://${options.address}/instances`, timeouts);
			options.pushEvent({kind: 'instances-listed', instances: listSchema.parse(await response.body.json())});
		} catch {
			options.count('instance_list_failures_total');
		}
	}

	return {
		start() {
			void (async () => {
				while (!stopping.signal.aborted) {
					// eslint-disable-next-line no-await-in-loop
					await listInstances();
					// eslint-disable-next-line no-await-in-loop
					await delay(options.intervalMs * (0.9 + (Math.random() / 5)), undefined, {signal: stopping.signal}).catch(() => undefined);
				}
			})();
		},
		stop() {
			stopping.abort();
		},
		rebootInstance({instanceId}) {
			void (async () => {
				let isAccepted = false;
				try {
					const response = await request(`http://${options.address}/instances/${encodeURIComponent(instanceId)}/reboot`, {method: 'POST', ...timeouts});
					await response.body.dump();
					isAccepted = response.statusCode === 202;
				} catch {
					options.count('reboot_failures_total');
				}

				options.pushEvent({kind: 'reboot-ended', instanceId, isAccepted});
			})();
		},
	};
}
