import {
	type AttemptFailure, type EffectOf, type InputEvent, type ListedInstance, type ServiceRequest,
} from '@pistachiogauge/model';
import {
	addCount, getBetween, type EndpointMode, type VirtualEndpoint, type VirtualEntry, type VirtualFleet, type Simulation,
} from './world.js';

const slots = 8;
const connectionsPerEntry = 16;
const networkMs = 1;
const listIntervalMs = 1000;
const rebootMinMs = 2000;
const rebootMaxMs = 6000;
const fullStatus = 503;
const encoder = new TextEncoder();

/** Answer that an endpoint gives to a body; it shows whose request was run. */
export function createAnswerBody(body: Uint8Array): Uint8Array {
	return Buffer.concat([encoder.encode('done '), body]);
}

type Attempt = {
	readonly entry: VirtualEntry;
	readonly effect: EffectOf<'send-endpoint'>;
	readonly endpoint: VirtualEndpoint;
	hasEnded: boolean;
};

/** Creates the instances of a run with their endpoints, and the platform's list of them. */
export function createVirtualFleet(world: Simulation): VirtualFleet {
	const {queue, random, conditions} = world;
	const endpoints = new Map<string, VirtualEndpoint>();
	const byAddress = new Map<string, VirtualEndpoint>();
	const absent = new Set<string>();
	const leaving = new Set<string>();
	let shownList: readonly ListedInstance[] = [];

	function endAttempt(attempt: Attempt, delayMs: number, createEvent: () => InputEvent): void {
		queue.add(delayMs, () => {
			if (!attempt.hasEnded) {
				attempt.hasEnded = true;
				releaseConnection(attempt);
				world.deliver(attempt.entry, createEvent());
			}
		});
	}

	function endFailedAttempt(attempt: Attempt, delayMs: number, failure: AttemptFailure): void {
		endAttempt(attempt, delayMs, () => ({kind: 'endpoint-failed', attemptId: attempt.effect.attemptId, failure}));
	}

	function answerAttempt(attempt: Attempt, status: number, body: Uint8Array): void {
		endAttempt(attempt, networkMs, () => ({
			kind: 'endpoint-answered', attemptId: attempt.effect.attemptId, status, headers: [], body,
		}));
	}

	function getConnections(entry: VirtualEntry, endpoint: VirtualEndpoint): {open: number; idle: number} {
		const known = endpoint.connections.get(entry.id) ?? {open: 0, idle: 0};
		endpoint.connections.set(entry.id, known);
		return known;
	}

	function acquireConnection(entry: VirtualEntry, endpoint: VirtualEndpoint): boolean {
		const connections = getConnections(entry, endpoint);
		if (connections.idle > 0) {
			connections.idle -= 1;
			return true;
		}

		if (connections.open >= connectionsPerEntry) {
			return false;
		}

		connections.open += 1;
		const openCount = [...endpoint.connections.values()].reduce((sum, item) => sum + item.open, 0);
		world.observe({kind: 'connection-opened', instanceId: endpoint.instance.id, openCount});
		return true;
	}

	function releaseConnection({entry, endpoint}: Attempt): void {
		const connections = endpoint.connections.get(entry.id);
		if (connections !== undefined && connections.idle < connections.open) {
			connections.idle += 1;
		}
	}

	/** The HTTP client checks `notAfter` right before the first byte; a paused process writes after its pause. */
	function writeAttempt(attempt: Attempt, epoch: number): void {
		const {entry, effect, endpoint} = attempt;
		if (!entry.isAlive || attempt.hasEnded) {
			return;
		}

		if (entry.isPaused) {
			queue.add(5, () => {
				writeAttempt(attempt, epoch);
			});
			return;
		}

		if (entry.clock.getNow(queue.now) >= effect.notAfter) {
			addCount(world, 'sends_dropped');
			endFailedAttempt(attempt, 0, 'not-sent');
			return;
		}

		if (endpoint.mode === 'down') {
			endFailedAttempt(attempt, networkMs, 'not-sent');
			return;
		}

		world.observe({
			kind: 'attempt-written', entry, request: effect.request, instanceId: endpoint.instance.id, pool: world.bundles.getPool(effect.request.service), epoch,
		});
		const {life} = endpoint;
		queue.add(networkMs, () => {
			if (endpoint.life === life) {
				acceptRequest(attempt);
				return;
			}

			endFailedAttempt(attempt, 0, 'connection-lost');
		});
	}

	const modes: Readonly<Record<EndpointMode, (attempt: Attempt) => void>> = {
		normal(attempt) {
			answerAttempt(attempt, 200, createAnswerBody(attempt.effect.request.body));
		},
		fail(attempt) {
			answerAttempt(attempt, 500, encoder.encode('broken'));
		},
		freeze() {
			// The time limit of the attempt ends it.
		},
		cut(attempt) {
			endFailedAttempt(attempt, networkMs, 'connection-lost');
		},
		truncate(attempt) {
			endFailedAttempt(attempt, networkMs, 'answer-truncated');
		},
		down() {
			// The loss of the connections has ended the attempt.
		},
	};

	function acceptRequest(attempt: Attempt): void {
		const {endpoint, effect} = attempt;
		if (endpoint.busyCount >= slots) {
			world.observe({kind: 'slots-overrun', instanceId: endpoint.instance.id});
			answerAttempt(attempt, fullStatus, encoder.encode('every slot is busy'));
			return;
		}

		endpoint.busyCount += 1;
		world.observe({kind: 'run-started', instanceId: endpoint.instance.id, request: effect.request});
		const {life} = endpoint;
		queue.add(endpoint.mode === 'fail' ? 1 : getRunTime(endpoint, effect.request), () => {
			if (endpoint.life !== life) {
				endFailedAttempt(attempt, networkMs, 'connection-lost');
				return;
			}

			endpoint.busyCount -= 1;
			modes[endpoint.mode](attempt);
		});
	}

	function getRunTime(endpoint: VirtualEndpoint, request: ServiceRequest): number {
		const wished = request.headers.find(([name]) => name === 'x-run-ms')?.[1];
		return wished === undefined ? endpoint.runMs * getBetween(random, 0.5, 2) : Number(wished);
	}

	function stopEndpoint(endpoint: VirtualEndpoint): void {
		endpoint.life += 1;
		endpoint.busyCount = 0;
		endpoint.connections.clear();
	}

	function updateList(): void {
		const list = [...endpoints.values()]
			.filter(({instance: listed}) => !absent.has(listed.id))
			.map(({instance: listed}) => ({...listed, state: leaving.has(listed.id) ? 'leaving' as const : 'live' as const}));
		queue.add(conditions.listLagMs, () => {
			shownList = list;
		});
	}

	function setMode(instanceId: string, mode: EndpointMode): void {
		const endpoint = endpoints.get(instanceId);
		if (endpoint === undefined || endpoint.isRebooting) {
			return;
		}

		endpoint.mode = mode;
		if (mode === 'down') {
			stopEndpoint(endpoint);
		}
	}

	function pollList(entry: VirtualEntry): void {
		if (!entry.isAlive) {
			return;
		}

		if (!entry.isPaused && !conditions.isListDown) {
			world.deliver(entry, {kind: 'instances-listed', instances: shownList});
		}

		queue.add(listIntervalMs * getBetween(random, 0.9, 1.1), () => {
			pollList(entry);
		});
	}

	return {
		endpoints,
		setMode,
		addInstance(listed) {
			const endpoint: VirtualEndpoint = {
				instance: listed, mode: 'normal', runMs: 60, busyCount: 0, isRebooting: false, life: 0, connections: new Map(),
			};
			endpoints.set(listed.id, endpoint);
			byAddress.set(listed.address, endpoint);
			updateList();
		},
		sendAttempt(entry, effect) {
			const endpoint = byAddress.get(effect.address)!;
			const attempt: Attempt = {
				entry, effect, endpoint, hasEnded: false,
			};
			const epoch = entry.state.membership.record?.epoch ?? 0;
			if (!acquireConnection(entry, endpoint)) {
				attempt.hasEnded = true;
				addCount(world, 'connections_exhausted');
				world.deliver(entry, {kind: 'endpoint-failed', attemptId: effect.attemptId, failure: 'not-sent'});
				return;
			}

			queue.add(getBetween(random, 0, 2), () => {
				writeAttempt(attempt, epoch);
			});
			endFailedAttempt(attempt, entry.clock.getDuration(effect.timeoutMs), 'answer-timeout');
		},
		probeEndpoint(entry, {instanceId, address}) {
			const endpoint = byAddress.get(address);
			queue.add(networkMs * 2, () => {
				const isHealthy = endpoint !== undefined && endpoint.mode !== 'down' && endpoint.mode !== 'freeze';
				world.deliver(entry, {kind: 'probe-ended', instanceId, isHealthy});
			});
		},
		rebootInstance(entry, instanceId) {
			const endpoint = endpoints.get(instanceId);
			queue.add(networkMs, () => {
				const isAccepted = endpoint !== undefined;
				if (endpoint !== undefined && !endpoint.isRebooting) {
					world.observe({kind: 'instance-rebooted', instanceId, busyCount: endpoint.busyCount});
					stopEndpoint(endpoint);
					endpoint.mode = 'down';
					endpoint.isRebooting = true;
					queue.add(getBetween(random, rebootMinMs, rebootMaxMs), () => {
						endpoint.isRebooting = false;
						endpoint.mode = 'normal';
					});
				}

				world.deliver(entry, {kind: 'reboot-ended', instanceId, isAccepted});
			});
		},
		setLeaving(instanceId, isLeaving) {
			setMembership(leaving, instanceId, isLeaving);
			updateList();
		},
		setListed(instanceId, isPresent) {
			setMembership(absent, instanceId, !isPresent);
			updateList();
		},
		addListClient: pollList,
		getList: () => shownList,
	};
}

function setMembership(ids: Set<string>, id: string, isMember: boolean): void {
	if (isMember) {
		ids.add(id);
		return;
	}

	ids.delete(id);
}
