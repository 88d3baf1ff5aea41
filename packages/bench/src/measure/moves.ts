import {
	createRandomSource, chooseRebalanceAction, loadSampleCount, loadSampleIntervalMs, minMoveIntervalMs,
} from '@pistachiogauge/decisions';
import {roundValue, type Measure, type MeasureLine} from './measure.js';
import {computeBurstDemand} from './burst-demand.js';

const daySeconds = 86_400;
const queueCount = 5;
const spareIndex = queueCount - 1;
const instancesPerPool = 7;
const minInstances = 3;
const slotsPerInstance = 8;
/** Share of a pool's slots that its queue needs on average; five times that exceeds the pool. */
const meanLoad = 0.24;
/** Duration of a move; a pool has at most one in progress. */
const moveSeconds = 60;
const sampleSeconds = loadSampleIntervalMs / 1000;
/** In the run with a lasting shift, the first queue's demand is four times its mean from hour 8 to hour 12. */
const lastingShift = {from: 8 * 3600, to: 12 * 3600, factor: 4};

type Pool = {
	instances: number;
	queuedWork: number;
	movingUntil: number;
	nextMoveAt: number;
	loadSamples: number[];
	loadSum: number;
};

/** Returns the source and target pool of a move on behalf of a pool, or undefined for no move. */
type MovePolicy = (pools: readonly Pool[], index: number, second: number) => {readonly from: number; readonly to: number} | undefined;

const computeLoad = (pool: Pool) => pool.queuedWork / (pool.instances * slotsPerInstance);

/** Baseline: moves an instance whenever a pool has more work than slots and another pool uses less than half of its slots. */
const moveOnImbalance: MovePolicy = (pools, index) => {
	if (computeLoad(pools[index]!) <= 1) {
		return undefined;
	}

	const from = pools.findIndex((pool, other) => other !== index && computeLoad(pool) < 0.5 && pool.instances > minInstances);
	return from === -1 ? undefined : {from, to: index};
};

/** The entries' policy: the spare pool lends an instance after an imbalance of ten minutes. */
const moveOnLastingImbalance: MovePolicy = (pools, index, second) => {
	const pool = pools[index]!;
	if (index === spareIndex || second < pool.nextMoveAt || second % sampleSeconds !== 0) {
		return undefined;
	}

	const action = chooseRebalanceAction(pool.loadSamples, pool.instances, Math.max(0, pool.instances - instancesPerPool));
	if (action === 'none' || (action === 'borrow' && pools[spareIndex]!.instances <= minInstances)) {
		return undefined;
	}

	pool.nextMoveAt = second + (minMoveIntervalMs / 1000);
	return action === 'borrow' ? {from: spareIndex, to: index} : {from: index, to: spareIndex};
};

function countMoves(policy: MovePolicy, seed: number, hasShift: boolean): number {
	const random = createRandomSource(seed);
	const pools = Array.from({length: queueCount}, (): Pool => ({
		instances: instancesPerPool, queuedWork: 0, movingUntil: 0, nextMoveAt: 0, loadSamples: [], loadSum: 0,
	}));
	let moves = 0;
	for (let second = 1; second <= daySeconds; second++) {
		for (const [index, pool] of pools.entries()) {
			const isShifted = hasShift && index === 0 && second >= lastingShift.from && second < lastingShift.to;
			const demand = computeBurstDemand(second, index, random) * meanLoad * instancesPerPool * slotsPerInstance * (isShifted ? lastingShift.factor : 1);
			addDemand(pool, demand, second);
		}

		for (const [index, pool] of pools.entries()) {
			const move = second >= pool.movingUntil ? policy(pools, index, second) : undefined;
			if (move !== undefined) {
				moves += 1;
				pool.movingUntil = second + moveSeconds;
				pools[move.from]!.instances -= 1;
				pools[move.to]!.instances += 1;
			}
		}
	}

	return moves;
}

/** Adds one second of demand, in which each request takes a slot for one second; work above the slots is queued. */
function addDemand(pool: Pool, demand: number, second: number): void {
	const work = pool.queuedWork + demand;
	pool.loadSum += work / (pool.instances * slotsPerInstance);
	pool.queuedWork = Math.max(0, work - (pool.instances * slotsPerInstance));
	if (second % sampleSeconds === 0) {
		pool.loadSamples.push(pool.loadSum / sampleSeconds);
		pool.loadSamples.splice(0, pool.loadSamples.length - loadSampleCount);
		pool.loadSum = 0;
	}
}

/** Instance moves per day with 5 queues that burst one after the other. This is a model of the load with the entries' policy and runs no entries. */
export const movesMeasure: Measure = {
	name: 'moves',
	description: 'instance moves per day when queues burst one after the other, against a move on every imbalance',
	run(seed) {
		return [false, true].map((hasShift): MeasureLine => ({
			measure: hasShift ? 'moves-with-lasting-shift' : 'moves',
			unit: 'moves/day',
			policy: 'lasting-imbalance',
			baseline: 'every-imbalance',
			value: roundValue(countMoves(moveOnLastingImbalance, seed, hasShift)),
			baselineValue: roundValue(countMoves(moveOnImbalance, seed, hasShift)),
			seed,
		}));
	},
};
