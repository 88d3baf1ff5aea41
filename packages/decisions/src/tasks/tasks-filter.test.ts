import {describe, expect, it} from 'vitest';
import {
	defaultTimings, storeKeys, taskPageSchema, type Effect, type EffectOf, type EntryEvent, type RequestResult, type ServiceRequest, type TaskRecord,
} from '@pistachiogauge/model';
import {applyEvent} from '../apply-event.js';
import {createRandomSource} from '../context.js';
import {createEntryState, type EntryState} from '../entry-state.js';
import {computeTaskClass} from './task-schedule.js';

const pool = 'archive';
const startWallTime = 1_800_000_000_000;
const taskKey = `${startWallTime.toString(16).padStart(12, '0').replace(/^(?<high>.{8})(?<low>.{4})$/u, '$<high>-$<low>')}-7abc-8def-0123456789ab`;

type StoreFault = 'none' | 'lost-answer' | 'down';

/** An entry that owns one pool, with a store for the pages and an endpoint. */
class PoolOwner {
	readonly pages: Map<string, {value: string; revision: number}>;
	readonly answers = new Map<string, RequestResult>();
	readonly sent: Array<EffectOf<'send-endpoint'>> = [];
	fault: StoreFault = 'none';
	readonly #state: EntryState;
	readonly #random = createRandomSource(7);
	readonly #effectHandlers: Readonly<Partial<{[Kind in Effect['kind']]: (effect: EffectOf<Kind>) => void}>> = {
		'answer-caller': ({requestId, result}) => {
			this.answers.set(requestId, result);
		},
		'send-endpoint': effect => {
			this.sent.push(effect);
		},
		'probe-endpoint': ({instanceId}) => {
			this.pushEvent({kind: 'probe-ended', instanceId, isHealthy: true});
		},
		'read-store': effect => {
			this.#read(effect);
		},
		'write-store': effect => {
			this.#write(effect);
		},
	};

	#now = 1000;

	constructor(id: string, epoch: number, pages = new Map<string, {value: string; revision: number}>()) {
		this.pages = pages;
		this.#state = createEntryState({
			id, zone: 'a', peerAddress: '127.0.0.1:1', timings: defaultTimings, verifyBundle: () => ({kind: 'invalid', reason: 'unused'}),
		});
		this.#state.bundle.current = {
			schemaVersion: 1,
			version: 1,
			pools: {
				[pool]: {
					budget: 1, maintenancePeriodDays: 35, isSpare: false, minInstances: 1, slotsPerInstance: 8,
				},
			},
			services: {
				sync: {
					pool, defaultClass: 'deferrable', shares: {urgent: 0.5, normal: 0.25, deferrable: 0.25}, queueLimit: 10, notExecutedStatuses: [503], defaultDeadlineMs: 1000,
				},
			},
			teams: {},
		};
		this.#state.membership.record = {
			epoch, members: [{id, address: '127.0.0.1:1', zone: 'a'}], pools: {[pool]: {owner: id}}, previousMembers: [], previousPools: {}, forced: false, proposer: id,
		};
		this.#state.membership.isActive = true;
		this.#state.membership.acquiredPools.add(pool);
		this.pushEvent({kind: 'store-reached'});
		this.pushEvent({kind: 'pool-acquired', pool, wasStandby: false});
		this.pushEvent({
			kind: 'instances-listed',
			instances: [{
				id: 'w1', address: '127.0.0.1:2', zone: 'a', rack: 'r', pool, state: 'live',
			}],
		});
		this.advance(2000);
	}

	pushEvent(event: EntryEvent): void {
		for (const effect of applyEvent(this.#state, event, {now: this.#now, wallTime: startWallTime + this.#now, random: this.#random})) {
			this.#handleEffect(effect);
		}
	}

	advance(durationMs: number): void {
		for (let elapsed = 0; elapsed < durationMs; elapsed += 50) {
			this.#now += 50;
			this.pushEvent({kind: 'tick'});
		}
	}

	submitTask(requestId: string, change: Partial<ServiceRequest> = {}): void {
		this.#state.routing.requests.set(requestId, {
			request: createRequest(requestId, change), pool, deadlineAt: this.#now + 1_000_000, heldBy: this.#state.config.id, formerHolders: [], mayHaveRun: false,
		});
		this.pushEvent({
			kind: 'task-submitted', request: createRequest(requestId, change), receiver: this.#state.config.id, pool,
		});
	}

	answerEndpoint(status: number): void {
		const effect = this.sent.shift()!;
		this.pushEvent({
			kind: 'endpoint-answered', attemptId: effect.attemptId, status, headers: [], body: new Uint8Array(),
		});
	}

	get tasks(): TaskRecord[] {
		const values = [...this.pages].filter(([key]) => key.startsWith(storeKeys.tasksPrefix)).map(([, page]) => page);
		return values.flatMap(({value}) => taskPageSchema.safeParse(JSON.parse(value)).data?.tasks ?? []);
	}

	#handleEffect(effect: Effect): void {
		(this.#effectHandlers[effect.kind] as ((value: Effect) => void) | undefined)?.(effect);
	}

	#read({operationId, key, isPrefix}: EffectOf<'read-store'>): void {
		const entries = [...this.pages]
			.filter(([known]) => isPrefix ? known.startsWith(key) : known === key)
			.map(([known, {value, revision}]) => ({key: known, value, revision}));
		const isDown = this.fault === 'down';
		this.pushEvent({
			kind: 'store-answered', operationId, result: isDown ? 'failed' : 'applied', entries: isDown ? [] : entries,
		});
	}

	#write({operationId, key, value, condition}: EffectOf<'write-store'>): void {
		const known = this.pages.get(key);
		const isMet = condition.kind === 'always' || (known?.revision ?? 0) === (condition.kind === 'unchanged' ? condition.revision : 0);
		const entry = {key, value, revision: (known?.revision ?? 0) + 1};
		if (isMet && this.fault !== 'down') {
			this.pages.set(key, entry);
		}

		const isLost = this.fault !== 'none';
		const result = isMet ? 'applied' : 'conflict';
		this.pushEvent({
			kind: 'store-answered', operationId, result: isLost ? 'failed' : result, entries: isLost || !isMet ? [] : [entry],
		});
	}
}

function createRequest(requestId: string, change: Partial<ServiceRequest>): ServiceRequest {
	return {
		requestId, service: 'sync', method: 'POST', path: '/nightly', headers: [], body: new Uint8Array([1, 2]), mode: 'task', requestClass: 'deferrable', team: '', isIdempotent: false, key: taskKey, timeLeftMs: 5000, ...change,
	};
}

describe('tasks filter', () => {
	const acceptanceCases: Array<{name: string; fault: StoreFault; change?: Partial<ServiceRequest>; status: number | undefined; recorded: number}> = [
		{
			name: 'a recorded task is accepted', fault: 'none', status: 202, recorded: 1,
		},
		// Guards against accepting a task that would be lost if its owner failed.
		{
			name: 'a task is not accepted while the store is down', fault: 'down', status: undefined, recorded: 0,
		},
		// Guards against rejecting a task when only the answer to its write was lost.
		{
			name: 'a lost store answer is resolved by reading the page back', fault: 'lost-answer', status: 202, recorded: 1,
		},
		{
			name: 'a key without a timestamp is rejected', fault: 'none', change: {key: 'abc'}, status: 400, recorded: 0,
		},
		{
			name: 'a body above the limit is rejected', fault: 'none', change: {body: new Uint8Array(20_000)}, status: 413, recorded: 0,
		},
	];
	it.each(acceptanceCases)('$name', ({fault, change, status, recorded}) => {
		const owner = new PoolOwner('e1', 1);
		owner.fault = fault;
		owner.submitTask('r1', change);
		owner.advance(1000);
		expect(owner.answers.get('r1')?.status).toBe(status);
		expect(owner.tasks).toHaveLength(recorded);
	});

	it('runs a repeated task once', () => {
		const owner = new PoolOwner('e1', 1);
		owner.submitTask('r1');
		owner.submitTask('r2');
		owner.advance(2000);
		owner.answerEndpoint(200);
		owner.submitTask('r3');
		owner.advance(2000);
		expect(owner.sent).toHaveLength(0);
		expect([...owner.answers.values()].map(result => result.status)).toEqual([202, 202, 202]);
		expect(owner.tasks.map(({stage, outcome}) => ({stage, outcome}))).toEqual([{stage: 'ended', outcome: 'completed'}]);
	});

	// Guards against a second run, or a lost task, when the owner fails while the task is in each stage.
	const takeoverCases: Array<{name: string; isIdempotent: boolean; lostAfterMs: number; runsAgain: boolean; stage: string; outcome: string | undefined}> = [
		{
			name: 'an accepted task runs at the next owner', isIdempotent: false, lostAfterMs: 50, runsAgain: true, stage: 'ended', outcome: 'completed',
		},
		{
			name: 'a started non-idempotent task ends as unknown', isIdempotent: false, lostAfterMs: 2000, runsAgain: false, stage: 'ended', outcome: 'unknown',
		},
		{
			name: 'a started idempotent task runs again', isIdempotent: true, lostAfterMs: 2000, runsAgain: true, stage: 'ended', outcome: 'completed',
		},
	];
	it.each(takeoverCases)('$name', ({isIdempotent, lostAfterMs, runsAgain, stage, outcome}) => {
		const first = new PoolOwner('e1', 1);
		first.submitTask('r1', {isIdempotent});
		first.advance(lostAfterMs);
		const second = new PoolOwner('e2', 2, first.pages);
		second.advance(1000);
		expect(second.sent.length > 0).toBe(runsAgain);
		if (runsAgain) {
			second.answerEndpoint(200);
		}

		second.advance(1000);
		expect(second.tasks.map(task => ({stage: task.stage, outcome: task.outcome}))).toEqual([{stage, outcome}]);
	});

	const classCases: Array<{slackMs: number; expected: string}> = [
		{slackMs: 7_200_000, expected: 'deferrable'},
		{slackMs: 1_200_000, expected: 'normal'},
		{slackMs: 60_000, expected: 'urgent'},
		{slackMs: -1, expected: 'urgent'},
	];
	it.each(classCases)('a task with $slackMs ms of slack is $expected', ({slackMs, expected}) => {
		expect(computeTaskClass(slackMs)).toBe(expected);
	});
});
