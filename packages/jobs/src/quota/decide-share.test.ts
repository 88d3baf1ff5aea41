import {describe, expect, it} from 'vitest';
import {computeLevel, decideShare, type ShareInput} from './decide-share.js';

const cpu = (cpuMillis: number) => ({cpuMillis, memoryMb: 0, gpus: 0});
const createShare = (share: number, wanted: number) => ({share: cpu(share), wanted: cpu(wanted)});

type Case = {
	readonly name: string;
	readonly share?: number;
	/** Shares and demands of the other pools. */
	readonly others?: ReadonlyArray<readonly [share: number, wanted: number]>;
	readonly running?: number;
	/** What else may be running. */
	readonly maybe?: number;
	readonly waiting?: number;
	readonly peak?: number;
	readonly traits?: Partial<ShareInput>;
	readonly expected: number;
	/** Expected limit if it is not the share. */
	readonly limit?: number;
	readonly isYielding?: boolean;
};

// The cap is 100 in all of them.
const cases: readonly Case[] = [
	{name: 'the first demand takes half of what is free beyond it', waiting: 10, expected: 55},
	{
		name: 'a demand beyond what is free takes all of it', share: 10, others: [[70, 60]], running: 10, waiting: 50, expected: 30,
	},
	{
		name: 'a demand that is met needs no change', share: 40, others: [[20, 20]], running: 30, waiting: 5, expected: 40,
	},
	{
		// Guards against sums beyond the cap.
		name: 'nothing is taken if nothing is free', share: 40, others: [[60, 60]], running: 40, waiting: 30, expected: 40,
	},
	{
		name: 'two pools that want more than half divide the rest evenly', share: 30, others: [[30, 90]], running: 30, waiting: 60, expected: 50,
	},
	{
		name: 'nothing is taken while shares may not grow', waiting: 10, traits: {mayTake: false}, expected: 0,
	},
	{
		name: 'what runs is covered though shares may not grow', running: 10, traits: {mayTake: false}, expected: 10,
	},
	{
		name: 'what runs is covered beyond a new cap, and nothing more', running: 80, waiting: 10, others: [[60, 60]], expected: 80, limit: 40,
	},
	{
		name: 'idle share is given back if another pool wants it', share: 80, others: [[20, 60]], running: 20, expected: 40, isYielding: true,
	},
	{
		name: 'no more than what the other pool wants is given back', share: 80, others: [[20, 30]], running: 20, expected: 70, isYielding: true,
	},
	{
		// Guards against a share that another pool takes while it is in use.
		name: 'share in use is not given back, but nothing new is started', share: 90, others: [[10, 90]], running: 90, waiting: 30, expected: 90, limit: 50, isYielding: true,
	},
	{
		name: 'what may be running counts as in use', share: 80, others: [[20, 60]], running: 20, maybe: 40, expected: 60, limit: 50, isYielding: true,
	},
	{
		name: 'nothing is given back before the survey of a takeover', share: 80, others: [[20, 60]], running: 20, traits: {mayRelease: false}, expected: 80,
	},
	{
		name: 'a small demand is met by a pool that wants all', share: 90, others: [[10, 15]], running: 85, waiting: 200, expected: 85, isYielding: true,
	},
	{
		name: 'a lowered cap lets nothing start and takes nothing', share: 70, others: [[60, 60]], running: 70, waiting: 20, expected: 70, limit: 40, isYielding: false,
	},
	{
		name: 'idle share beyond a lowered cap is given back', share: 70, others: [[60, 60]], running: 50, expected: 50, limit: 40, isYielding: true,
	},
	{
		name: 'idle share is kept while much of the cap is free', share: 50, others: [[10, 10]], peak: 5, running: 5, expected: 50,
	},
	{
		name: 'idle share is given back once little is free', share: 70, others: [[20, 20]], peak: 20, running: 20, expected: 35, limit: 70,
	},
	{
		name: 'share is kept if it was wanted lately', share: 70, others: [[20, 20]], peak: 60, running: 20, expected: 70,
	},
	{
		name: 'all is given back if nothing was wanted', share: 70, others: [[20, 20]], expected: 0, limit: 70,
	},
];

describe('decideShare', () => {
	it.each(cases)('$name', ({
		share, others = [], running = 0, maybe = 0, waiting = 0, peak, traits, expected, limit = expected, isYielding = false,
	}) => {
		const wanted = running + maybe + waiting;
		const decision = decideShare({
			cap: cpu(100),
			own: share === undefined ? undefined : createShare(share, 0),
			pool: 'desk',
			unit: undefined,
			others: others.map(([otherShare, otherWanted], index) => [`other${index}`, createShare(otherShare, otherWanted)]),
			running: cpu(running),
			possible: cpu(running + maybe),
			wanted: cpu(wanted),
			peak: cpu(peak ?? wanted),
			mayTake: true,
			mayRelease: true,
			...traits,
		});
		expect(decision.share).toEqual(cpu(expected));
		expect(decision.limit).toEqual({cpuMillis: limit, memoryMb: Number.POSITIVE_INFINITY, gpus: Number.POSITIVE_INFINITY});
		expect(decision.isYielding).toBe(isYielding);
		expect(decision.wanted.cpuMillis).toBe(Math.min(100, wanted));
	});

	// Guards against two pools that wait for ever, each with an idle part of the cap that is too small for its task or gang.
	it.each([
		{
			name: 'that has waited longest is due as much as its unit', unit: 60, since: 1, otherSince: 2, expected: 60,
		},
		{
			name: 'that has waited less gives back what the other lacks', unit: 60, since: 3, otherSince: 2, expected: 30,
		},
		{
			name: 'whose unit fits into its part keeps that', unit: 40, since: 1, otherSince: undefined, expected: 50,
		},
		{
			name: 'whose unit is larger than the cap keeps its part', unit: 200, since: 1, otherSince: undefined, expected: 50,
		},
	])('a pool $name', ({unit, since, otherSince, expected}) => {
		const decision = decideShare({
			pool: 'desk',
			cap: cpu(100),
			own: createShare(50, 80),
			others: [['other', {...createShare(expected === 60 ? 40 : 50, 80), ...(otherSince !== undefined && {unit: cpu(70), unitSince: otherSince})}]],
			running: cpu(0),
			possible: cpu(0),
			wanted: cpu(80),
			peak: cpu(80),
			unit: {resources: cpu(unit), since},
			mayTake: true,
			mayRelease: true,
		});
		expect(decision.share.cpuMillis).toBe(expected);
		expect(decision.unit?.since).toBe(unit > 50 ? since : undefined);
	});

	it.each([
		{name: 'demands within the cap', demands: [10, 20, 30], expected: Number.POSITIVE_INFINITY},
		{name: 'one demand beyond the cap', demands: [150], expected: 100},
		{name: 'small demands are met and the rest is divided', demands: [10, 80, 70], expected: 45},
		{name: 'no demand', demands: [], expected: Number.POSITIVE_INFINITY},
	])('computes the level up to which demands are met: $name', ({demands, expected}) => {
		expect(computeLevel(100, demands)).toBe(expected);
	});
});
