import {type Endpoint, type JobEventOf, type Machine} from '@pistachiogauge/jobs';
import {type EventQueue} from '../virtual/event-queue.js';
import {type EndpointLifecycle} from './endpoint-lifecycle.js';
import {type VirtualTaskEndpoint} from './virtual-task-endpoint.js';

/** What the service does with an order to move a machine; `answer-lost` is carried out, `unanswered` is not. */
export type VirtualMoveOutcome = 'carried-out' | 'answer-lost' | 'unanswered' | 'limited' | 'busy';

export const virtualMoveOutcomes: readonly VirtualMoveOutcome[] = ['carried-out', 'answer-lost', 'unanswered', 'limited', 'busy'];

/** Name of the pool whose machines are switched off. */
export const sparePool = 'off';

/** The platform's machine service in virtual time: one machine for each endpoint, and some that are switched off. */
export type VirtualMachineService = {
	outcome: VirtualMoveOutcome;
	listMachines(): Machine[];
	/** @returns The answer, or undefined if there is none. */
	moveMachine(name: string, pool: string): JobEventOf<'machine-order-answered'>['result'] | undefined;
};

type MachineServiceTools = {
	readonly queue: EventQueue;
	readonly endpoints: ReadonlyMap<string, VirtualTaskEndpoint>;
	readonly lifecycle: EndpointLifecycle;
	readonly capacity: Endpoint['capacity'];
	readonly spareCount: number;
	readonly logFault: (text: string) => void;
};

const moveMs = 1500;

export function createVirtualMachineService({
	queue, endpoints, lifecycle, capacity, spareCount, logFault,
}: MachineServiceTools): VirtualMachineService {
	/** Machines without a running endpoint: switched off, or moving to a pool. */
	const idleMachines = new Map<string, {readonly pool: string; readonly state: 'up' | 'moving'}>(Array.from({length: spareCount}, (_unused, index) => [`spare-${index + 1}`, {pool: sparePool, state: 'up'}]));
	const machineNames = new Map<string, string>();
	const getMachineName = (endpointId: string) => machineNames.get(endpointId) ?? `machine-of-${endpointId}`;

	function findEndpoint(machine: string): VirtualTaskEndpoint | undefined {
		return [...endpoints.values()].find(({isUp, registration}) => isUp && getMachineName(registration.id) === machine);
	}

	function carryOut(name: string, pool: string, endpoint: VirtualTaskEndpoint | undefined): void {
		logFault(`${name} moves to ${pool}`);
		if (endpoint !== undefined) {
			lifecycle.stop(endpoint);
		}

		idleMachines.set(name, {pool, state: 'moving'});
		queue.add(moveMs, () => {
			if (pool === sparePool) {
				idleMachines.set(name, {pool, state: 'up'});
				return;
			}

			idleMachines.delete(name);
			machineNames.set(lifecycle.add(pool), name);
		});
	}

	const service: VirtualMachineService = {
		outcome: 'carried-out',
		listMachines() {
			const running = [...endpoints.values()].filter(({isUp}) => isUp).map(({registration}): Machine => ({
				name: getMachineName(registration.id), pool: registration.pool, state: 'up', zone: registration.zone, labels: registration.labels, capacity, endpointId: registration.id,
			}));
			const idle = [...idleMachines].map(([name, {pool, state}]): Machine => ({
				name, pool, state, zone: 'a', labels: ['a'], capacity, endpointId: undefined,
			}));
			return [...running, ...idle];
		},
		moveMachine(name, pool) {
			const endpoint = findEndpoint(name);
			const idle = idleMachines.get(name);
			if (endpoint === undefined && idle === undefined) {
				return 'invalid';
			}

			if ((endpoint?.registration.pool ?? idle?.pool) === pool) {
				return 'accepted';
			}

			if (idle?.state === 'moving') {
				return 'busy';
			}

			const byOutcome: Readonly<Record<VirtualMoveOutcome, () => JobEventOf<'machine-order-answered'>['result'] | undefined>> = {
				'carried-out'() {
					carryOut(name, pool, endpoint);
					return 'accepted';
				},
				'answer-lost'() {
					carryOut(name, pool, endpoint);
					return undefined;
				},
				unanswered: () => undefined,
				limited: () => 'limited',
				busy: () => 'busy',
			};
			return byOutcome[service.outcome]();
		},
	};
	return service;
}
