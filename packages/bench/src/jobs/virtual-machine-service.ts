import {
	type Endpoint, type JobEvent, type JobEventOf, type Machine, type Wave,
} from '@pistachiogauge/jobs';
import {type EventQueue} from '../virtual/event-queue.js';
import {startWallTime} from '../virtual/virtual-clock.js';
import {type EndpointLifecycle} from './endpoint-lifecycle.js';
import {type JobInvariantChecker} from './job-invariant-checker.js';
import {type VirtualTaskEndpoint} from './virtual-task-endpoint.js';

/** What the service does with an order to a machine; `answer-lost` is carried out, `unanswered` is not. */
export type VirtualMoveOutcome = 'carried-out' | 'answer-lost' | 'unanswered' | 'limited' | 'busy';

export const virtualMoveOutcomes: readonly VirtualMoveOutcome[] = ['carried-out', 'answer-lost', 'unanswered', 'limited', 'busy'];

/** Name of the pool whose machines are switched off. */
export const sparePool = 'off';

/** The platform's machine service in virtual time: one machine for each endpoint, and some that are switched off. */
export type VirtualMachineService = {
	outcome: VirtualMoveOutcome;
	listMachines(): Machine[];
	/** @returns The answer, or undefined if there is none. */
	moveMachine(name: string, pool: string): OrderResult | undefined;
	maintainMachine(name: string, wave: number): OrderResult | undefined;
	/** Requests that all machines are maintained. */
	startWave(downLimit: number, durationMs: number): void;
	endWaves(): void;
	/** Lists the events of a full listing of the waves; an entry notices from it which ones are missing. */
	listWaves(): readonly JobEvent[];
};

type OrderResult = JobEventOf<'machine-order-answered'>['result'];
/** `maintained`: machines that have begun their maintenance; `down`: those that have not ended it. */
type VirtualWave = {readonly wave: Wave; readonly seenAt: number; readonly maintained: Set<string>; readonly down: Set<string>};

type MachineServiceTools = {
	readonly queue: EventQueue;
	readonly endpoints: ReadonlyMap<string, VirtualTaskEndpoint>;
	readonly lifecycle: EndpointLifecycle;
	readonly capacity: Endpoint['capacity'];
	readonly spareCount: number;
	readonly logFault: (text: string) => void;
	readonly publish: (changes: readonly JobEvent[]) => void;
	readonly reportViolation: JobInvariantChecker['reportViolation'];
};

const moveMs = 1500;
const maintenanceMs = 2000;

export function createVirtualMachineService({
	queue, endpoints, lifecycle, capacity, spareCount, logFault, publish, reportViolation,
}: MachineServiceTools): VirtualMachineService {
	/** Machines without a running endpoint: switched off, moving to a pool, or in maintenance. */
	const idleMachines = new Map<string, {readonly pool: string; readonly state: 'up' | 'moving' | 'maintenance'}>(Array.from({length: spareCount}, (_unused, index) => [`spare-${index + 1}`, {pool: sparePool, state: 'up'}]));
	const machineNames = new Map<string, string>();
	const waves = new Map<number, VirtualWave>();
	const endedWaves: number[] = [];
	let waveCount = 0;
	const getMachineName = (endpointId: string) => machineNames.get(endpointId) ?? `machine-of-${endpointId}`;

	function findEndpoint(machine: string): VirtualTaskEndpoint | undefined {
		return [...endpoints.values()].find(({isUp, registration}) => isUp && getMachineName(registration.id) === machine);
	}

	function carryOut(name: string, pool: string, endpoint: VirtualTaskEndpoint | undefined): void {
		logFault(`${name} moves to ${pool}`);
		takeDown(name, {pool, state: 'moving'}, endpoint, moveMs);
	}

	/** Ends what runs on a machine, which is back in a pool after a time. */
	function takeDown(name: string, {pool, state}: {readonly pool: string; readonly state: 'moving' | 'maintenance'}, endpoint: VirtualTaskEndpoint | undefined, durationMs: number): void {
		if (endpoint !== undefined) {
			lifecycle.stop(endpoint);
		}

		idleMachines.set(name, {pool, state});
		queue.add(durationMs, () => {
			if (pool === sparePool) {
				idleMachines.set(name, {pool, state: 'up'});
				return;
			}

			idleMachines.delete(name);
			machineNames.set(lifecycle.add(pool), name);
		});
	}

	function beginMaintenance(name: string, pool: string, {wave: {number, downLimit}, maintained, down}: VirtualWave, endpoint: VirtualTaskEndpoint | undefined): void {
		logFault(`${name} goes into maintenance for wave ${number}`);
		if (down.size >= downLimit) {
			reportViolation('limit', `${name} goes into maintenance beside ${[...down].join(', ')}; the limit of wave ${number} is ${downLimit}`);
		}

		maintained.add(name);
		down.add(name);
		queue.add(maintenanceMs, () => {
			down.delete(name);
		});
		takeDown(name, {pool, state: 'maintenance'}, endpoint, maintenanceMs);
	}

	/** Answers an order by the present outcome. */
	function answerOrder(run: () => void): OrderResult | undefined {
		const byOutcome: Readonly<Record<VirtualMoveOutcome, () => OrderResult | undefined>> = {
			'carried-out'() {
				run();
				return 'accepted';
			},
			'answer-lost'() {
				run();
				return undefined;
			},
			unanswered: () => undefined,
			limited: () => 'limited',
			busy: () => 'busy',
		};
		return byOutcome[service.outcome]();
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

			if (idle !== undefined && idle.state !== 'up') {
				return 'busy';
			}

			return answerOrder(() => {
				carryOut(name, pool, endpoint);
			});
		},
		maintainMachine(name, number) {
			const wave = waves.get(number);
			const endpoint = findEndpoint(name);
			const idle = idleMachines.get(name);
			if (endpoint === undefined && idle === undefined) {
				return 'invalid';
			}

			if (wave?.wave.machines.includes(name) !== true) {
				return 'not-in-wave';
			}

			if (wave.maintained.has(name)) {
				return 'accepted';
			}

			if (idle !== undefined && idle.state !== 'up') {
				return 'busy';
			}

			return answerOrder(() => {
				beginMaintenance(name, endpoint?.registration.pool ?? idle!.pool, wave, endpoint);
			});
		},
		startWave(downLimit, durationMs) {
			waveCount += 1;
			const wave: Wave = {
				number: waveCount, machines: service.listMachines().map(({name}) => name), durationMs, downLimit,
			};
			const seenAt = startWallTime + queue.now;
			waves.set(wave.number, {
				wave, seenAt, maintained: new Set(), down: new Set(),
			});
			logFault(`wave ${wave.number} of ${wave.machines.length} machines, limit ${downLimit}`);
			publish([{kind: 'wave-changed', wave, seenAt}]);
		},
		endWaves() {
			const numbers = [...waves.keys()];
			endedWaves.push(...numbers);
			waves.clear();
			publish(numbers.map(number => ({kind: 'wave-removed', number})));
		},
		listWaves: () => [
			...[...waves.values()].map(({wave, seenAt}) => ({kind: 'wave-changed', wave, seenAt} as const)),
			...endedWaves.map(number => ({kind: 'wave-removed', number} as const)),
		],
	};
	return service;
}
