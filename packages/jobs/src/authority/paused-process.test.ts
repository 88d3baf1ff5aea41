import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {applyJobEvent} from '../apply-job-event.js';
import {createJobsState} from '../jobs-state.js';
import {type JobEvent} from '../model/index.js';
import {
	createTestEndpoint, createTestJob, createTestMachine, createTestReport,
} from '../testing.test-support.js';

const random = createRandomSource(1);
const pool = 'desk';
/** When the lease ends that the entry holds before the pause, on both clocks. */
const leaseEnd = 1500;

type Clocks = {readonly now: number; readonly wallTime: number};
type Action = 'start' | 'renewal' | 'machine order';

/** Lists what an entry that owns a pool and the fleet does after a pause, when a new job is waiting and a pool lacks machines. */
function listActions({resumed, confirmedUntil}: {readonly resumed: Clocks; readonly confirmedUntil?: Clocks}): Action[] {
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	const actions = new Set<Action>();
	let isPaused = false;
	const apply = (event: JobEvent, clocks: Clocks) => {
		for (const effect of applyJobEvent(state, event, {...clocks, random})) {
			if (effect.kind === 'save-progress') {
				apply({
					kind: 'progress-saved', pool, token: 7, saveId: effect.saveId, result: 'applied', revision: 10, presentRevisions: undefined, isClaimLost: false,
				}, clocks);
			}

			const action: Action | undefined = effect.kind === 'start-task' ? 'start' : (effect.kind === 'order-machine' ? 'machine order' : undefined);
			if (isPaused && action !== undefined) {
				actions.add(action);
			}

			if (isPaused && effect.kind === 'poll-endpoint' && effect.deadlineMs !== undefined) {
				actions.add('renewal');
			}
		}
	};

	const applyAll = (events: readonly JobEvent[], clocks: Clocks) => {
		for (const event of events) {
			apply(event, clocks);
		}
	};

	const {record} = createTestJob('job', [{count: 1}]);
	const stored = {
		job: record, progress: {
			queue: record.queue, status: 'queued' as const, steps: {}, lastRun: 0,
		}, revision: 5, isCancelled: false,
	};
	const pollAnswered: JobEvent = {
		kind: 'poll-answered', endpointId: 'e1', token: 7, clockMs: 1000, startedAt: 1, running: [], ended: [],
	};
	const before = {now: 0, wallTime: 0};
	applyAll([
		{
			kind: 'configuration-changed', configuration: {
				version: 1, queues: [], pools: [{name: pool, isSpare: false}, {name: 'off', isSpare: true}], limits: {
					headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
				},
			},
		},
		{kind: 'session-opened'},
		{kind: 'session-renewed', validUntil: leaseEnd, wallValidUntil: leaseEnd},
		{kind: 'endpoints-listed', endpoints: [createTestEndpoint('e1', pool, {startedAt: 1})]},
		{
			kind: 'last-holder-changed', name: 'fleet', node: 'entry-1', revision: 4,
		},
		{
			kind: 'claim-answered', name: 'fleet', result: 'applied', token: 9,
		},
		{
			kind: 'claim-answered', name: `pool/${pool}`, result: 'applied', token: 7,
		},
		{
			kind: 'pool-read', pool, token: 7, jobs: [], ended: new Map(), roster: {endpointIds: ['e1']}, rosterRevision: 4,
		},
		{kind: 'tick'},
		pollAnswered,
		{kind: 'tick'},
		{kind: 'machines-listed', machines: [createTestMachine('m1', pool, {endpointId: 'e1'}), createTestMachine('m2', 'off', {endpointId: undefined})]},
	], before);
	isPaused = true;
	applyAll([
		{kind: 'process-resumed', pausedMs: 1000},
		...(confirmedUntil === undefined ? [] : [{kind: 'session-renewed', validUntil: confirmedUntil.now, wallValidUntil: confirmedUntil.wallTime} as const]),
		{...pollAnswered, clockMs: 1100},
		{
			kind: 'report-changed', report: createTestReport(pool, {
				hasWork: true, usedMillis: 16_000, backlogMillis: 20_000, neededMillis: 36_000, usableEndpoints: ['e1'],
			}),
		},
		{kind: 'job-recorded', stored},
	], resumed);
	apply({kind: 'tick'}, {now: resumed.now + 60, wallTime: resumed.wallTime + 60});
	return [...actions].sort();
}

const everything: readonly Action[] = ['machine order', 'renewal', 'start'];

// Guards against a process that was paused between two events and goes on under a lease that has ended meanwhile, while another entry has its claims.
const cases: ReadonlyArray<{readonly name: string; readonly expected: readonly Action[]} & Parameters<typeof listActions>[0]> = [
	{name: 'the lease still holds after a short pause', resumed: {now: 900, wallTime: 900}, expected: everything},
	{name: 'the lease has ended', resumed: {now: 4000, wallTime: 4000}, expected: []},
	{name: 'the lease has ended by the wall clock only, as the machine was suspended', resumed: {now: 50, wallTime: 4000}, expected: []},
	{
		name: 'an answer that was waiting during the pause does not extend the lease into the present', resumed: {now: 4000, wallTime: 4000}, confirmedUntil: {now: 1800, wallTime: 1800}, expected: [],
	},
	{
		name: 'the store has confirmed the lease since', resumed: {now: 4000, wallTime: 4000}, confirmedUntil: {now: 5500, wallTime: 5500}, expected: everything,
	},
];

describe('an entry after a pause', () => {
	it.each(cases)('$name: $expected', ({expected, ...input}) => {
		expect(listActions(input)).toEqual(expected);
	});
});
