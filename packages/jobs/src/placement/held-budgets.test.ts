import {describe, expect, it} from 'vitest';
import {
	type AdvicePolicy, type Configuration, type JobEffect, type JobEvent, type JobRecord, type Resources, type ShareRecord, type StepSpec,
} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer, type TestOwner,
} from '../testing.test-support.js';

const account = 'press';
const room = (cpuMillis: number, memoryMb = 100) => ({room: {cpuMillis, memoryMb, gpus: 0}});
/** Endpoints have 16 cores. */
const endpointIds = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7'];
const ordinaryStoredAt = 3000;
/** A share grows within some writes of 100 ms. */
const startBoundMs = 1000;
const tickMs = 25;
const advice: AdvicePolicy = {decideMs: 1, eachMs: 1, validMs: 1000};

type Play = {
	/** Stored first. */
	readonly step: Partial<StepSpec>;
	readonly traits?: Partial<JobRecord>;
	/** Thousandths of a core that the account may have running. */
	readonly cap: number;
	/** Whether its endpoints may run an advised step. */
	readonly areAllowed?: boolean;
	/** Jobs of two seconds and this many thousandths of a core that are stored one after the other, and how often, in ms. */
	readonly ordinary: {readonly millis: number; readonly intervalMs: number};
	/** Accounts with a job each that waits for a larger share. */
	readonly otherAccounts?: number;
	readonly endsAt: number;
};

function createConfiguration(cap: number, accounts: readonly string[]): Configuration {
	return {
		version: 1,
		queues: [],
		pools: [{name: 'desk', isSpare: false}],
		accounts: accounts.map(name => ({
			name, keyHashes: [], priority: 0, weight: 1, cap: {cpuMillis: cap, memoryMb: 0, gpus: 0},
		})),
		limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	};
}

/** The store's part: carries out writes of shares, and answers what else an owner needs. */
class TestShares {
	private readonly records = new Map<string, {readonly revision: number; readonly record: ShareRecord}>();
	private revision = 10;

	constructor(private readonly areAllowed: boolean | undefined) {}

	answer(effect: JobEffect): JobEvent[] {
		if (effect.kind === 'ask-advice' && this.areAllowed !== undefined) {
			const ids = effect.endpointIds;
			return [{
				kind: 'advice-answered', pool: 'desk', stepId: effect.stepId, endpointIds: ids, tickets: new Map(this.areAllowed ? ids.map(id => [id, 'ticket'] as const) : []), validMs: 1000, isComplete: true,
			}];
		}

		if (effect.kind !== 'write-shares') {
			return [];
		}

		this.revision += 1;
		for (const {account: name, record} of effect.records) {
			this.records.set(name, {revision: this.revision, record});
		}

		return [{
			kind: 'shares-written', pool: 'desk', token: 7, writeId: effect.writeId, result: 'applied', revision: this.revision, presentRevisions: new Map(), isClaimLost: false,
		}];
	}
}

/** Plays a pool in which a job that may not be able to start waits, and ordinary jobs of its account are stored later. Returns when each job has started all its tasks' runs. */
function play({step, traits, cap, areAllowed, ordinary, otherAccounts = 0, endsAt}: Play): {readonly startedAt: ReadonlyMap<string, number>; readonly startCounts: ReadonlyMap<string, number>} {
	const others = Array.from({length: otherAccounts}, (_, number) => `other${number}`);
	const owner: TestOwner = createTestOwner({roster: {endpointIds}, endpoints: endpointIds, jobs: []});
	const shares = new TestShares(areAllowed);
	const startedAt = new Map<string, number>();
	const startCounts = new Map<string, number>();
	const runs = new Map<string, {readonly taskId: string; readonly run: number; readonly endpointId: string; readonly endsAt: number}>();
	const ends = new Map<string, Array<{readonly number: number; readonly taskId: string; readonly run: number; readonly outcome: 'done'; readonly checkpoint: string}>>();
	const apply = (event: JobEvent, now: number) => {
		for (const effect of owner.apply(event, now)) {
			if (effect.kind === 'start-task') {
				const [jobId = ''] = effect.taskId.split('.', 1);
				startedAt.set(jobId, startedAt.get(jobId) ?? now);
				startCounts.set(jobId, (startCounts.get(jobId) ?? 0) + 1);
				runs.set(effect.taskId, {
					taskId: effect.taskId, run: effect.run, endpointId: effect.target.endpointId, endsAt: now + (jobId.startsWith('ordinary') ? 2000 : 1_000_000),
				});
			}

			for (const answer of shares.answer(effect)) {
				apply(answer, now);
			}
		}
	};

	const store = (id: string, spec: Partial<StepSpec>, record: Partial<JobRecord>, now: number) => {
		apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob(id, [spec], {account, acceptedAt: now, ...record}))}, now);
	};

	apply({kind: 'configuration-changed', configuration: createConfiguration(cap, [account, ...others])}, 0);
	apply({kind: 'shares-listed', owned: [{pool: 'desk', token: 7}], shares: []}, 0);
	for (let now = tickMs; now <= endsAt; now += tickMs) {
		if (now === 1000) {
			store('first', {estimateMs: 60_000, ...step}, traits ?? {}, now);
			for (const name of others) {
				store(name, {...room(1000), count: 40}, {account: name}, now);
			}
		}

		if (now >= ordinaryStoredAt && (now - ordinaryStoredAt) % ordinary.intervalMs === 0) {
			store(`ordinary${now}`, {...room(ordinary.millis), estimateMs: 90_000}, {}, now);
		}

		for (const id of endpointIds) {
			const own = [...runs.values()].filter(({endpointId}) => endpointId === id);
			const finished = ends.get(id) ?? [];
			for (const run of own.filter(each => each.endsAt <= now)) {
				runs.delete(run.taskId);
				finished.push({
					number: finished.length + 1, taskId: run.taskId, run: run.run, outcome: 'done', checkpoint: '',
				});
			}

			ends.set(id, finished);
			apply({
				...createTestPollAnswer(id, 1000 + now),
				running: own.filter(each => each.endsAt > now).map(({taskId, run}) => ({
					taskId, run, checkpoint: '', percent: 1, load: 0,
				})),
				ended: finished.slice(-20),
			}, now);
		}

		apply({kind: 'tick'}, now);
	}

	return {startedAt, startCounts};
}

// Guards against an account whose jobs stand still beside idle endpoints, as its budget is kept for tasks that cannot start.
const standingCases: ReadonlyArray<{readonly name: string} & Omit<Play, 'ordinary' | 'endsAt'>> = [
	{name: 'a gang of which some members fit', step: {...room(16_000), count: 8, isGang: true}, cap: 192_000},
	{name: 'a gang that takes its account\'s whole cap and of which some members fit', step: {...room(16_000), count: 8, isGang: true}, cap: 128_000},
	{
		name: 'a gang of which some members fit beside others on an endpoint', step: {
			...room(1000), count: 15, isGang: true, endpointLimit: 2,
		}, cap: 32_000,
	},
	{
		name: 'a gang with a label that no endpoint has', step: {
			...room(2000), count: 4, isGang: true, requiredLabel: 'ssd',
		}, cap: 8000,
	},
	{
		name: 'a step that is allowed on no endpoint', step: {...room(4000), count: 2}, traits: {advice}, areAllowed: false, cap: 8000,
	},
	{
		name: 'a step whose advice is not answered', step: {...room(4000), count: 2}, traits: {advice}, cap: 8000,
	},
];

// Guards against gangs that never start, as the account's other jobs take what they need, or as they are too large to be measured.
const startingCases: ReadonlyArray<{readonly name: string} & Omit<Play, 'ordinary' | 'endsAt'>> = [
	{name: 'a gang that fits', step: {...room(8000), count: 4, isGang: true}, cap: 40_000},
	{name: 'a gang of many members', step: {...room(100, 10), count: 400, isGang: true}, cap: 60_000},
	{
		name: 'a gang of some members beside many accounts', step: {...room(100, 10), count: 12, isGang: true}, cap: 4000, otherAccounts: 60,
	},
	{
		name: 'a gang that needs advice', step: {...room(8000), count: 4, isGang: true}, traits: {advice}, areAllowed: true, cap: 40_000,
	},
];

describe('the budget of an account', () => {
	it.each(standingCases)('is not kept for $name', traits => {
		const {startedAt, startCounts} = play({...traits, ordinary: {millis: 4000, intervalMs: 4000}, endsAt: ordinaryStoredAt + startBoundMs});
		expect(startCounts.get('first')).toBeUndefined();
		expect(startedAt.get(`ordinary${ordinaryStoredAt}`)).toBeLessThan(ordinaryStoredAt + startBoundMs);
	});

	it.each(startingCases)('comes to be enough for $name', traits => {
		const {startCounts} = play({...traits, ordinary: {millis: 1000, intervalMs: 100}, endsAt: 9000});
		expect(startCounts.get('first')).toBe(traits.step.count);
	});
});
