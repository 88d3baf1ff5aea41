import {type ClientAccount, type DisplacementPolicy} from '@pistachiogauge/jobs';
import {
	countOnTime, scheduleLoad, sumValue, type LoadJob, type ScheduledJob,
} from './list-schedule.js';
import {roundValue, type Measure, type MeasureLine} from './measure.js';
import {createAccounts, createLoad, type Stream} from './order-loads.js';

/** A load that a machine cannot serve in time, and the accounts that send it. */
export type OverloadCase = {
	readonly name: string;
	readonly cores: number;
	readonly accounts?: readonly ClientAccount[];
	readonly streams: readonly Stream[];
};

const until = 10_000;
const smallAccounts = Array.from({length: 17}, (_, index) => `small${index}`);
const largeAccounts = ['large0', 'large1', 'large2'];

/** Loads by name. Mean demands are in cores: rate times tasks times their duration in seconds. */
export const overloadCases: readonly OverloadCase[] = [
	{
		name: 'hot-account',
		cores: 40,
		accounts: createAccounts(Array.from({length: 10}, (_, index) => [`a${index}`, 4])),
		// Usually 32 cores, and 51 while one account sends at seven times its usual rate.
		streams: Array.from({length: 10}, (_, index) => ({
			account: `a${index}`, rate: index === 0 ? 14 : 2, meanTasks: 2, taskMs: 800, until,
		})),
	},
	{
		name: 'twenty-accounts',
		cores: 40,
		accounts: createAccounts([...smallAccounts.map(name => [name, 2] as const), ...largeAccounts.map(name => [name, 10] as const)]),
		// 200 cores.
		streams: [...smallAccounts.map(account => ({
			account, rate: 2.5, meanTasks: 2, taskMs: 800, until,
		})), ...largeAccounts.map(account => ({
			account, rate: 28, meanTasks: 2, taskMs: 800, until,
		}))],
	},
	{
		name: 'urgent-beside-large',
		cores: 40,
		// 8 cores of urgent jobs, 96 of large ones.
		streams: [
			{
				queue: 'urgent', priority: 0, rate: 10, meanTasks: 2, taskMs: 400, until,
			},
			{
				queue: 'large', rate: 6, meanTasks: 16, taskMs: 1000, until,
			},
		],
	},
	{
		name: 'long-overload',
		cores: 40,
		// 120 cores.
		streams: [{
			rate: 37.5, meanTasks: 4, taskMs: 800, until: 30_000,
		}],
	},
	{
		name: 'short-burst',
		cores: 40,
		// 16 cores, and 200 for 2 s.
		streams: [
			{
				rate: 10, meanTasks: 2, taskMs: 800, until,
			},
			{
				rate: 115, meanTasks: 2, taskMs: 800, from: 3000, until: 5000,
			},
		],
	},
];

/** Plays an overload with a displacement policy. */
export function playOverload({cores, accounts}: OverloadCase, load: readonly LoadJob[], policy: DisplacementPolicy): ScheduledJob[] {
	return scheduleLoad(load, {policy, cores, ...(accounts !== undefined && {accounts})});
}

/** Jobs on time and their value under overload. This is a model of a machine that starts tasks in the order that the pool's owner computes, and runs no entries. */
export const displacementMeasure: Measure = {
	name: 'displacement',
	description: 'jobs on time and their value under overload, by least cost against largest first',
	run(seed) {
		return overloadCases.flatMap(overload => {
			const load = createLoad(overload.streams, seed);
			const leastCost = playOverload(overload, load, 'least-cost');
			const largestFirst = playOverload(overload, load, 'largest-first');
			const createLine = (measure: string, unit: string, compute: (jobs: readonly ScheduledJob[]) => number): MeasureLine => ({
				measure: `displacement-${measure}-${overload.name}`,
				unit,
				policy: 'least-cost',
				baseline: 'largest-first',
				value: roundValue(compute(leastCost)),
				baselineValue: roundValue(compute(largestFirst)),
				seed,
			});
			return [
				createLine('on-time', 'share', jobs => countOnTime(jobs) / jobs.length),
				createLine('value', 'mean jobs', sumValue),
			];
		});
	},
};
