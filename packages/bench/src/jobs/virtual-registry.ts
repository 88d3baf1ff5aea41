import {type Endpoint, type JobEvent} from '@pistachiogauge/jobs';
import {type EventQueue} from '../virtual/event-queue.js';
import {type VirtualTaskEndpoint} from './virtual-task-endpoint.js';

/** The endpoints' own records in the store, which they keep up by heartbeats. */
export type VirtualRegistry = {
	listEndpoints(): Endpoint[];
	/** Records an endpoint that has just started, if it reaches the store. */
	sendHeartbeat(endpoint: VirtualTaskEndpoint): void;
	start(): void;
};

export type VirtualRegistryTools = {
	readonly queue: EventQueue;
	readonly endpoints: ReadonlyMap<string, VirtualTaskEndpoint>;
	readonly canReachStore: (endpointId: string) => boolean;
	readonly publish: (changes: readonly JobEvent[]) => void;
};

const heartbeatIntervalMs = 500;
/** Time without a heartbeat after which a record is removed. */
const silenceLimitMs = 4500;

/** Creates a registry without endpoints. */
export function createVirtualRegistry({
	queue, endpoints, canReachStore, publish,
}: VirtualRegistryTools): VirtualRegistry {
	const records = new Map<string, {readonly registration: Endpoint; readonly heartbeatAt: number}>();

	function sendHeartbeat({isUp, registration}: VirtualTaskEndpoint): void {
		if (!isUp || !canReachStore(registration.id)) {
			return;
		}

		const isChanged = records.get(registration.id)?.registration !== registration;
		records.set(registration.id, {registration, heartbeatAt: queue.now});
		if (isChanged) {
			publish([{kind: 'endpoint-changed', endpoint: registration}]);
		}
	}

	function expireRecords(): void {
		for (const [endpointId, {heartbeatAt}] of records) {
			if (queue.now > heartbeatAt + silenceLimitMs) {
				records.delete(endpointId);
				publish([{kind: 'endpoint-removed', endpointId}]);
			}
		}
	}

	function check(): void {
		for (const endpoint of endpoints.values()) {
			sendHeartbeat(endpoint);
		}

		expireRecords();
		queue.add(heartbeatIntervalMs, check);
	}

	return {
		listEndpoints: () => [...records.values()].map(({registration}) => registration),
		sendHeartbeat,
		start: check,
	};
}
