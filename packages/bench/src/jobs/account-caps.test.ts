import {describe, expect, it} from 'vitest';
import {
	noResources, type ResourceName, type Resources, type StepSpec,
} from '@pistachiogauge/jobs';
import {type AccountPlan} from '../accounts/index.js';
import {createJobsSimulation, type JobsSimulation} from './jobs-simulation.js';
import {measureAccountUse} from './measure-account-use.js';

const cap: Resources = {cpuMillis: 16_000, memoryMb: 0, gpus: 0};
const endpointCapacity = {cpuMillis: 8000, memoryMb: 32_000, gpus: 0};
/** Time in which entries register and claim the pools. */
const settleMs = 1500;
const sampleMs = 10;
const taskMs = 600;

const step: StepSpec = {
	count: 1,
	room: {cpuMillis: 1000, memoryMb: 500, gpus: 0},
	estimateMs: taskMs,
	after: [],
	isCheckpointing: false,
	isGang: false,
	isSameRack: false,
	requiredLabel: undefined,
	dataRack: undefined,
	endpointLimit: undefined,
	mayDuplicate: false,
	isLongRunning: false,
	image: '',
	tailTargetMs: undefined,
	isFiller: false,
	missLimit: undefined,
};

function createKey(account: string): string {
	return `key-of-${account}`;
}

function createAccount(name: string, accountCap: Resources): AccountPlan {
	return {
		name, apiKeys: [createKey(name)], priority: 0, weight: 1, cap: accountCap,
	};
}

type SubmitOptions = {readonly pool?: string; readonly account?: string; readonly hasAccount?: boolean; readonly traits?: Partial<StepSpec>; readonly durationMs?: number};

function submitJobs(simulation: JobsSimulation, count: number, {pool = 'desk', account = 'press', hasAccount = true, traits = {}, durationMs = taskMs}: SubmitOptions = {}): string[] {
	const entries = simulation.entries.filter(({isUp}) => isUp);
	const queueName = `${hasAccount || !simulation.configuration.hasAccounts ? 'jobs' : 'open'}-${pool}`;
	return Array.from({length: entries.length === 0 ? 0 : count}, (_unused, index) => simulation.submitJob(entries[index % entries.length]!, queueName, {
		payload: '', steps: [{...step, ...traits}], repeatCount: 0, startAtMs: 0, intervalMs: 0,
	}, {durationMs}, hasAccount ? createKey(account) : undefined));
}

function getOwner(simulation: JobsSimulation, pool = 'desk') {
	const claim = simulation.store.claims.get(`pool/${pool}`);
	return simulation.entries.find(({node}) => node === claim?.node)!;
}

function listUnfinished({store}: JobsSimulation, jobIds: readonly string[]): string[] {
	return jobIds.filter(jobId => store.getProgress(jobId)?.endedAt === undefined);
}

/** Samples of what an account has running, taken all the time. */
type UseRecord = {
	readonly samples: Array<{readonly at: number; readonly use: Resources; readonly starts: number}>;
	/** Maximum in a period of virtual time. */
	readonly getMaximum: (name: ResourceName, from?: number, to?: number) => number;
	readonly getMean: (name: ResourceName, from: number, to: number) => number;
};

function recordUse(simulation: JobsSimulation, account = 'press'): UseRecord {
	const samples: UseRecord['samples'] = [];
	const sample = () => {
		samples.push({at: simulation.queue.now, use: measureAccountUse(simulation).get(account) ?? noResources, starts: simulation.checker.getStartCount()});
		simulation.queue.add(sampleMs, sample);
	};

	sample();
	const select = (from: number, to: number) => samples.filter(({at}) => at >= from && at <= to);
	return {
		samples,
		getMaximum: (name, from = 0, to = Number.POSITIVE_INFINITY) => Math.max(...select(from, to).map(({use}) => use[name])),
		getMean(name, from, to) {
			const values = select(from, to).map(({use}) => use[name]);
			let sum = 0;
			for (const value of values) {
				sum += value;
			}

			return sum / values.length;
		},
	};
}

type Pools = Readonly<Record<string, number>>;

function startSimulation({seed, pools = {desk: 4, notify: 4}, accounts = [createAccount('press', cap)]}: {readonly seed: number; readonly pools?: Pools; readonly accounts?: readonly AccountPlan[] | undefined}): JobsSimulation {
	const simulation = createJobsSimulation({
		seed, entryCount: 4, pools, endpointCapacity, ...(accounts.length > 0 && {accounts}),
	});
	simulation.runFor(settleMs);
	return simulation;
}

type FaultCase = {
	readonly name: string;
	/** Is called while jobs of the account run in both pools. */
	readonly injectFault: (simulation: JobsSimulation) => void;
	/** Time in ms after the fault in which all jobs have to be done. */
	readonly withinMs: number;
};

// Each guards against an account that exceeds its cap as an owner of a pool does not know what runs elsewhere, or against jobs that are held back for good.
const faultCases: readonly FaultCase[] = [
	{name: 'no fault', withinMs: 10_000, injectFault: () => undefined},
	{
		name: 'the owner of a pool is lost', withinMs: 16_000, injectFault(simulation) {
			simulation.killEntry(getOwner(simulation), 30_000);
		},
	},
	{
		name: 'all entries are lost', withinMs: 18_000, injectFault(simulation) {
			for (const entry of simulation.entries) {
				simulation.killEntry(entry, 1300);
			}
		},
	},
	{
		name: 'the owner is paused beyond its claim', withinMs: 18_000, injectFault(simulation) {
			getOwner(simulation).pausedUntil = simulation.queue.now + 4000;
		},
	},
	{
		name: 'the owner is cut off from the store with an endpoint', withinMs: 25_000, injectFault(simulation) {
			const cut = {nodes: new Set([getOwner(simulation).node, 'endpoint-1']), direction: 'both'} as const;
			simulation.network.startCut(cut);
			simulation.queue.add(9500, () => {
				simulation.network.endCut(cut);
			});
		},
	},
	{
		name: 'writes are not answered and carried out late', withinMs: 25_000, injectFault(simulation) {
			simulation.unansweredWriteShare = 0.5;
			simulation.queue.add(6000, () => {
				simulation.unansweredWriteShare = 0;
			});
		},
	},
	{
		name: 'the store is down', withinMs: 16_000, injectFault(simulation) {
			simulation.isStoreUp = false;
			simulation.queue.add(4000, () => {
				simulation.isStoreUp = true;
				simulation.loseWatchHistory();
			});
		},
	},
	{
		name: 'the record is damaged', withinMs: 14_000, injectFault(simulation) {
			simulation.shareRecords.overwriteShares('press', undefined);
		},
	},
	{
		name: 'the record is that of another writer, with more than the cap', withinMs: 16_000, injectFault(simulation) {
			const half = {cpuMillis: 10_000, memoryMb: 0, gpus: 0};
			simulation.shareRecords.overwriteShares('press', {cap, pools: {desk: {share: half, wanted: half}, notify: {share: half, wanted: half}}});
		},
	},
	{
		name: 'an endpoint does not answer and keeps running its tasks', withinMs: 25_000, injectFault(simulation) {
			const endpoint = [...simulation.endpoints.values()].find(({runs}) => runs.size > 0)!;
			endpoint.isReachable = false;
			simulation.queue.add(9000, () => {
				endpoint.isReachable = true;
			});
		},
	},
	{
		name: 'starts take effect seconds late and the owner is lost', withinMs: 25_000, injectFault(simulation) {
			simulation.lateOrderShare = 0.2;
			simulation.queue.add(300, () => {
				simulation.killEntry(getOwner(simulation), 20_000);
			});
			simulation.queue.add(5000, () => {
				simulation.lateOrderShare = 0;
			});
		},
	},
];

describe('an account whose jobs run in two pools', () => {
	it.each(faultCases)('keeps to its cap and gets its work done: $name', ({injectFault, withinMs}) => {
		for (const seed of [3, 11]) {
			const simulation = startSimulation({seed});
			const record = recordUse(simulation);
			const jobs = [...submitJobs(simulation, 50), ...submitJobs(simulation, 30, {pool: 'notify', durationMs: 2500})];
			simulation.runFor(900);
			injectFault(simulation);
			const later = submitJobs(simulation, 20);
			simulation.runFor(withinMs);
			expect(record.getMaximum('cpuMillis')).toBeLessThanOrEqual(cap.cpuMillis);
			expect(simulation.checker.violations).toEqual([]);
			const accepted = [...jobs, ...later].filter(jobId => simulation.answers.get(`submit-${jobId}`)?.kind === 'accepted');
			expect(accepted.length).toBeGreaterThanOrEqual(80);
			expect(listUnfinished(simulation, accepted)).toEqual([]);
		}
	});
});

describe('changes of demand', () => {
	// Guards against a cap that stays idle in a pool without demand while jobs wait in another.
	it('move the share to the pool that wants it within 1.5 s, and nothing stands still', () => {
		const simulation = startSimulation({seed: 5});
		const record = recordUse(simulation);
		for (let turn = 0; turn < 4; turn++) {
			const from = simulation.queue.now;
			submitJobs(simulation, 90, {pool: turn % 2 === 0 ? 'desk' : 'notify'});
			simulation.runFor(3000);
			expect(record.getMean('cpuMillis', from + 1500, from + 2700)).toBeGreaterThanOrEqual(0.9 * cap.cpuMillis);
		}

		expect(record.getMaximum('cpuMillis')).toBeLessThanOrEqual(cap.cpuMillis);
	});

	it('are met evenly if both pools want more than half', () => {
		const simulation = startSimulation({seed: 5});
		const record = recordUse(simulation);
		submitJobs(simulation, 150);
		simulation.runFor(1000);
		submitJobs(simulation, 100, {pool: 'notify'});
		simulation.runFor(2000);
		const from = simulation.queue.now;
		const countRuns = () => [...simulation.endpoints.values()].filter(({registration}) => registration.pool === 'notify').flatMap(({runs}) => [...runs.keys()]).length;
		expect(countRuns()).toBeGreaterThanOrEqual(6);
		expect(countRuns()).toBeLessThanOrEqual(10);
		simulation.runFor(1000);
		expect(record.getMean('cpuMillis', from, from + 1000)).toBeGreaterThanOrEqual(0.9 * cap.cpuMillis);
	});

	// Guards against store calls that cost more than they are worth.
	it('make few store calls', () => {
		const simulation = startSimulation({seed: 5});
		const {callCounts} = simulation.shareRecords;
		for (let turn = 0; turn < 100; turn++) {
			submitJobs(simulation, 1, {pool: turn % 2 === 0 ? 'desk' : 'notify'});
			simulation.runFor(200);
		}

		expect(callCounts.write).toBeLessThanOrEqual(10);
		const before = callCounts.write;
		submitJobs(simulation, 300);
		submitJobs(simulation, 300, {pool: 'notify'});
		simulation.runFor(5000);
		expect(callCounts.write - before).toBeLessThanOrEqual(50);
		expect(callCounts.read).toBeLessThanOrEqual(5);
	});

	// Guards against a first job that waits for several store calls or ticks.
	it('let the first job of an account start at once', () => {
		for (const seed of [1, 2, 3]) {
			const simulation = startSimulation({seed});
			const record = recordUse(simulation);
			const from = simulation.queue.now;
			submitJobs(simulation, 1);
			simulation.runFor(500);
			expect(record.samples.find(({use}) => use.cpuMillis > 0)!.at - from).toBeLessThanOrEqual(100);
		}
	});
});

type CapCase = {
	readonly name: string;
	readonly from: Resources;
	readonly accounts: readonly AccountPlan[] | undefined;
	/** Time in ms after the change from which the bound holds. */
	readonly after: number;
	readonly bound: number;
	/** Least mean use from then on. */
	readonly least: number;
};

const cpu = (cpuMillis: number): Resources => ({cpuMillis, memoryMb: 0, gpus: 0});
const capCases: readonly CapCase[] = [
	{
		name: 'lowered', from: cap, accounts: [createAccount('press', cpu(6000))], after: taskMs + 100, bound: 6000, least: 5000,
	},
	{
		name: 'raised', from: cap, accounts: [createAccount('press', cpu(24_000))], after: 500, bound: 24_000, least: 20_000,
	},
	{
		name: 'introduced', from: noResources, accounts: [createAccount('press', cpu(10_000))], after: taskMs + 100, bound: 10_000, least: 8000,
	},
	{
		name: 'removed', from: cap, accounts: [createAccount('press', noResources)], after: 500, bound: 64_000, least: 30_000,
	},
	{
		name: 'that of an account that has left the configuration', from: cap, accounts: [], after: 0, bound: cap.cpuMillis, least: 12_000,
	},
	{
		name: 'that of an account in a configuration without accounts', from: cap, accounts: undefined, after: 0, bound: cap.cpuMillis, least: 12_000,
	},
];

// Guards against new starts beyond a lowered cap, a raised one that is not used, and stops because of a cap.
describe('a cap under load', () => {
	it.each(capCases)('$name', ({from, accounts, after, bound, least}) => {
		const simulation = startSimulation({seed: 9, accounts: [createAccount('press', from)]});
		const record = recordUse(simulation);
		const jobs = [...submitJobs(simulation, 150), ...submitJobs(simulation, 150, {pool: 'notify'})];
		simulation.runFor(1000);
		simulation.changeAccounts(accounts);
		const at = simulation.queue.now;
		const startCount = simulation.checker.getStartCount();
		simulation.runFor(after + 1500);
		expect(record.getMaximum('cpuMillis', at + after)).toBeLessThanOrEqual(bound);
		expect(record.getMean('cpuMillis', at + after + 200, at + after + 1500)).toBeGreaterThanOrEqual(least);
		expect(simulation.checker.getStartCount()).toBeGreaterThan(startCount);
		simulation.runFor(40_000);
		expect(listUnfinished(simulation, jobs)).toEqual([]);
		// A stopped run would have been started again.
		expect(simulation.checker.getStartCount()).toBe(jobs.length);
	});
});

describe('jobs beside an account at its cap', () => {
	// Guards against jobs that are displaced or blocked by jobs that may not start.
	it('start at once', () => {
		const simulation = startSimulation({seed: 4, accounts: [createAccount('press', cap), createAccount('studio', cpu(8000))]});
		submitJobs(simulation, 400, {durationMs: 900});
		simulation.runFor(600);
		const jobs = [...submitJobs(simulation, 4, {account: 'studio'}), ...submitJobs(simulation, 4, {hasAccount: false})];
		simulation.runFor(taskMs + 400);
		expect(listUnfinished(simulation, jobs)).toEqual([]);
	});

	// Guards against a share that is kept for good for tasks that no endpoint may take, and that does not grow for them.
	it('start beside a job of the account with more tasks than the endpoints may take', () => {
		const simulation = startSimulation({seed: 4, pools: {desk: 1, notify: 4}});
		submitJobs(simulation, 14, {pool: 'notify', traits: {estimateMs: 60_000}, durationMs: 60_000});
		simulation.runFor(1000);
		const small = {room: {cpuMillis: 100, memoryMb: 100, gpus: 0}, isLongRunning: true, endpointLimit: 1};
		const jobs = Array.from({length: 4}, () => {
			const [job] = submitJobs(simulation, 1, {traits: {...small, count: 40}, durationMs: Number.POSITIVE_INFINITY});
			simulation.runFor(1000);
			return job!;
		});
		const running = new Set([...simulation.endpoints.values()].flatMap(({runs}) => [...runs.keys()].map(taskId => taskId.split('.', 1)[0]!)));
		expect(jobs.filter(job => !running.has(job))).toEqual([]);
	});

	// Guards against a gang that is started in part, and one that never starts as single tasks take what comes free.
	it('let a gang of the account start whole', () => {
		const simulation = startSimulation({seed: 4});
		submitJobs(simulation, 400, {durationMs: 400});
		simulation.runFor(500);
		const [gang] = submitJobs(simulation, 1, {traits: {count: 12, isGang: true, estimateMs: 100}, durationMs: 2000});
		const counts = new Set<number>();
		for (let turn = 0; turn < 500; turn++) {
			simulation.runFor(10);
			counts.add([...simulation.endpoints.values()].flatMap(({runs}) => [...runs.keys()]).filter(taskId => taskId.startsWith(gang!)).length);
		}

		expect(counts.has(12)).toBe(true);
		expect(simulation.store.getProgress(gang!)?.endedAt).toBeDefined();
	});

	// Guards against gangs in two pools that each wait with a part of the cap that is too small for them.
	it('let gangs that take more than half of the cap start in turn', () => {
		const simulation = startSimulation({seed: 8});
		const record = recordUse(simulation);
		const gang = {traits: {count: 11, isGang: true}, durationMs: 1000};
		const jobs = [...submitJobs(simulation, 4, gang), ...submitJobs(simulation, 4, {...gang, pool: 'notify'}), ...submitJobs(simulation, 20)];
		simulation.runFor(16_000);
		expect(listUnfinished(simulation, jobs)).toEqual([]);
		expect(record.getMaximum('cpuMillis')).toBeLessThanOrEqual(cap.cpuMillis);
	});

	// Guards against limits of one write or one watch that many accounts run into.
	it('of many other accounts keep to their caps and are done', () => {
		const names = Array.from({length: 60}, (_unused, index) => `account ${index}/\u00FC`);
		const simulation = startSimulation({seed: 6, accounts: names.map(name => createAccount(name, cpu(2000)))});
		const records = names.map(name => recordUse(simulation, name));
		const jobs = names.flatMap(account => [...submitJobs(simulation, 3, {account}), ...submitJobs(simulation, 3, {account, pool: 'notify'})]);
		simulation.runFor(12_000);
		expect(listUnfinished(simulation, jobs)).toEqual([]);
		for (const record of records) {
			expect(record.getMaximum('cpuMillis')).toBeLessThanOrEqual(2000);
		}
	});
});

describe('a configuration without accounts', () => {
	// Guards against store calls that a deployment without accounts would pay for.
	it('makes no call for shares', () => {
		const simulation = startSimulation({seed: 2, accounts: []});
		const jobs = submitJobs(simulation, 20, {hasAccount: false});
		simulation.runFor(4000);
		expect(listUnfinished(simulation, jobs)).toEqual([]);
		expect(simulation.shareRecords.callCounts).toEqual({list: 0, read: 0, write: 0});
	});
});
