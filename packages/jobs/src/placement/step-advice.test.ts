import {describe, expect, it} from 'vitest';
import {
	type JobEffect, type JobEffectOf, type JobEvent, type ReportedEnd, type ReportedRun, type StepSpec,
} from '../model/index.js';
import {
	createStoredTestJob, createTestEndpoint, createTestJob, createTestOwner, createTestPollAnswer,
} from '../testing.test-support.js';

const policy = {decideMs: 20, eachMs: 1, validMs: 500};
const taskMs = 1000;
const submittedAt = 500;

type Case = {
	readonly name: string;
	readonly endpointCount: number;
	/** Numbers of the endpoints that the policy allows. */
	readonly allowed: readonly number[];
	readonly jobCount?: number;
	readonly steps: ReadonlyArray<Partial<StepSpec>>;
	/** Time until which the service refuses all calls. */
	readonly refusesUntil?: number;
	/** Number of an endpoint that starts again at that time and is allowed from then on. */
	readonly reborn?: {readonly number: number; readonly at: number};
	readonly observedUntil: number;
};

type EffectHandlers = {readonly [Kind in JobEffect['kind']]?: (effect: JobEffectOf<Kind>, now: number) => void};

type Play = {
	/** Starts by task id, with the endpoint's number and whether the ticket was valid. */
	readonly starts: Map<string, {readonly number: number; readonly isTicketValid: boolean; readonly at: number}>;
	readonly doneJobs: Set<string>;
	readonly mostPendingCalls: number;
	/** How often each endpoint that is not allowed was asked about for one step, at most. */
	readonly mostBarredQuestions: number;
	readonly remainingAdvice: number;
};

const createId = (number: number) => `e${String(number).padStart(3, '0')}`;

/** Plays an owner with endpoints that run its tasks and an advice service that handles one call at a time. */
function play({
	endpointCount, allowed, jobCount = 1, steps, refusesUntil = 0, reborn, observedUntil,
}: Case): Play {
	const ids = Array.from({length: endpointCount}, (_, index) => createId(index + 1));
	const owner = createTestOwner({roster: {endpointIds: ids}, endpoints: ids, jobs: []});
	const running = new Map<string, Map<string, {readonly run: number; readonly at: number}>>(ids.map(id => [id, new Map()]));
	const ended = new Map<string, ReportedEnd[]>(ids.map(id => [id, []]));
	const endCounts = new Map<string, number>();
	const allowedIds = new Set(allowed.map(number => createId(number)));
	const tickets = new Map<string, number>();
	const questions = new Map<string, number>();
	const starts: Play['starts'] = new Map();
	const doneJobs = new Set<string>();
	const calls: Array<{readonly effect: JobEffectOf<'ask-advice'>; answersAt: number}> = [];
	let mostPendingCalls = 0;
	let freeAt = 0;
	const handlers: EffectHandlers = {
		'ask-advice'(effect, now) {
			freeAt = Math.max(freeAt, now) + policy.decideMs + (policy.eachMs * effect.endpointIds.length);
			calls.push({effect, answersAt: freeAt});
			mostPendingCalls = Math.max(mostPendingCalls, calls.length);
			for (const id of effect.endpointIds.filter(id => !allowedIds.has(id))) {
				questions.set(`${effect.stepId} ${id}`, (questions.get(`${effect.stepId} ${id}`) ?? 0) + 1);
			}
		},
		'start-task'({target: {endpointId}, taskId, run, ticket}, now) {
			running.get(endpointId)!.set(taskId, {run, at: now});
			starts.set(taskId, {number: Number(endpointId.slice(1)), isTicketValid: ticket !== undefined && now <= (tickets.get(ticket) ?? 0), at: now});
		},
		'save-progress'({records}) {
			for (const {jobId} of records.filter(({progress}) => progress.status === 'done')) {
				doneJobs.add(jobId);
			}
		},
		'poll-endpoint'({target: {endpointId}, lastSavedEnd}) {
			ended.set(endpointId, ended.get(endpointId)!.filter(({number}) => number > lastSavedEnd));
		},
	};
	const apply = (event: JobEvent, now: number) => {
		for (const effect of owner.apply(event, now)) {
			handlers[effect.kind]?.(effect as never, now);
		}
	};

	const answerCalls = (now: number) => {
		while (calls.length > 0 && calls[0]!.answersAt <= now) {
			const {effect: {pool, stepId, endpointIds}} = calls.shift()!;
			const isRefused = now < refusesUntil;
			const good = isRefused ? [] : endpointIds.filter(id => allowedIds.has(id));
			const answer = new Map(good.map(id => [id, `${stepId} ${id} ${now}`]));
			for (const ticket of answer.values()) {
				tickets.set(ticket, now + policy.validMs);
			}

			apply({
				kind: 'advice-answered', pool, stepId, endpointIds, tickets: isRefused ? undefined : answer, validMs: policy.validMs, isComplete: !isRefused,
			}, now);
		}
	};

	const answerPoll = (id: string, now: number) => {
		for (const [taskId, {run, at}] of running.get(id)!) {
			if (now >= at + taskMs) {
				running.get(id)!.delete(taskId);
				endCounts.set(id, (endCounts.get(id) ?? 0) + 1);
				ended.get(id)!.push({
					number: endCounts.get(id)!, taskId, run, outcome: 'done', checkpoint: '',
				});
			}
		}

		const startedAt = reborn !== undefined && id === createId(reborn.number) && now >= reborn.at ? 2 : 1;
		const reports: ReportedRun[] = [...running.get(id)!].map(([taskId, {run, at}]) => ({
			taskId, run, checkpoint: '', percent: Math.min(99, (now - at) / 10), load: 0,
		}));
		apply({
			...createTestPollAnswer(id, 1000 + now), startedAt, running: reports, ended: ended.get(id)!,
		}, now);
	};

	for (let now = 5; now < observedUntil; now += 5) {
		answerCalls(now);
		if (now === reborn?.at) {
			allowedIds.add(createId(reborn.number));
			apply({kind: 'endpoint-changed', endpoint: createTestEndpoint(createId(reborn.number), 'desk', {startedAt: 2})}, now);
		}

		if (now === submittedAt) {
			for (let number = 0; number < jobCount; number++) {
				apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob(`job${number}`, steps, {advice: policy, acceptedAt: now}))}, now);
			}
		}

		for (const id of now % 50 === 0 ? ids : []) {
			answerPoll(id, now);
		}

		if (now % 25 === 0) {
			apply({kind: 'tick'}, now);
		}
	}

	return {
		starts, doneJobs, mostPendingCalls, mostBarredQuestions: Math.max(0, ...questions.values()), remainingAdvice: owner.state.placement.advice.size,
	};
}

const cases: readonly Case[] = [
	{
		// Guards against a task that never runs, as advice is requested for the same 30 endpoints each time (review/4).
		name: 'stand behind the first 30 of 44', endpointCount: 44, allowed: [41, 42, 43], steps: [{}], observedUntil: 3000,
	},
	{
		name: 'are the last of 90', endpointCount: 90, allowed: [90], steps: [{}], observedUntil: 3000,
	},
	{
		// Guards against a gang for which no single call names enough allowed endpoints.
		name: 'of a gang are far apart', endpointCount: 90, allowed: [1, 45, 90], steps: [{count: 3, isGang: true, endpointLimit: 1}], observedUntil: 4000,
	},
	{
		name: 'of a gang that is wider than a usual call', endpointCount: 50, allowed: Array.from({length: 40}, (_, index) => index + 1), steps: [{count: 36, isGang: true, endpointLimit: 1}], observedUntil: 4000,
	},
	{
		// Guards against a step that is asked about too seldom while its endpoints are full.
		name: 'are full until other tasks of the step have ended', endpointCount: 44, allowed: [44], steps: [{count: 40, room: {cpuMillis: 4000, memoryMb: 100, gpus: 0}}], observedUntil: 16_000,
	},
	{
		name: 'are known once the service answers again', endpointCount: 44, allowed: [43], steps: [{}], refusesUntil: 2500, observedUntil: 6000,
	},
	{
		name: 'are none until one that was barred starts again', endpointCount: 44, allowed: [], steps: [{}], reborn: {number: 7, at: 2000}, observedUntil: 7000,
	},
	{
		// Guards against deadlines that are missed in the queue of the service, which takes 32 calls.
		name: 'are wanted by 50 jobs at once', endpointCount: 44, allowed: [5, 20, 40, 41, 42], jobCount: 50, steps: [{count: 2, room: {cpuMillis: 500, memoryMb: 100, gpus: 0}}], observedUntil: 14_000,
	},
	{
		name: 'are wanted by a step that follows another one', endpointCount: 44, allowed: [40], steps: [{}, {after: [0]}], observedUntil: 5000,
	},
];

describe('jobs whose allowed endpoints', () => {
	it.each(cases)('$name are done, with valid tickets', input => {
		const {starts, doneJobs, mostPendingCalls, mostBarredQuestions, remainingAdvice} = play(input);
		expect(doneJobs.size).toBe(input.jobCount ?? 1);
		expect([...starts.values()].filter(({isTicketValid}) => !isTicketValid)).toEqual([]);
		expect(mostPendingCalls).toBeLessThanOrEqual(2);
		expect(mostBarredQuestions).toBeLessThanOrEqual(input.refusesUntil === undefined ? 1 : 10);
		expect(remainingAdvice).toBe(0);
	});
});
