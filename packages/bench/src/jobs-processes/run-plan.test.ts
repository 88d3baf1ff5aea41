import {describe, expect, test} from 'vitest';
import {balancePlan} from './balanced-pools.js';
import {readEntryCommand} from './entry-processes.js';
import {faultKinds, type FaultPlan} from './fault-plan.js';
import {findPlannedTask, listTaskIds} from './planned-tasks.js';
import {addRecuts} from './recuts.js';
import {createRunPlan, type RunPlan} from './run-plan.js';

const seeds = Array.from({length: 50}, (_, index) => index + 1);
const durationMs = 40_000;
const plans = seeds.map(seed => createRunPlan(seed, durationMs));
const faults = plans.flatMap(plan => plan.faults);
const jobs = plans.flatMap(plan => plan.jobs);

describe('plan of a run', () => {
	const startsBefore = (fault: FaultPlan | undefined, atMs: number): boolean => fault !== undefined && fault.atMs < atMs;
	test.each([
		{title: 'the same seed gives the same plan', holds: () => JSON.stringify(createRunPlan(7, durationMs)) === JSON.stringify(plans[6])},
		{title: 'other seeds give other plans', holds: () => new Set(plans.map(plan => JSON.stringify(plan.jobs))).size === seeds.length},
		{title: 'all faults end within the duration', holds: () => faults.every(fault => fault.atMs + fault.durationMs <= durationMs)},
		{
			title: 'some faults overlap',
			holds: () => plans.some(plan => plan.faults.some((fault, index) => startsBefore(plan.faults[index + 1], fault.atMs + fault.durationMs))),
		},
		{title: 'clocks are up to 2% slow', holds: () => plans.flatMap(plan => plan.endpoints).every(({clockRate}) => clockRate > 0.98 && clockRate <= 1)},
		{
			title: 'steps wait for earlier ones',
			holds: () => jobs.some(({job}) => job.steps.length > 2) && jobs.every(({job}) => job.steps.every((step, index) => step.after.every(number => number < index))),
		},
		{title: 'some endpoints do not guard their capacity', holds: () => new Set(plans.map(plan => plan.isGuarding)).size === 2},
		{
			title: 'some jobs are cancelled and submitted again',
			holds: () => [jobs.map(job => job.cancelAfterMs), jobs.map(job => job.repeatAfterMs)].every(times => times.some(time => time !== undefined)),
		},
		{title: 'some jobs are long-running', holds: () => jobs.some(({job}) => job.steps[0]!.isLongRunning)},
	])('$title', ({holds}) => {
		expect(holds()).toBe(true);
	});

	test.each(faultKinds.map(kind => ({kind})))('draws $kind in 50 seeds', ({kind}) => {
		expect(faults.some(fault => fault.kind === kind)).toBe(true);
	});

	test.each(['kept', 'taken', 'taken-and-lease-ended'].map(keys => ({keys})))('draws cuts of an owner and endpoints with keys $keys', ({keys}) => {
		expect(faults.some(fault => fault.kind === 'group-cut' && fault.target.kind === 'owner' && fault.keys === keys)).toBe(true);
	});
});

describe('plan with moves of machines', () => {
	const balanced = plans.map(plan => balancePlan(plan, 'limited'));
	const serving = balanced.flatMap(plan => plan.jobs).flatMap(({job}) => job.steps).filter(step => step.isLongRunning);
	test.each([
		{title: 'the same seed gives the same plan', holds: () => JSON.stringify(balancePlan(plans[6]!, 'limited')) === JSON.stringify(balanced[6])},
		{title: 'an endpoint may run one task of a long-running step', holds: () => serving.length > 0 && serving.every(step => step.endpointLimit === 1 && step.taskCount >= 4)},
		{title: 'some plans have no spare pool', holds: () => new Set(balanced.map(plan => plan.moves?.sparePool)).size === 2},
		{title: 'some have two pools', holds: () => new Set(balanced.map(plan => plan.queues.length)).size === 2},
		{title: 'job ids differ', holds: () => balanced.every(({jobs: all}) => new Set(all.map(({job}) => job.jobId)).size === all.length)},
		{title: 'runs of some long-running tasks fail', holds: () => balanced.some(({jobs: all}) => all.some(({job}) => job.payload.includes('life=')))},
	])('$title', ({holds}) => {
		expect(holds()).toBe(true);
	});
});

describe('plan with endpoints that are cut off after a restart', () => {
	const recutMs = 50_000;
	const recutPlans = seeds.map(seed => addRecuts(createRunPlan(seed, recutMs)));
	const listRounds = (plan: RunPlan) => plan.faults.filter(fault => fault.kind === 'endpoints-recut');
	const rounds = recutPlans.flatMap(plan => listRounds(plan));
	const tasks = recutPlans.flatMap(plan => plan.jobs).flatMap(({job}) => Array.from({length: job.steps[0]!.taskCount}, () => Number(/ms=(?<ms>\d+)/u.exec(job.payload)?.groups?.ms)));
	const longShare = tasks.filter(ms => ms >= 5000 && ms <= 13_000).length / tasks.length;
	test.each([
		{title: 'the same seed gives the same plan', holds: () => JSON.stringify(addRecuts(createRunPlan(7, recutMs))) === JSON.stringify(recutPlans[6])},
		{title: 'other faults stay the same', holds: () => recutPlans.every((plan, index) => JSON.stringify(plan.faults.slice(0, -listRounds(plan).length)) === JSON.stringify(createRunPlan(index + 1, recutMs).faults))},
		{title: 'a run has three rounds', holds: () => recutPlans.every(plan => listRounds(plan).length === 3)},
		{title: 'a shorter run has those that end in time', holds: () => listRounds(addRecuts(createRunPlan(1, 32_000))).length === 2},
		{title: 'orders are kept, late, or both, with one pool and with two', holds: () => new Set(recutPlans.flatMap(plan => listRounds(plan).map(({lateShare, lateness, darkOrders}) => `${plan.queues.length} ${lateShare} ${lateness} ${darkOrders}`))).size === 8},
		{title: 'cuts come soon after the return and later', holds: () => rounds.some(({cutAfterMs}) => cutAfterMs < 250) && rounds.some(({cutAfterMs}) => cutAfterMs > 1900)},
		{title: 'rounds do not overlap', holds: () => rounds.every(({durationMs: roundMs}) => roundMs < 14_000)},
		{title: 'a quarter to a third of the tasks are long', holds: () => longShare > 0.25 && longShare < 0.35},
		{title: 'owners are killed before and after the return', holds: () => rounds.some(({killAfterMs = 0}) => killAfterMs < 0) && rounds.some(({killAfterMs = 0}) => killAfterMs > 0)},
	])('$title', ({holds}) => {
		expect(holds()).toBe(true);
	});
});

describe('planned tasks', () => {
	const {job} = jobs[0]!;
	const known = new Map([[job.jobId, job]]);

	test.each([
		{taskId: listTaskIds(job, 0).at(-1)!, isKnown: true},
		{taskId: `${job.jobId}.0.0.${job.steps[0]!.taskCount}`, isKnown: false},
		{taskId: `${job.jobId}.0.9.0`, isKnown: false},
		{taskId: `${job.jobId}.1.0.0`, isKnown: false},
		{taskId: 'f.0.0.0', isKnown: false},
		{taskId: '', isKnown: false},
	])('$taskId', ({taskId, isKnown}) => {
		expect(findPlannedTask(known, taskId) !== undefined).toBe(isKnown);
	});
});

describe('command of the entries', () => {
	test.each([
		{text: '[roles.entry]\nrun = "node --a target/x.js jobs"\n', command: ['node', '--a', 'target/x.js', 'jobs']},
		{text: '[roles.entry]\non = "front"\n', command: undefined},
	])('of $text', ({text, command}) => {
		if (command === undefined) {
			expect(() => readEntryCommand(text)).toThrow('has no line');
		} else {
			expect(readEntryCommand(text)).toEqual(command);
		}
	});
});
