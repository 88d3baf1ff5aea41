import {type OperatorCommand, type PoolName} from '@pistachiogauge/model';
import {emitEffect, restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getServingInstances, type OwnedPool} from './fleet-state.js';
import {
	chooseRebalanceAction, loadSampleCount, loadSampleIntervalMs, minMoveIntervalMs, type RebalanceAction,
} from './move-policy.js';
import {countQueued} from './pool-status.js';

const defaultSlotsPerInstance = 8;

/** Samples a pool's load and submits a lend or move command when the load history calls for it. @internal */
export function rebalancePool(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	const {loadHistory} = owned;
	const serving = getServingInstances(state, pool);
	const slots = serving.length * (state.bundle.current?.pools[pool]?.slotsPerInstance ?? defaultSlotsPerInstance);
	const running = serving.reduce((sum, {id}) => sum + (state.dispatch.busySlots.get(id) ?? 0), 0);
	loadHistory.sampleSum += slots === 0 ? 0 : (running + countQueued(state, pool)) / slots;
	loadHistory.sampleTickCount += 1;
	if (context.now < loadHistory.nextSampleAt) {
		return [];
	}

	loadHistory.nextSampleAt = context.now + loadSampleIntervalMs;
	loadHistory.samples.push(loadHistory.sampleSum / loadHistory.sampleTickCount);
	loadHistory.samples.splice(0, loadHistory.samples.length - loadSampleCount);
	loadHistory.sampleSum = 0;
	loadHistory.sampleTickCount = 0;
	if (context.now < loadHistory.nextMoveAt) {
		return [];
	}

	const borrowed = serving.filter(instance => instance.pool !== pool);
	const command = rebalanceCommands[chooseRebalanceAction(loadHistory.samples, serving.length, borrowed.length)](state, pool, borrowed);
	if (command === undefined) {
		return [];
	}

	return submitCommand(state, owned, command, context);
}

type BorrowedInstances = ReturnType<typeof getServingInstances>;

const rebalanceCommands: Readonly<Record<RebalanceAction, (state: EntryState, pool: PoolName, borrowed: BorrowedInstances) => OperatorCommand | undefined>> = {
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

/** Submits a command to the filter chain as if an operator had called. Nobody receives the answer; the outcome is recorded in the audit trail. */
function submitCommand(state: EntryState, owned: OwnedPool, command: OperatorCommand, context: DecisionContext): Output[] {
	owned.loadHistory.nextMoveAt = context.now + minMoveIntervalMs;
	state.fleet.operationCount += 1;
	return [
		emitEffect({kind: 'count', metric: 'automatic_moves_total', by: 1}),
		restartEvent({
			kind: 'operator-called', callId: `automatic:${state.config.id}:${state.fleet.operationCount}`, operator: `system:${state.config.id}`, command,
		}),
	];
}
