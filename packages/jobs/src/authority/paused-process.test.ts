import {describe, expect, it} from 'vitest';
import {type JobEffect, type JobEvent, type ReportedEnd} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestMachine, createTestOwner, createTestPollAnswer, createTestReport,
} from '../testing.test-support.js';

const pool = 'desk';
/** When the lease ends that the entry holds before the pause, on both clocks. */
const leaseEnd = 1500;

type Clocks = {readonly now: number; readonly wallTime: number};
type Action = 'start' | 'renewal' | 'machine order';

function getAction(effect: JobEffect): Action | undefined {
	if (effect.kind === 'poll-endpoint') {
		return effect.deadlineMs === undefined ? undefined : 'renewal';
	}

	const actions: Partial<Record<JobEffect['kind'], Action>> = {'start-task': 'start', 'order-machine': 'machine order'};
	return actions[effect.kind];
}

type Input = {
	readonly resumed: Clocks;
	/** Until when the lease lasts by an answer that arrives after the pause. */
	readonly renewedUntil?: Clocks;
	/** When the call was sent that confirms the claim on the pool by an answer that arrives after the pause. */
	readonly confirmedAt?: Clocks;
};

/** Lists what an entry that owns a pool and the fleet does after a pause, when the pool's only task was stopped and the pool lacks machines. */
function listActions({resumed, renewedUntil, confirmedAt}: Input): Action[] {
	const owner = createTestOwner({roster: {endpointIds: ['e1']}, endpoints: ['e1'], jobs: [createStoredTestJob(createTestJob('job', [{count: 1}]))]});
	owner.confirmsClaim = false;
	const actions = new Set<Action>();
	const ended: ReportedEnd[] = [];
	let isPaused = false;
	const apply = (event: JobEvent, {now, wallTime}: Clocks) => {
		for (const effect of owner.apply(event, now, wallTime)) {
			const action = getAction(effect);
			if (effect.kind === 'start-task' && !isPaused) {
				ended.push({
					number: 1, taskId: effect.taskId, run: effect.run, outcome: 'stopped', checkpoint: '',
				});
			}

			if (isPaused && action !== undefined) {
				actions.add(action);
			}
		}
	};

	const applyAll = (events: readonly JobEvent[], clocks: Clocks) => {
		for (const event of events) {
			apply(event, clocks);
		}
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
		{
			kind: 'last-holder-changed', name: 'fleet', node: 'entry-1', revision: 4,
		},
		{
			kind: 'claim-answered', name: 'fleet', result: 'applied', token: 9,
		},
		{kind: 'tick'},
		createTestPollAnswer('e1', 1000),
		{kind: 'tick'},
		{kind: 'machines-listed', requestedAt: before.now, machines: [createTestMachine('m1', pool, {endpointId: 'e1'}), createTestMachine('m2', 'off', {endpointId: undefined})]},
	], before);
	isPaused = true;
	applyAll([
		{kind: 'process-resumed', pausedMs: 1000},
		...(renewedUntil === undefined ? [] : [{kind: 'session-renewed', validUntil: renewedUntil.now, wallValidUntil: renewedUntil.wallTime} as const]),
		...(confirmedAt === undefined
			? []
			: [{
				kind: 'claim-confirmed', name: `pool/${pool}`, token: 7, requestedAt: confirmedAt,
			} as const]),
		{...createTestPollAnswer('e1', 1100), ended},
		{
			kind: 'report-changed', report: createTestReport(pool, {
				hasWork: true, usedMillis: 16_000, backlogMillis: 20_000, neededMillis: 36_000, usableEndpoints: ['e1'],
			}),
		},
	], resumed);
	apply({kind: 'tick'}, {now: resumed.now + 60, wallTime: resumed.wallTime + 60});
	return [...actions].sort();
}

const everything: readonly Action[] = ['machine order', 'renewal', 'start'];

// Guards against a process that was paused between two events and goes on under a lease that has ended meanwhile, while another entry has its claims.
const cases: ReadonlyArray<{readonly name: string; readonly expected: readonly Action[]} & Input> = [
	{name: 'the lease still holds after a short pause', resumed: {now: 900, wallTime: 900}, expected: everything},
	{name: 'the lease has ended', resumed: {now: 4000, wallTime: 4000}, expected: []},
	{name: 'the lease has ended by the wall clock only, as the machine was suspended', resumed: {now: 50, wallTime: 4000}, expected: []},
	{
		name: 'answers that were waiting during the pause do not extend the lease into the present',
		resumed: {now: 4000, wallTime: 4000}, renewedUntil: {now: 1800, wallTime: 1800}, confirmedAt: {now: 300, wallTime: 300}, expected: [],
	},
	{
		// The store may have removed the claims while the lease goes on.
		name: 'only the lease has been renewed since', resumed: {now: 4000, wallTime: 4000}, renewedUntil: {now: 5500, wallTime: 5500}, expected: ['machine order'],
	},
	{
		name: 'the store has confirmed lease and claim since', resumed: {now: 4000, wallTime: 4000}, renewedUntil: {now: 5500, wallTime: 5500}, confirmedAt: {now: 4010, wallTime: 4010}, expected: everything,
	},
];

describe('an entry after a pause', () => {
	it.each(cases)('$name: $expected', ({expected, ...input}) => {
		expect(listActions(input)).toEqual(expected);
	});
});
