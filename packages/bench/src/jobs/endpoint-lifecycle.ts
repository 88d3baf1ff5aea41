import {type RandomSource} from '@pistachiogauge/chain';
import {type Endpoint, type Resources} from '@pistachiogauge/jobs';
import {type EventQueue} from '../virtual/event-queue.js';
import {startWallTime} from '../virtual/virtual-clock.js';
import {type JobInvariantChecker} from './job-invariant-checker.js';
import {type VirtualAdviceService} from './virtual-advice-service.js';
import {type VirtualRegistry} from './virtual-registry.js';
import {createVirtualTaskEndpoint, type TaskBehaviour, type VirtualTaskEndpoint} from './virtual-task-endpoint.js';

/** Starts and ends the processes of simulated endpoints. */
export type EndpointLifecycle = {
	/** Starts an endpoint with a new id in a pool. @returns The id. */
	add(pool: string): string;
	/** Starts a process of an endpoint, which knows nothing of an earlier one under the same id. */
	start(registration: Omit<Endpoint, 'startedAt'>): void;
	stop(endpoint: VirtualTaskEndpoint): void;
};

export type EndpointLifecycleOptions = {
	readonly queue: EventQueue;
	readonly random: RandomSource;
	/** The last process of each endpoint by id, kept by the lifecycle. */
	readonly endpoints: Map<string, VirtualTaskEndpoint>;
	readonly checker: JobInvariantChecker;
	readonly advice: VirtualAdviceService;
	readonly registry: Pick<VirtualRegistry, 'sendHeartbeat'>;
	readonly logFault: (text: string) => void;
	readonly getBehaviour: (taskId: string) => TaskBehaviour;
	readonly capacity: Resources;
};

/** Largest part by which an endpoint's clock runs slow. */
const maxClockSlowness = 0.02;
const rackCount = 4;

export function createEndpointLifecycle({
	queue, random, endpoints, checker, advice, registry, logFault, getBehaviour, capacity,
}: EndpointLifecycleOptions): EndpointLifecycle {
	let endpointCount = 0;
	const lifecycle: EndpointLifecycle = {
		add(pool) {
			endpointCount += 1;
			const id = `endpoint-${endpointCount}`;
			const rack = `rack-${endpointCount % rackCount}`;
			lifecycle.start({
				id, pool, address: id, zone: 'a', state: 'ready', capacity, labels: ['a', rack], rack, remainingMs: undefined,
			});
			return id;
		},
		start(registration) {
			const endpoint = createVirtualTaskEndpoint(queue, {...registration, startedAt: startWallTime + Math.ceil(queue.now)}, {
				clockRate: 1 / (1 + (maxClockSlowness * random.getInteger(3) / 2)), getBehaviour, advice, observer: checker,
			});
			endpoint.isReachable = endpoints.get(registration.id)?.isReachable ?? true;
			endpoints.set(registration.id, endpoint);
			registry.sendHeartbeat(endpoint);
			logFault(`${registration.id} starts`);
		},
		stop(endpoint) {
			logFault(`${endpoint.registration.id} ends`);
			checker.recordCrash(endpoint);
			endpoint.crash();
		},
	};
	return lifecycle;
}
