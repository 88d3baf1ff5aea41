import {type DisplacementPolicy} from '@pistachiogauge/jobs';
import {describe, expect, it} from 'vitest';
import {overloadCases, playOverload, type OverloadCase} from './displacement.js';
import {countOnTime, sumValue, type ScheduledJob} from './list-schedule.js';
import {createAccounts, createLoad} from './order-loads.js';

const seeds = [1, 2, 3] as const;
const getCase = (name: string): OverloadCase => overloadCases.find(overload => overload.name === name)!;

function play(overload: OverloadCase, seed: number, policy: DisplacementPolicy = 'least-cost'): ScheduledJob[] {
	return playOverload(overload, createLoad(overload.streams, seed), policy);
}

function computeOnTimeRate(jobs: readonly ScheduledJob[]): number {
	return countOnTime(jobs) / jobs.length;
}

function computeWork({load}: ScheduledJob): number {
	return load.taskCount * load.taskMs;
}

function sumWork(jobs: readonly ScheduledJob[]): number {
	return jobs.reduce((sum, job) => sum + computeWork(job), 0);
}

const hotCases = seeds.flatMap(seed => [2.5, 4, 20].map(weight => ({
	name: `weight ${weight}, seed ${seed}`, seed, weight,
})));

describe('fair shares', () => {
	// Guards against an account at seven times its usual rate that displaces the jobs of the others, whether its jobs are within its weight in jobs a second (20) or not.
	it.each(hotCases)('the others lose at most 5% of their jobs on time beside a hot account: $name', ({seed, weight}) => {
		const overload = {...getCase('hot-account'), accounts: createAccounts(Array.from({length: 10}, (_, index) => [`a${index}`, weight]))};
		const load = createLoad(overload.streams, seed);
		const beside = playOverload(overload, load, 'least-cost');
		const without = playOverload(overload, load.filter(({account}) => account !== 'a0'), 'least-cost');
		const others = beside.filter(job => job.load.account !== 'a0');
		expect(countOnTime(others)).toBeGreaterThanOrEqual(0.95 * countOnTime(without));
		// What the others do not use is lent to the hot account.
		expect(countOnTime(beside) - countOnTime(others)).toBeGreaterThan(beside.filter(job => job.load.account === 'a0').length / 7);
	});

	// Guards against large accounts that take the shares of small ones in an overload of five times.
	it.each(seeds)('seventeen small accounts get their shares beside three large ones, seed %d', seed => {
		const overload = getCase('twenty-accounts');
		const jobs = play(overload, seed);
		const small = jobs.filter(job => job.load.account!.startsWith('small'));
		const totalWeight = overload.accounts!.reduce((sum, {weight}) => sum + weight, 0);
		const smallWeight = overload.accounts!.filter(({name}) => name.startsWith('small')).reduce((sum, {weight}) => sum + weight, 0);
		const served = sumWork(jobs.filter(({isOnTime}) => isOnTime));
		const smallServed = sumWork(small.filter(({isOnTime}) => isOnTime));
		expect(smallServed).toBeGreaterThanOrEqual(0.9 * served * smallWeight / totalWeight);
		for (const {name} of overload.accounts!) {
			expect(jobs.some(({load, isOnTime}) => load.account === name && isOnTime)).toBe(true);
		}
	});
});

describe('least cost', () => {
	// Guards against a policy that yields less than the former one where no account has to be protected from another, above all for an account that is alone.
	it.each(seeds.flatMap(seed => [
		...['long-overload', 'short-burst', 'twenty-accounts'].map(name => ({name, seed, overload: getCase(name)})),
		...[20, 40, 100].map(rate => ({
			name: `an account alone with ${rate} jobs a second`, seed, overload: {
				name: 'alone', cores: 40, accounts: createAccounts([['a', 5], ['b', 5]]), streams: [{
					account: 'a', rate, meanTasks: 2, taskMs: 800, until: 6000,
				}],
			},
		})),
	]))('yields no less value than largest first: $name, seed $seed', ({overload, seed}) => {
		expect(sumValue(play(overload, seed))).toBeGreaterThanOrEqual(sumValue(play(overload, seed, 'largest-first')));
	});

	// Guards against urgent jobs that wait behind large ones.
	it.each(seeds)('serves all urgent jobs in time beside large ones, seed %d', seed => {
		const urgent = play(getCase('urgent-beside-large'), seed).filter(({load}) => load.queue === 'urgent');
		expect(computeOnTimeRate(urgent)).toBe(1);
	});

	// Guards against a queue whose large jobs always lose, as they yield least for the capacity. Largest first serves them at less than a sixth of the rate of the whole queue.
	it.each(seeds)('serves the largest tenth and the fifth below it at least half as often as all, seed %d', seed => {
		const jobs = play(getCase('long-overload'), seed).sort((left, right) => computeWork(left) - computeWork(right));
		const half = computeOnTimeRate(jobs) / 2;
		expect(computeOnTimeRate(jobs.slice(Math.floor(jobs.length * 0.9)))).toBeGreaterThanOrEqual(half);
		expect(computeOnTimeRate(jobs.slice(Math.floor(jobs.length * 0.7), Math.floor(jobs.length * 0.9)))).toBeGreaterThanOrEqual(half);
	});
});
