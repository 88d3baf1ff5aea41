import {createRandomSource} from '@pistachiogauge/chain';
import {
	applyJobEvent, createJobsState, type AccountDemand, type JobEvent, type Resources, type ShareRecord,
} from '@pistachiogauge/jobs';
import {type CpuMeasure} from './cpu-measures.js';

const pool = 'pool-0';
const tickMs = 25;
const cap: Resources = {cpuMillis: 135_852, memoryMb: 500_000, gpus: 0};

/** Creates the shares of an account of which each pool holds and wants an equal part. */
export function createSampleShares(poolCount: number): ShareRecord {
	const share = {cpuMillis: Math.floor(cap.cpuMillis / poolCount), memoryMb: Math.floor(cap.memoryMb / poolCount), gpus: 0};
	return {cap, pools: Object.fromEntries(Array.from({length: poolCount}, (_unused, index) => [`pool-${index}`, {share, wanted: share}]))};
}

/** Creates the owner of one pool that knows the shares of accounts, and a function that applies events to it. */
function createShareOwner(accountCount: number, poolCount: number) {
	const accounts = Array.from({length: accountCount}, (_unused, index) => `account-${index}`);
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	const random = createRandomSource(1);
	let now = 0;
	const apply = (event: JobEvent) => applyJobEvent(state, event, {now, wallTime: now, random});
	const pools = Array.from({length: poolCount}, (_unused, index) => ({name: `pool-${index}`, isSpare: false}));
	apply({
		kind: 'configuration-changed', configuration: {
			version: 1, queues: [], pools, accounts: accounts.map(name => ({
				name, keyHashes: [], priority: 0, weight: 1, cap,
			})), limits: {
				headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
			},
		},
	});
	apply({
		kind: 'claim-answered', name: `pool/${pool}`, result: 'applied', token: 7,
	});
	apply({
		kind: 'pool-read', pool, token: 7, jobs: [], ended: new Map(), roster: {endpointIds: []}, rosterRevision: 0, evacuatedEndpointIds: [], durationModels: {},
	});
	apply({kind: 'shares-listed', owned: [{pool, token: 7}], shares: accounts.map((account, index) => ({account, revision: index + 1, record: createSampleShares(poolCount)}))});
	return {
		accounts,
		apply,
		advance() {
			now += tickMs;
		},
	};
}

/** Operations on the shares of accounts whose processor time is measured at several sizes. */
export const shareMeasures: readonly CpuMeasure[] = [
	{
		name: 'cpu-shares-calm', unit: 'accounts, 75 pools, one tick', sizes: [50, 125, 250], rounds: 200, prepare(size) {
			const {apply, advance} = createShareOwner(size, 75);
			return () => {
				advance();
				apply({kind: 'tick'});
			};
		},
	},
	{
		name: 'cpu-shares-contended', unit: 'accounts that wait, 75 pools, one review', sizes: [50, 125, 250], rounds: 100, prepare(size) {
			const {accounts, apply, advance} = createShareOwner(size, 75);
			const demands = new Map<string, AccountDemand>(accounts.map(account => [account, {resources: cap, jobCount: 1}]));
			return () => {
				advance();
				apply({kind: 'account-demand-measured', pool, demands});
			};
		},
	},
	{
		name: 'cpu-shares-change', unit: 'pools, 250 accounts, one changed record', sizes: [5, 25, 75], rounds: 200, prepare(size) {
			const {accounts, apply, advance} = createShareOwner(250, size);
			const text = JSON.stringify(createSampleShares(size));
			let revision = 1000;
			return () => {
				advance();
				revision += 1;
				apply({kind: 'shares-changed', shares: {account: accounts[revision % accounts.length]!, revision, record: JSON.parse(text) as ShareRecord}});
			};
		},
	},
];
