import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {type AuthorityView} from '../authority/index.js';
import {type ConfigurationView} from '../configuration/index.js';
import {emitLog, type JobOutput} from '../filter.js';
import {type Machine} from '../model/index.js';
import {type FleetState, type WaveProgress} from './fleet-state.js';
import {isAway, mayOrder, orderMachine} from './order-machines.js';

/** Share of a pool that may be asked to be emptied at once, so that the rest carries its work. */
const poolShare = 0.34;
/** Time in ms for a machine to be emptied, maintained and back at work. */
const roundMs = 4500;
/** The same for one that is idle or off. */
const idleRoundMs = 3000;
/** Time in ms before its end by which a wave is to be done; a change of the holder takes 5 s. */
const waveMarginMs = 6000;
/** Time in ms that tasks are awaited before they are stopped for maintenance; about the longest task. */
const awaitTasksMs = 5000;

type State = {readonly fleet: FleetState} & AuthorityView & ConfigurationView;

/** Has the machines of all waves maintained, in time and within each wave's limit. @internal */
export function runWaves(state: State, context: DecisionContext): JobOutput[] {
	const {fleet} = state;
	if (fleet.token === undefined || fleet.listedAt === undefined) {
		return [];
	}

	return [...fleet.waves.values()]
		.sort((left, right) => getDueAt(left) - getDueAt(right))
		.flatMap(wave => wave.status === 'done' && !wave.isBehind ? [] : runWave(state, wave, context));
}

function getDueAt({wave, seenAt}: WaveProgress): number {
	return seenAt + wave.durationMs;
}

function runWave(state: State, progress: WaveProgress, context: DecisionContext): JobOutput[] {
	const {fleet} = state;
	const {wave} = progress;
	const outputs: JobOutput[] = [];
	// Machines that have left the fleet need no maintenance.
	const rest = wave.machines
		.filter(name => !progress.maintained.has(name))
		.map(name => fleet.machines.get(name))
		.filter(machine => machine !== undefined);
	if (progress.status !== 'done') {
		const status = rest.length === 0 ? 'done' : 'running';
		if (status !== progress.status) {
			progress.status = status;
			progress.isBehind = true;
			outputs.push(emitLog('info', 'wave', {
				wave: wave.number, status, maintained: progress.maintained.size, machines: wave.machines.length, limit: wave.downLimit, durationMs: wave.durationMs, ageMs: Math.round(context.wallTime - progress.seenAt),
			}));
		}
	}

	if (progress.isBehind && !progress.isWriting) {
		progress.isWriting = true;
		progress.isBehind = false;
		outputs.push(emitEffect({
			kind: 'write-wave-status', number: wave.number, status: progress.status === 'done' ? 'done' : 'running', maintained: [...progress.maintained],
		}));
	}

	let downCount = wave.machines.filter(name => isAway(fleet, name) || (fleet.machines.get(name)?.state ?? 'up') === 'maintenance').length;
	// While work waits for machines, a wave that has time leaves those that are off to it.
	const mayWait = fleet.isShort && !isPressing(state, progress, rest, idleRoundMs, context);
	for (const machine of rest) {
		if (mayWait && isSpare(state, machine.pool)) {
			continue;
		}

		if (downCount < wave.downLimit && mayOrder(state, context.now) && isReadyToGo(state, machine)) {
			const ordered = orderMachine(state, machine, {order: 'maintain', pool: machine.pool, wave: wave.number}, context);
			downCount += ordered.length > 0 ? 1 : 0;
			outputs.push(...ordered);
		}
	}

	return [...outputs, ...evacuateNext(state, progress, sortByLoad(fleet, rest), context)];
}

/** Machines that are missed the least first: idle ones, then those of pools that have room to spare. */
function sortByLoad(fleet: FleetState, machines: readonly Machine[]): Machine[] {
	const rank = (machine: Machine) => {
		if (machine.endpointId !== undefined && mayMissNow(fleet, machine, machine.endpointId)) {
			return 0;
		}

		return fleet.busyPools.has(machine.pool) ? 2 : 1;
	};

	return [...machines].sort((left, right) => rank(left) - rank(right));
}

/** Whether a wave must go on now to be done in time. */
function isPressing(state: State, {wave, seenAt}: WaveProgress, rest: readonly Machine[], machineMs: number, {wallTime}: DecisionContext): boolean {
	return wallTime > seenAt + wave.durationMs - (countRounds(state, wave, rest) * machineMs) - waveMarginMs;
}

/** Whether nothing runs on a machine: its owner has said so, or it is off. */
function isReadyToGo({fleet, configuration}: State, machine: Machine): boolean {
	if (machine.state !== 'up') {
		return false;
	}

	return isSpare({configuration}, machine.pool) || (machine.endpointId !== undefined && fleet.evacuatedIds.has(machine.endpointId));
}

/** Whether machines in a pool are off. @internal */
export function isSpare({configuration}: ConfigurationView, pool: string): boolean {
	return configuration.current?.pools.find(({name}) => name === pool)?.isSpare === true;
}

/** Asks for machines to be emptied ahead of their turn: idle ones at any time, others as late as the wave's end allows. */
function evacuateNext(state: State, progress: WaveProgress, rest: readonly Machine[], context: DecisionContext): JobOutput[] {
	const {fleet} = state;
	const {wave, seenAt} = progress;
	const outputs: JobOutput[] = [];
	const perPool = new Map<string, number>();
	let pendingCount = 0;
	for (const {request} of fleet.evacuations.values()) {
		if (request.purpose === 'maintenance') {
			perPool.set(request.pool, (perPool.get(request.pool) ?? 0) + 1);
			pendingCount += 1;
		}
	}

	const mayTakeBusy = isPressing(state, progress, rest, roundMs, context);
	for (const machine of rest) {
		const {endpointId, pool} = machine;
		if (machine.state !== 'up' || endpointId === undefined || isSpare(state, pool) || fleet.evacuations.has(endpointId)) {
			continue;
		}

		const size = [...fleet.machines.values()].filter(other => other.pool === pool).length;
		const limit = Math.max(1, Math.floor(size * poolShare));
		if ((perPool.get(pool) ?? 0) >= limit || pendingCount >= wave.downLimit * 2 || (!mayTakeBusy && !mayMissNow(fleet, machine, endpointId))) {
			continue;
		}

		perPool.set(pool, (perPool.get(pool) ?? 0) + 1);
		pendingCount += 1;
		outputs.push(...requestEvacuation(fleet, {
			machine, endpointId, purpose: 'maintenance', dueAt: Math.min(context.wallTime + awaitTasksMs, seenAt + wave.durationMs),
		}, context));
	}

	return outputs;
}

/** Rounds that the machines of a wave that are left may still take, one pool's after the other where they are many. */
function countRounds({fleet}: State, wave: WaveProgress['wave'], rest: readonly Machine[]): number {
	const perPool = new Map<string, number>();
	for (const machine of rest) {
		perPool.set(machine.pool, (perPool.get(machine.pool) ?? 0) + 1);
	}

	let rounds = Math.ceil(rest.length / wave.downLimit);
	for (const [pool, count] of perPool) {
		const size = [...fleet.machines.values()].filter(machine => machine.pool === pool).length;
		rounds = Math.max(rounds, Math.ceil(count / Math.max(1, Math.floor(size * poolShare))));
	}

	return rounds;
}

/** Whether a pool does without a machine at the moment: no work waits, and nothing runs there but tasks that have to be moved at some time. */
function mayMissNow(fleet: FleetState, machine: Machine, endpointId: string): boolean {
	const report = fleet.reports.get(machine.pool)?.report;
	return report?.backlogMillis === 0 && (report.idleEndpoints.includes(endpointId) || report.servingEndpoints.includes(endpointId));
}

/** Asks a pool's owner to empty an endpoint. @internal */
export function requestEvacuation(
	fleet: FleetState,
	{machine, endpointId, purpose, dueAt}: {readonly machine: Machine; readonly endpointId: string; readonly purpose: 'maintenance' | 'move'; readonly dueAt: number},
	context: DecisionContext,
): JobOutput[] {
	fleet.requestCount += 1;
	const request = {
		requestId: `${fleet.token}-${fleet.requestCount}`, pool: machine.pool, endpointId, machine: machine.name, purpose, dueAt,
	};
	fleet.evacuations.set(endpointId, {request, askedAt: context.now});
	return [
		emitLog('info', 'endpoint to be emptied', {
			endpoint: endpointId, machine: machine.name, pool: machine.pool, purpose,
		}),
		emitEffect({kind: 'request-evacuation', request}),
	];
}

/** Time in ms that an endpoint's tasks are awaited before it is left to its pool; most tasks end within it. */
const moveWaitMs = 4000;

/** Takes back wishes whose machine has gone through its order, or is not to be ordered any more. @internal */
export function withdrawEvacuations(state: State, now: number): JobOutput[] {
	const {fleet} = state;
	const outputs: JobOutput[] = [];
	const endpointIds = new Set([...fleet.machines.values()].map(machine => machine.endpointId));
	for (const [endpointId, {request, askedAt}] of fleet.evacuations) {
		const isMoving = request.purpose === 'move' && (fleet.evacuatedIds.has(endpointId) || (now < askedAt + moveWaitMs && !fleet.busyPools.has(request.pool)));
		const isWanted = isMoving || [...fleet.waves.values()].some(({wave, maintained}) => wave.machines.includes(request.machine) && !maintained.has(request.machine));
		if (endpointIds.has(endpointId) && (isWanted || isAway(fleet, request.machine))) {
			continue;
		}

		fleet.evacuations.delete(endpointId);
		fleet.evacuatedIds.delete(endpointId);
		outputs.push(emitEffect({kind: 'withdraw-evacuation', pool: request.pool, endpointId}));
	}

	return outputs;
}
