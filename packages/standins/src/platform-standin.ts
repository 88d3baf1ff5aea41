import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {listedInstanceSchema, type ListedInstance} from '@pistachiogauge/model';
import {z} from 'zod';
import {listenOn, readJson, sendJson} from './read-json.js';

/** @public */
export type PlatformStandinOptions = {
	/** IP number and port. */
	readonly address: string;
	/** Delay before a change shows in the list, in milliseconds. */
	readonly lagMs: number;
	/** Told when a reboot is asked for. */
	readonly onReboot?: (instanceId: string) => void;
};

/** @public */
export type PlatformStandin = {
	readonly reboots: readonly string[];
	start(): Promise<void>;
	stop(): void;
	setInstances(instances: readonly ListedInstance[]): void;
};

const rebootPathPattern = /^\/instances\/(?<id>[^/]+)\/reboot$/u;

/** Creates a stand-in for the platform's lagging instance list. @public */
export function createPlatformStandin(options: PlatformStandinOptions): PlatformStandin {
	const reboots: string[] = [];
	let listed: readonly ListedInstance[] = [];

	async function accept(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const rebooted = rebootPathPattern.exec(message.url ?? '')?.groups?.id;
		if (rebooted !== undefined) {
			reboots.push(decodeURIComponent(rebooted));
			options.onReboot?.(decodeURIComponent(rebooted));
			sendJson(response, 202, {});
			return;
		}

		if (message.method === 'PUT') {
			setInstances(z.array(listedInstanceSchema).parse(await readJson(message)));
		}

		sendJson(response, 200, listed);
	}

	function setInstances(instances: readonly ListedInstance[]): void {
		setTimeout(() => {
			listed = instances;
		}, options.lagMs);
	}

	const server = createServer((message, response) => {
		accept(message, response).catch((error: unknown) => {
			sendJson(response, 400, {error: String(error)});
		});
	});
	return {
		reboots,
		setInstances,
		async start() {
			await listenOn(server, options.address);
		},
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}
