import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {listedInstanceSchema, type ListedInstance} from '@pistachiogauge/model';
import {z} from 'zod';
import {listen, readJson, sendJson} from './http-helpers.js';

/** @public */
export type PlatformStandinOptions = {
	/** IP address and port to listen on. */
	readonly address: string;
	/** Delay in milliseconds before a change appears in the list. */
	readonly lagMs: number;
	/** Called when a reboot is requested. */
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

/** Creates a stand-in for the platform's instance list, which shows changes with a delay, and for its reboot calls. @public */
export function createPlatformStandin(options: PlatformStandinOptions): PlatformStandin {
	const reboots: string[] = [];
	let listedInstances: readonly ListedInstance[] = [];

	async function handleRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const rebootedId = rebootPathPattern.exec(message.url ?? '')?.groups?.id;
		if (rebootedId !== undefined) {
			reboots.push(decodeURIComponent(rebootedId));
			options.onReboot?.(decodeURIComponent(rebootedId));
			sendJson(response, 202, {});
			return;
		}

		if (message.method === 'PUT') {
			setInstances(z.array(listedInstanceSchema).parse(await readJson(message)));
		}

		sendJson(response, 200, listedInstances);
	}

	function setInstances(instances: readonly ListedInstance[]): void {
		setTimeout(() => {
			listedInstances = instances;
		}, options.lagMs);
	}

	const server = createServer((message, response) => {
		handleRequest(message, response).catch((error: unknown) => {
			sendJson(response, 400, {error: String(error)});
		});
	});
	return {
		reboots,
		setInstances,
		async start() {
			await listen(server, options.address);
		},
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}
