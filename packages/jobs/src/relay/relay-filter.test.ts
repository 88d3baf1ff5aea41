import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {applyJobEvent} from '../apply-job-event.js';
import {createJobsState} from '../jobs-state.js';
import {
	type CallerAction, type CallerAnswer, type JobEffect, type JobEvent, type JobEventOf, type RelayResult,
} from '../model/index.js';
import {createTestJob} from '../testing.test-support.js';

const {spec} = createTestJob('job', [{}]).record;
const refused: CallerAnswer = {kind: 'refused', reason: 'full', retryAfterMs: 1000};
const undecided: CallerAnswer = {kind: 'undecided', reason: 'the store has not answered'};
const answered = (answer: CallerAnswer): RelayResult => ({kind: 'answered', answer});
const unavailable: RelayResult = {kind: 'unavailable'};
const silent: RelayResult = {kind: 'silent'};

type StoreResult = JobEventOf<'job-stored'>['result'];

const peerMs = 10;

/** An entry whose peers give the listed results in turn, 10 ms after they are asked. */
function createRelayingEntry({peers = ['entry-2', 'entry-3', 'entry-4'], results, lostPeers = new Set()}: {readonly peers?: readonly string[]; readonly results: readonly RelayResult[]; /** Peers that have lost the store as well. */ readonly lostPeers?: ReadonlySet<string>}) {
	const random = createRandomSource(1);
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	const answers: Array<{readonly requestId: string; readonly answer: CallerAnswer; readonly at: number}> = [];
	const relayed: Array<Extract<JobEffect, {kind: 'relay-request'}>> = [];
	const logs: string[] = [];
	let due: Array<{readonly at: number; readonly event: JobEvent}> = [];
	let now = 0;
	const apply = (event: JobEvent) => {
		for (const effect of applyJobEvent(state, event, {now, wallTime: now, random})) {
			if (effect.kind === 'answer-caller') {
				answers.push({requestId: effect.requestId, answer: effect.answer, at: now});
			}

			if (effect.kind === 'log') {
				logs.push(JSON.stringify(effect));
			}

			if (effect.kind === 'relay-request') {
				const result = lostPeers.has(effect.node) ? unavailable : results[relayed.length] ?? silent;
				relayed.push(effect);
				due.push({
					at: now + (result.kind === 'silent' ? effect.timeoutMs : peerMs), event: {
						kind: 'relay-answered', requestId: effect.requestId, node: effect.node, result,
					},
				});
			}
		}
	};

	const deliverDue = () => {
		const ready = due.filter(({at}) => at <= now);
		due = due.filter(({at}) => at > now);
		for (const {event} of ready) {
			apply(event);
		}
	};

	apply({
		kind: 'configuration-changed', configuration: {
			version: 1,
			queues: [{
				name: 'prints', host: 'a', prefix: '/', pool: 'desk', priority: 0, attempts: 1, stretch: 1, latencyTargetMs: 1, advice: undefined, isPublic: true,
			}],
			pools: [{name: 'desk', isSpare: false}],
			limits: {
				headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
			},
		},
	});
	apply({
		kind: 'members-listed', members: [
			{
				node: 'entry-1', incarnation: 'first', weight: 1, peerServer: {address: '10.0.0.1:1', secret: 'secret-1'},
			},
			{node: 'earlier-version', incarnation: 'a', weight: 1},
			...peers.map(node => ({
				node, incarnation: 'a', weight: 1, peerServer: {address: '10.0.0.2:1', secret: `secret-of-${node}`},
			})),
		],
	});
	return {
		answers, relayed, logs, state, apply,
		request(requestId: string, {action = 'submit', jobId = 'job', answerBy = now + 3000, isRelayed = false}: {readonly action?: CallerAction; readonly jobId?: string; readonly answerBy?: number; readonly isRelayed?: boolean} = {}) {
			apply({
				kind: 'caller-requested', requestId, action, queue: 'prints', jobId, spec: action === 'submit' ? spec : undefined, keyHash: 'hash', ...(!isRelayed && {origin: {host: 'a', path: '/job', answerBy}}),
			});
		},
		/** Delivers the events that are due until a time in ms, with a tick every 25 ms. */
		runUntil(end: number) {
			while (now < end) {
				deliverDue();
				apply({kind: 'tick'});
				now += 25;
			}
		},
		/** Lets the process stand still; a tick comes before the events that were due meanwhile. */
		pause(ms: number) {
			now += ms;
			apply({kind: 'tick'});
		},
		at(time: number, event: JobEvent) {
			due.push({at: time, event});
		},
	};
}

type Case = {
	readonly name: string;
	readonly action?: CallerAction;
	/** Result of the entry's own write and when it comes; undefined if the store is known to be out of reach. */
	readonly own?: {readonly result: StoreResult; readonly atMs: number};
	readonly peers?: readonly string[];
	readonly results: readonly RelayResult[];
	readonly deadlineMs?: number;
	readonly expected: CallerAnswer['kind'];
	readonly expectedRelays: number;
	/** Latest time of the answer in ms. */
	readonly withinMs: number;
};

const lateUnknown = {result: 'unknown', atMs: 2400} as const;
const cases: readonly Case[] = [
	{
		name: 'the write is unanswered and a peer carries it out or finds it there', own: lateUnknown, results: [answered({kind: 'accepted'})], expected: 'accepted', expectedRelays: 1, withinMs: 700,
	},
	{
		name: 'the write is unanswered and both peers refuse', own: lateUnknown, results: [answered(refused), answered(refused)], expected: 'undecided', expectedRelays: 2, withinMs: 2500,
	},
	{
		name: 'the write is unanswered and the key is not valid at the peers', own: lateUnknown, results: [answered({kind: 'unauthorized'}), answered({kind: 'unauthorized'})], expected: 'undecided', expectedRelays: 2, withinMs: 2500,
	},
	{
		name: 'the write is unanswered, the first peer is silent and the second one accepts', own: lateUnknown, results: [silent, answered({kind: 'accepted'})], expected: 'accepted', expectedRelays: 2, withinMs: 1800,
	},
	{
		name: 'the write is unanswered and both peers are silent', own: lateUnknown, results: [silent, silent], expected: 'undecided', expectedRelays: 2, withinMs: 2850,
	},
	{
		name: 'the entry does not reach its peers either', own: lateUnknown, results: [unavailable, unavailable], expected: 'undecided', expectedRelays: 2, withinMs: 2500,
	},
	{
		name: 'the own write is answered while a peer is silent', own: {result: 'applied', atMs: 900}, results: [silent], expected: 'accepted', expectedRelays: 1, withinMs: 950,
	},
	{
		name: 'the store refuses the write while a silent peer may carry it out', own: {result: 'refused', atMs: 900}, results: [silent, unavailable], expected: 'undecided', expectedRelays: 2, withinMs: 1800,
	},
	{
		name: 'the store refuses the write late and no peer takes it', own: {result: 'refused', atMs: 900}, results: [unavailable, unavailable], peers: ['entry-2', 'entry-3'], expected: 'refused', expectedRelays: 2, withinMs: 950,
	},
	{
		name: 'the store refuses the write at once', own: {result: 'refused', atMs: 0}, results: [], expected: 'refused', expectedRelays: 0, withinMs: 50,
	},
	{
		name: 'the store answers after half a second', own: {result: 'applied', atMs: 500}, results: [], expected: 'accepted', expectedRelays: 0, withinMs: 550,
	},
	{
		name: 'the write is unanswered and the caller waits for a second', own: lateUnknown, results: [answered({kind: 'accepted'})], deadlineMs: 1000, expected: 'accepted', expectedRelays: 1, withinMs: 300,
	},
	{
		name: 'the write is unanswered and the caller waits for a tenth of a second', own: lateUnknown, results: [], deadlineMs: 100, expected: 'undecided', expectedRelays: 0, withinMs: 2450,
	},
	{
		name: 'the write is unanswered and there is no peer', own: lateUnknown, peers: [], results: [], expected: 'undecided', expectedRelays: 0, withinMs: 2450,
	},
	{
		name: 'the store is out of reach and a peer accepts', results: [answered({kind: 'accepted'})], expected: 'accepted', expectedRelays: 1, withinMs: 50,
	},
	{
		name: 'the store is out of reach and no peer takes the job', results: [unavailable, answered(refused)], expected: 'refused', expectedRelays: 2, withinMs: 100,
	},
	{
		name: 'the store is out of reach and a peer has not had its answer either', results: [answered(undecided), answered(refused)], expected: 'undecided', expectedRelays: 2, withinMs: 100,
	},
	{
		name: 'the store is out of reach and a peer does not know the queue yet', results: [answered({kind: 'unknown-queue'}), answered({kind: 'accepted'})], expected: 'accepted', expectedRelays: 2, withinMs: 100,
	},
	{
		name: 'the store is out of reach and there is no peer', peers: [], results: [], expected: 'refused', expectedRelays: 0, withinMs: 50,
	},
	{
		name: 'a peer cancels the job', action: 'cancel', results: [answered({kind: 'cancelled'})], expected: 'cancelled', expectedRelays: 1, withinMs: 50,
	},
	{
		name: 'a cancellation may have reached a peer', action: 'cancel', results: [silent, unavailable], expected: 'undecided', expectedRelays: 2, withinMs: 1100,
	},
	{
		name: 'a peer reads the state of the job', action: 'get', results: [answered({kind: 'status', status: 'done'})], expected: 'status', expectedRelays: 1, withinMs: 50,
	},
	{
		name: 'no peer answers a read', action: 'get', results: [silent, silent], expected: 'refused', expectedRelays: 2, withinMs: 2100,
	},
	{
		name: 'a peer knows no such job', action: 'get', results: [answered({kind: 'unknown-job'})], expected: 'unknown-job', expectedRelays: 1, withinMs: 50,
	},
];

// Guards against callers that are left without a decision that a peer can give, or that are told a job does not run although it may.
describe('a request that the entry cannot decide', () => {
	it.each(cases)('gets $expected if $name', ({
		action, own, peers, results, deadlineMs = 3000, expected, expectedRelays, withinMs,
	}) => {
		const entry = createRelayingEntry({...(peers !== undefined && {peers}), results});
		entry.apply({kind: own === undefined ? 'store-lost' : 'store-reached'});
		entry.request('request', {...(action !== undefined && {action}), answerBy: deadlineMs});
		if (own !== undefined) {
			entry.at(own.atMs, {kind: 'job-stored', requestId: 'request', result: own.result});
		}

		entry.runUntil(4000);
		expect(entry.answers.map(({answer}) => answer.kind)).toEqual([expected]);
		expect(entry.answers[0]!.at).toBeLessThanOrEqual(withinMs);
		expect(entry.relayed).toHaveLength(expectedRelays);
		for (const {request} of entry.relayed) {
			expect(request).toEqual({
				action: action ?? 'submit', host: 'a', path: '/job', spec: action === undefined ? spec : undefined, keyHash: 'hash',
			});
		}

		expect(new Set(entry.relayed.map(({node}) => node)).size).toBe(expectedRelays);
		expect(entry.state.relay.relays.size).toBe(0);
		expect(entry.state.intake.pendingRequests.size).toBe(0);
		// A peer's secret must not reach the log.
		expect(entry.logs.join('\n')).not.toContain('secret');
	});
});

type SequenceCase = {
	readonly name: string;
	readonly results: readonly RelayResult[];
	readonly peers?: readonly string[];
	/** Requests with the time of each in ms. */
	readonly requests: ReadonlyArray<{readonly atMs: number; readonly isRelayed?: boolean; readonly answerBy?: number; readonly jobId?: string}>;
	readonly expected: ReadonlyArray<CallerAnswer['kind']>;
	readonly expectedRelays: number;
};

const fiveAt = (atMs: number) => Array.from({length: 5}, (_unused, index) => ({atMs, jobId: `job-${atMs}-${index}`}));
const sequences: readonly SequenceCase[] = [
	{
		name: 'a relayed request is never relayed again', results: [], requests: [{atMs: 0, isRelayed: true}], expected: ['refused'], expectedRelays: 0,
	},
	{
		name: 'a peer that did not take a request is not asked again for a second', peers: ['entry-2'], results: [unavailable, answered({kind: 'accepted'})], requests: [{atMs: 0}, {atMs: 500}, {atMs: 1100}], expected: ['refused', 'refused', 'accepted'], expectedRelays: 2,
	},
	{
		name: 'a repeated submission after a lost answer is not refused', peers: ['entry-2'], results: [silent, unavailable], requests: [{atMs: 0}, {atMs: 2100}], expected: ['undecided', 'undecided'], expectedRelays: 2,
	},
	{
		name: 'a duplicate during the relay is relayed as well and accepted', results: [answered({kind: 'accepted'}), answered({kind: 'accepted'})], requests: [{atMs: 0}, {atMs: 0}], expected: ['accepted', 'accepted'], expectedRelays: 2,
	},
	{
		name: 'a duplicate is not refused while a peer has the first one', peers: ['entry-2'], results: [silent, unavailable], requests: [{atMs: 0}, {atMs: 100}], expected: ['undecided', 'undecided'], expectedRelays: 2,
	},
	{
		name: 'an accepted job is answered from memory', results: [answered({kind: 'accepted'})], requests: [{atMs: 0}, {atMs: 100}], expected: ['accepted', 'accepted'], expectedRelays: 1,
	},
	{
		// Five requests have asked two peers each before the sixth failure is known.
		name: 'no more peers are asked once all entries seem to have lost the store', peers: Array.from({length: 40}, (_unused, index) => `peer-${index}`), results: Array.from({length: 40}, () => unavailable), requests: [...fiveAt(0), ...fiveAt(100), ...fiveAt(200)], expected: Array.from({length: 15}, () => 'refused'), expectedRelays: 10,
	},
	{
		name: 'the number of requests that wait for peers is bounded', peers: ['entry-2'], results: [], requests: Array.from({length: 80}, (_unused, index) => ({atMs: 0, answerBy: 500, jobId: `job-${index}`})), expected: Array.from({length: 80}, (_unused, index) => index < 16 ? 'refused' : 'undecided'), expectedRelays: 64,
	},
];

// Guards against relays that multiply when many entries lose the store, and against refusals of jobs that may have been accepted.
describe('several requests without the store', () => {
	it.each(sequences)('$name', ({results, peers, requests, expected, expectedRelays}) => {
		const entry = createRelayingEntry({results, ...(peers !== undefined && {peers})});
		entry.apply({kind: 'store-lost'});
		for (const [index, {atMs, ...options}] of requests.entries()) {
			entry.runUntil(atMs);
			entry.request(`request-${index}`, options);
		}

		entry.runUntil(6000);
		expect(entry.answers.map(({answer}) => answer.kind)).toEqual(expected);
		expect(entry.relayed).toHaveLength(expectedRelays);
		expect(entry.state.relay.relays.size).toBe(0);
	});
});

// Guards against requests that ask two peers without the store again and again while most peers reach it.
it('a third of the peers without the store keeps few requests from a decision', () => {
	const peers = Array.from({length: 30}, (_unused, index) => `peer-${index}`);
	const entry = createRelayingEntry({peers, results: Array.from({length: 1000}, () => answered({kind: 'accepted'})), lostPeers: new Set(peers.slice(0, 10))});
	entry.apply({kind: 'store-lost'});
	for (let index = 0; index < 200; index++) {
		entry.runUntil(index * 50);
		entry.request(`request-${index}`, {jobId: `job-${index}`});
	}

	entry.runUntil(12_000);
	expect(entry.answers).toHaveLength(200);
	expect(entry.answers.filter(({answer}) => answer.kind !== 'accepted').length).toBeLessThanOrEqual(1);
});

// Guards against a refusal of a job that a peer has accepted while the process was paused beyond its caller's time (seed 14 of the soak).
it.each([
	{action: 'submit', expected: 'undecided'},
	{action: 'cancel', expected: 'undecided'},
	{action: 'get', expected: 'refused'},
] as const)('a $action whose peer was awaited beyond a pause gets $expected', ({action, expected}) => {
	const entry = createRelayingEntry({results: [answered({kind: 'accepted'})]});
	entry.apply({kind: 'store-lost'});
	entry.request('request', {action});
	entry.pause(3500);
	entry.runUntil(4000);
	expect(entry.answers.map(({answer}) => answer.kind)).toEqual([expected]);
	expect(entry.state.relay.relays.size).toBe(0);
});
