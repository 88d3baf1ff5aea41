import {expect, it} from 'vitest';
import {
	type JobEffect, type JobEffectOf, type JobEvent, type JobEventOf, type Machine, type StepSpec,
} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestMachine, createTestOwner, createTestPollAnswer, type TestOwner,
} from '../testing.test-support.js';

type OrderResult = JobEventOf<'machine-order-answered'>['result'];

type Case = {
	readonly name: string;
	/** Answer of the machine service to each move; undefined for none. */
	readonly result: OrderResult | undefined;
	/** Whether there is a pool of machines that are switched off. */
	readonly hasSparePool: boolean;
	readonly step?: Partial<StepSpec>;
	/** Whether the entry gives up the fleet when the work arrives, and takes it over anew from what is in the store. */
	readonly isHolderLost?: boolean;
};

const endpointIds = Array.from({length: 9}, (_, index) => `e${index + 1}`);
/** The pool has been idle beside a job for this long when the work arrives. */
const arrivesAt = 9000;
/** A task with room waits for 3 s at most; a calm search takes milliseconds. */
const startBoundMs = 3000;
const tickMs = 25;
const pollMs = 500;

const spreadStep: Partial<StepSpec> = {
	count: 8, isLongRunning: true, endpointLimit: 1, room: {cpuMillis: 1500, memoryMb: 100, gpus: 0},
};

/** Lets an entry hold the fleet and own a pool of nine endpoints, of which it releases some before a job comes that needs eight. @returns Ticks from the job's arrival until each of its tasks was started. */
function measureStartDelays({result, hasSparePool, step = spreadStep, isHolderLost = false}: Case): number[] {
	const owner = createTestOwner({roster: {endpointIds}, endpoints: endpointIds, jobs: []});
	const machines: Machine[] = endpointIds.map(id => createTestMachine(`machine-of-${id}`, 'desk', {endpointId: id}));
	const startedAt = new Map<string, number>();
	const records = new Map<string, JobEvent>();
	const store = (key: string, event: JobEvent) => {
		records.set(key, event);
		return [event];
	};

	const answers: Partial<{[Kind in JobEffect['kind']]: (effect: JobEffectOf<Kind>, now: number) => JobEvent[]}> = {
		'request-evacuation': ({request}) => store(`request ${request.endpointId}`, {kind: 'evacuation-requested', request}),
		'withdraw-evacuation'({pool, endpointId}) {
			records.delete(`request ${endpointId}`);
			records.delete(`confirmation ${endpointId}`);
			return [{kind: 'evacuation-withdrawn', pool, endpointId}];
		},
		'confirm-evacuation': ({evacuated}) => store(`confirmation ${evacuated.endpointId}`, {kind: 'endpoint-evacuated', evacuated}),
		'follow-fleet': ({isFollowing}) => isFollowing ? [...records.values()] : [],
		'publish-report': ({report}) => [{kind: 'report-changed', report}],
		'list-machines': ({requestedAt}) => [{kind: 'machines-listed', requestedAt, machines}],
		'order-machine': ({machine, order}) => result === undefined
			? []
			: [{
				kind: 'machine-order-answered', machine, order, result,
			}],
		'start-task'({taskId, run, target}, now) {
			startedAt.set(taskId, startedAt.get(taskId) ?? now);
			return [{
				kind: 'start-answered', endpointId: target.endpointId, token: target.token, taskId, run, clockMs: 1000 + now,
			}];
		},
	};

	function apply(event: JobEvent, now: number): void {
		for (const effect of owner.apply(event, now)) {
			for (const answer of (answers[effect.kind] as ((value: JobEffect, now: number) => JobEvent[]) | undefined)?.(effect, now) ?? []) {
				apply(answer, now);
			}
		}
	}

	prepareFleet(owner, hasSparePool, apply);
	apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob('busy', [{estimateMs: 60_000, room: {cpuMillis: 1000, memoryMb: 100, gpus: 0}}]))}, 0);
	for (let now = tickMs; now < arrivesAt + startBoundMs + 1000; now += tickMs) {
		if (now === arrivesAt) {
			apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob('wide', [step], {acceptedAt: now}))}, now);
			if (isHolderLost) {
				apply({kind: 'fleet-lost'}, now);
				apply({
					kind: 'fleet-acquired', token: 8, previousToken: 7, isSameEntry: false,
				}, now);
			}
		}

		if (now % pollMs === tickMs) {
			for (const id of endpointIds) {
				const running = [...owner.state.supervision.endpoints.get(id)!.runs.values()].map(({taskId, run}) => ({
					taskId, run, checkpoint: '', percent: Math.min(99, Math.round(now / 200)), load: 0,
				}));
				apply({...createTestPollAnswer(id, 1000 + now), running}, now);
			}
		}

		Object.assign(owner.state.authority, {validUntil: now + 5000, wallValidUntil: now + 5000});
		apply({kind: 'tick'}, now);
	}

	return Array.from({length: step.count ?? 1}, (_, index) => (startedAt.get(`wide.0.0.${index}`) ?? Number.POSITIVE_INFINITY) - arrivesAt);
}

function prepareFleet({state}: TestOwner, hasSparePool: boolean, apply: (event: JobEvent, now: number) => void): void {
	apply({
		kind: 'configuration-changed', configuration: {
			version: 1, queues: [], pools: [{name: 'desk', isSpare: false}, ...(hasSparePool ? [{name: 'off', isSpare: true}] : [])], limits: {
				headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
			},
		},
	}, 0);
	apply({
		kind: 'fleet-acquired', token: 7, previousToken: undefined, isSameEntry: true,
	}, 0);
	// The pool has had its first burst, so it keeps no reserve.
	state.fleet.demandHistory.set('desk', {
		pool: 'desk', assignedMachines: 9, since: 0, hasPeaked: true,
	});
}

const cases: readonly Case[] = [
	{name: 'the service takes no more calls', result: 'limited', hasSparePool: true},
	{name: 'the service says that the machines are busy', result: 'busy', hasSparePool: true},
	{name: 'the service refuses the moves for good', result: 'invalid', hasSparePool: true},
	{name: 'the service does not answer', result: undefined, hasSparePool: true},
	{name: 'the answers are lost', result: 'unknown', hasSparePool: true},
	{name: 'there is no spare pool', result: 'accepted', hasSparePool: false},
	{
		name: 'there is no spare pool, and another entry takes over the fleet', result: 'accepted', hasSparePool: false, isHolderLost: true,
	},
	{
		name: 'the service takes no more calls, and tasks need the memory of a whole endpoint', result: 'limited', hasSparePool: true, step: {count: 8, room: {cpuMillis: 100, memoryMb: 32_000, gpus: 0}, endpointLimit: 1},
	},
];

// Guards against waiting tasks beside empty endpoints of their pool that were evacuated for a move that does not come (issue 35).
it.each(cases)('endpoints that were evacuated for a move take the work that waits in their pool if $name', input => {
	expect(Math.max(...measureStartDelays(input))).toBeLessThanOrEqual(startBoundMs);
});
