import {
	type AttemptFailure, type EffectOf, type InputEvent, type ListedInstance, type ServiceRequest,
} from '@pistachiogauge/model';
import {
	addCount, getRandomBetween, type EndpointMode, type VirtualEndpoint, type VirtualEntry, type VirtualFleet, type Simulation,
} from './simulation.js';

const slotsPerInstance = 8;
const connectionsPerEntry = 16;
const networkMs = 1;
const listIntervalMs = 1000;
const rebootMinMs = 2000;
const rebootMaxMs = 6000;
const overloadedStatus = 503;
const encoder = new TextEncoder();

/** Creates the answer of an endpoint to a request body; the answer shows which request was run. */
export function createAnswerBody(body: Uint8Array): Uint8Array {
	return Buffer.concat([encoder.encode('done '), body]);
}

type Attempt = {
	readonly entry: VirtualEntry;
	readonly effect: EffectOf<'send-endpoint'>;
	readonly endpoint: VirtualEndpoint;
	hasEnded: boolean;
};

/** Creates the instances of a run with their endpoints, and the platform's instance list. */
export function createVirtualFleet(simulation: Simulation): VirtualFleet {
	const {queue, random, conditions} = simulation;
	const endpoints = new Map<string, VirtualEndpoint>();
	const endpointsByAddress = new Map<string, VirtualEndpoint>();
	const unlistedIds = new Set<string>();
	const leavingIds = new Set<string>();
	let visibleInstances: readonly ListedInstance[] = [];

	function endAttempt(attempt: Attempt, delayMs: number, createEvent: () => InputEvent): void {
		queue.add(delayMs, () => {
			if (!attempt.hasEnded) {
				attempt.hasEnded = true;
				releaseConnection(attempt);
				simulation.deliver(attempt.entry, createEvent());
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
		simulation.observe({kind: 'connection-opened', instanceId: endpoint.instance.id, openCount});
		return true;
	}

	function releaseConnection({entry, endpoint}: Attempt): void {
		const connections = endpoint.connections.get(entry.id);
		if (connections !== undefined && connections.idle < connections.open) {
			connections.idle += 1;
		}
	}

	/** Writes the request, as the HTTP client does: it checks `notAfter` right before the first byte, and a paused process writes after its pause. */
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
			addCount(simulation, 'sends_dropped');
			endFailedAttempt(attempt, 0, 'not-sent');
			return;
		}

		if (endpoint.mode === 'down') {
			endFailedAttempt(attempt, networkMs, 'not-sent');
			return;
		}

		simulation.observe({
			kind: 'attempt-written', entry, request: effect.request, instanceId: endpoint.instance.id, pool: simulation.bundles.getPool(effect.request.service), epoch,
		});
		const {stopCount} = endpoint;
		queue.add(networkMs, () => {
			if (endpoint.stopCount === stopCount) {
				acceptRequest(attempt);
				return;
			}

			endFailedAttempt(attempt, 0, 'connection-lost');
		});
	}

	const modeHandlers: Readonly<Record<EndpointMode, (attempt: Attempt) => void>> = {
		normal(attempt) {
			answerAttempt(attempt, 200, createAnswerBody(attempt.effect.request.body));
		},
		fail(attempt) {
			answerAttempt(attempt, 500, encoder.encode('broken'));
		},
		freeze() {
			// The attempt ends by its timeout.
		},
		cut(attempt) {
			endFailedAttempt(attempt, networkMs, 'connection-lost');
		},
		truncate(attempt) {
			endFailedAttempt(attempt, networkMs, 'answer-truncated');
		},
		down() {
			// The attempt has ended already, with the loss of its connection.
		},
	};

	function acceptRequest(attempt: Attempt): void {
		const {endpoint, effect} = attempt;
		if (endpoint.busyCount >= slotsPerInstance) {
			simulation.observe({kind: 'slots-exceeded', instanceId: endpoint.instance.id});
			answerAttempt(attempt, overloadedStatus, encoder.encode('every slot is busy'));
			return;
		}

		endpoint.busyCount += 1;
		simulation.observe({kind: 'run-started', instanceId: endpoint.instance.id, request: effect.request});
		const {stopCount} = endpoint;
		queue.add(endpoint.mode === 'fail' ? 1 : chooseRunMs(endpoint, effect.request), () => {
			if (endpoint.stopCount !== stopCount) {
				endFailedAttempt(attempt, networkMs, 'connection-lost');
				return;
			}

			endpoint.busyCount -= 1;
			modeHandlers[endpoint.mode](attempt);
		});
	}

	function chooseRunMs(endpoint: VirtualEndpoint, request: ServiceRequest): number {
		const requestedRunMs = request.headers.find(([name]) => name === 'x-run-ms')?.[1];
		return requestedRunMs === undefined ? endpoint.runMs * getRandomBetween(random, 0.5, 2) : Number(requestedRunMs);
	}

	function stopEndpoint(endpoint: VirtualEndpoint): void {
		endpoint.stopCount += 1;
		endpoint.busyCount = 0;
		endpoint.connections.clear();
	}

	function updateList(): void {
		const list = [...endpoints.values()]
			.filter(({instance}) => !unlistedIds.has(instance.id))
			.map(({instance}) => ({...instance, state: leavingIds.has(instance.id) ? 'leaving' as const : 'live' as const}));
		queue.add(conditions.listLagMs, () => {
			visibleInstances = list;
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
			simulation.deliver(entry, {kind: 'instances-listed', instances: visibleInstances});
		}

		queue.add(listIntervalMs * getRandomBetween(random, 0.9, 1.1), () => {
			pollList(entry);
		});
	}

	return {
		endpoints,
		setMode,
		addInstance(instance) {
			const endpoint: VirtualEndpoint = {
				instance, mode: 'normal', runMs: 60, busyCount: 0, isRebooting: false, stopCount: 0, connections: new Map(),
			};
			endpoints.set(instance.id, endpoint);
			endpointsByAddress.set(instance.address, endpoint);
			updateList();
		},
		sendAttempt(entry, effect) {
			const endpoint = endpointsByAddress.get(effect.address)!;
			const attempt: Attempt = {
				entry, effect, endpoint, hasEnded: false,
			};
			const epoch = entry.state.membership.record?.epoch ?? 0;
			if (!acquireConnection(entry, endpoint)) {
				attempt.hasEnded = true;
				addCount(simulation, 'connections_exhausted');
				simulation.deliver(entry, {kind: 'endpoint-failed', attemptId: effect.attemptId, failure: 'not-sent'});
				return;
			}

			queue.add(getRandomBetween(random, 0, 2), () => {
				writeAttempt(attempt, epoch);
			});
			endFailedAttempt(attempt, entry.clock.computeVirtualMs(effect.timeoutMs), 'answer-timeout');
		},
		probeEndpoint(entry, {instanceId, address}) {
			const endpoint = endpointsByAddress.get(address);
			queue.add(networkMs * 2, () => {
				const isHealthy = endpoint !== undefined && endpoint.mode !== 'down' && endpoint.mode !== 'freeze';
				simulation.deliver(entry, {kind: 'probe-ended', instanceId, isHealthy});
			});
		},
		rebootInstance(entry, instanceId) {
			const endpoint = endpoints.get(instanceId);
			queue.add(networkMs, () => {
				const isAccepted = endpoint !== undefined;
				if (endpoint !== undefined && !endpoint.isRebooting) {
					simulation.observe({kind: 'instance-rebooted', instanceId, busyCount: endpoint.busyCount});
					stopEndpoint(endpoint);
					endpoint.mode = 'down';
					endpoint.isRebooting = true;
					queue.add(getRandomBetween(random, rebootMinMs, rebootMaxMs), () => {
						endpoint.isRebooting = false;
						endpoint.mode = 'normal';
					});
				}

				simulation.deliver(entry, {kind: 'reboot-ended', instanceId, isAccepted});
			});
		},
		setLeaving(instanceId, isLeaving) {
			updateIds(leavingIds, instanceId, isLeaving);
			updateList();
		},
		setListed(instanceId, isPresent) {
			updateIds(unlistedIds, instanceId, !isPresent);
			updateList();
		},
		startListPolling: pollList,
		getListedInstances: () => visibleInstances,
	};
}

function updateIds(ids: Set<string>, id: string, isIncluded: boolean): void {
	if (isIncluded) {
		ids.add(id);
		return;
	}

	ids.delete(id);
}
