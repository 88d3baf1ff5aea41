import {
	createRandomSource, chooseRebalanceAction, loadSampleCount, loadSampleIntervalMs, minMoveIntervalMs,
} from '@pistachiogauge/decisions';
import {formatFigure, type Measure, type MeasureLine} from './measure.js';
import {getTurnDemand} from './turn-load.js';

const daySeconds = 86_400;
const queueCount = 5;
const spareIndex = queueCount - 1;
const instancesPerPool = 7;
const minInstances = 3;
const slotsPerInstance = 8;
/** Share of a pool's slots that its queue needs on average; five times that exceeds the pool. */
const meanLoad = 0.24;
/** A move takes this long; a pool has one in flight. */
const moveSeconds = 60;
const sampleSeconds = loadSampleIntervalMs / 1000;
/** In the day with a lasting shift, the first queue asks for four times its mean from hour 8 to hour 12. */
const shift = {from: 8 * 3600, to: 12 * 3600, factor: 4};

type Pool = {
	instances: number;
	queued: number;
	busyUntil: number;
	nextMoveAt: number;
	samples: number[];
	sum: number;
};

/** Returns from where to where an instance moves for a pool, or nothing. */
type MovePolicy = (pools: readonly Pool[], index: number, second: number) => {readonly from: number; readonly to: number} | undefined;

const getLoad = (pool: Pool) => pool.queued / (pool.instances * slotsPerInstance);

/** Asks for an instance whenever a pool has more work than slots and another pool is less than half used. */
const moveOnImbalance: MovePolicy = (pools, index) => {
	if (getLoad(pools[index]!) <= 1) {
		return undefined;
	}

	const from = pools.findIndex((pool, other) => other !== index && getLoad(pool) < 0.5 && pool.instances > minInstances);
	return from === -1 ? undefined : {from, to: index};
};

/** The policy of the entries: lasting imbalance over ten minutes, the spare pool lends. */
const moveOnLastingImbalance: MovePolicy = (pools, index, second) => {
	const pool = pools[index]!;
	if (index === spareIndex || second < pool.nextMoveAt || second % sampleSeconds !== 0) {
		return undefined;
	}

	const wish = chooseRebalanceAction(pool.samples, pool.instances, Math.max(0, pool.instances - instancesPerPool));
	if (wish === 'none' || (wish === 'borrow' && pools[spareIndex]!.instances <= minInstances)) {
		return undefined;
	}

	pool.nextMoveAt = second + (minMoveIntervalMs / 1000);
	return wish === 'borrow' ? {from: spareIndex, to: index} : {from: index, to: spareIndex};
};

function countMoves(policy: MovePolicy, seed: number, hasShift: boolean): number {
	const random = createRandomSource(seed);
	const pools = Array.from({length: queueCount}, (): Pool => ({
		instances: instancesPerPool, queued: 0, busyUntil: 0, nextMoveAt: 0, samples: [], sum: 0,
	}));
	let moves = 0;
	for (let second = 1; second <= daySeconds; second++) {
		for (const [index, pool] of pools.entries()) {
			const isShifted = hasShift && index === 0 && second >= shift.from && second < shift.to;
			const demand = getTurnDemand(second, index, random) * meanLoad * instancesPerPool * slotsPerInstance * (isShifted ? shift.factor : 1);
			addDemand(pool, demand, second);
		}

		for (const [index, pool] of pools.entries()) {
			const move = second >= pool.busyUntil ? policy(pools, index, second) : undefined;
			if (move !== undefined) {
				moves += 1;
				pool.busyUntil = second + moveSeconds;
				pools[move.from]!.instances -= 1;
				pools[move.to]!.instances += 1;
			}
		}
	}

	return moves;
}

/** Work of one second, each request taking a second of a slot; what does not fit waits. */
function addDemand(pool: Pool, demand: number, second: number): void {
	const work = pool.queued + demand;
	pool.sum += work / (pool.instances * slotsPerInstance);
	pool.queued = Math.max(0, work - (pool.instances * slotsPerInstance));
	if (second % sampleSeconds === 0) {
		pool.samples.push(pool.sum / sampleSeconds);
		pool.samples.splice(0, pool.samples.length - loadSampleCount);
		pool.sum = 0;
	}
}

/** Moves of instances in a day of 5 queues that burst in turn. A model of the load with the entries' policy, not a run of entries. */
export const movesMeasure: Measure = {
	name: 'moves',
	description: 'instance moves a day when queues burst in turn, against a move on every imbalance',
	run(seed) {
		return [false, true].map((hasShift): MeasureLine => ({
			measure: hasShift ? 'moves-with-lasting-shift' : 'moves',
			unit: 'moves/day',
			policy: 'lasting-imbalance',
			baseline: 'every-imbalance',
			value: formatFigure(countMoves(moveOnLastingImbalance, seed, hasShift)),
			baselineValue: formatFigure(countMoves(moveOnImbalance, seed, hasShift)),
			seed,
		}));
	},
};
