import {type OperatorCommand, type PoolName} from '@pistachiogauge/model';
import {emitEffect, restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getServingInstances, type OwnedPool} from './fleet-state.js';
import {
	chooseRebalanceAction, loadSampleCount, loadSampleIntervalMs, minMoveIntervalMs, type RebalanceAction,
} from './move-policy.js';
import {countQueued} from './pool-status.js';

const defaultSlots = 8;

/** Samples a pool's load and asks for a move when its history calls for one. @internal */
export function balancePool(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	const {load} = owned;
	const serving = getServingInstances(state, pool);
	const slots = serving.length * (state.bundle.current?.pools[pool]?.slotsPerInstance ?? defaultSlots);
	const running = serving.reduce((sum, {id}) => sum + (state.dispatch.busySlots.get(id) ?? 0), 0);
	load.sum += slots === 0 ? 0 : (running + countQueued(state, pool)) / slots;
	load.count += 1;
	if (context.now < load.nextSampleAt) {
		return [];
	}

	load.nextSampleAt = context.now + loadSampleIntervalMs;
	load.samples.push(load.sum / load.count);
	load.samples.splice(0, load.samples.length - loadSampleCount);
	load.sum = 0;
	load.count = 0;
	if (context.now < load.nextMoveAt) {
		return [];
	}

	const borrowed = serving.filter(instance => instance.pool !== pool);
	const command = wishCommands[chooseRebalanceAction(load.samples, serving.length, borrowed.length)](state, pool, borrowed);
	if (command === undefined) {
		return [];
	}

	return sendCommand(state, owned, command, context);
}

type BorrowedInstances = ReturnType<typeof getServingInstances>;

const wishCommands: Readonly<Record<RebalanceAction, (state: EntryState, pool: PoolName, borrowed: BorrowedInstances) => OperatorCommand | undefined>> = {
	none: () => undefined,
	borrow(state, pool) {
		const lender = Object.entries(state.bundle.current?.pools ?? {}).find(([name, declaration]) => declaration.isSpare && name !== pool);
		return lender === undefined ? undefined : {command: 'lend', pool: lender[0], targetPool: pool};
	},
	return(state, pool, borrowed) {
		const instance = borrowed.find(item => state.bundle.current?.pools[item.pool] !== undefined);
		return instance === undefined
			? undefined
			: {
				command: 'move', pool, instance: instance.id, targetPool: instance.pool,
			};
	},
};

/** Hands a command to the chain as if an operator had called; the answer only shows in the audit. */
function sendCommand(state: EntryState, owned: OwnedPool, command: OperatorCommand, context: DecisionContext): Output[] {
	owned.load.nextMoveAt = context.now + minMoveIntervalMs;
	state.fleet.operationCount += 1;
	return [
		emitEffect({kind: 'count', metric: 'automatic_moves_total', by: 1}),
		restartEvent({
			kind: 'operator-called', callId: `automatic:${state.config.id}:${state.fleet.operationCount}`, operator: `system:${state.config.id}`, command,
		}),
	];
}
