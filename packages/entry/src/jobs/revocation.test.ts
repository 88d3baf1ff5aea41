import {createRandomSource} from '@pistachiogauge/chain';
import {
	applyJobEvent, canCheckKeys, checkCallerRequest, createJobsState, type Configuration, type JobEvent,
} from '@pistachiogauge/jobs';
import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {createConfigurationReader} from './confirm-configuration.js';

const stepMs = 50;
const revokeMs = 5000;
const callTimeoutMs = 1200;
const removedAt = 4000;
const healedAt = 14_000;
const endAt = 18_000;
const [removedKey, keptKey] = ['1', '2'].map(digit => digit.repeat(64)) as [string, string];

type Link = 'open' | 'cut' | 'answers-lost' | 'slow' | 'undecodable';

/** Time until a read is answered or fails. */
const answerTimesMs: Readonly<Record<Link, number>> = {
	open: 5, undecodable: 5, slow: 1000, cut: callTimeoutMs, 'answers-lost': callTimeoutMs,
};

type Case = {
	readonly name: string;
	/** Link to the store from a second before the key is removed until `healedAt`. */
	readonly link?: Link;
	/** What happens 100 ms after the key is removed: jumps of the clocks, and time for which the process does nothing. */
	readonly jump?: {readonly nowMs: number; readonly wallMs: number; readonly stoppedMs: number};
	/** Whether the watch reports new versions at once. */
	readonly isWatching?: boolean;
	readonly versionsPerStep?: number;
	readonly isRevocationStrict?: boolean;
	/** Whether the kept key is still served 8 s after the removal of the other, before the fault ends. */
	readonly isKeptKeyServed: boolean;
};

// Guards against a removed key that is accepted later than `revokeMs` after the store has acknowledged its removal, and against keys that are refused although the store answers.
const cases: readonly Case[] = [
	{name: 'the store answers', isKeptKeyServed: true},
	{name: 'the store cannot be reached', link: 'cut', isKeptKeyServed: false},
	{name: 'answers of the store are lost', link: 'answers-lost', isKeptKeyServed: false},
	{name: 'the store answers after 1 s', link: 'slow', isKeptKeyServed: true},
	{name: 'the new configuration cannot be decoded', link: 'undecodable', isKeptKeyServed: false},
	{
		name: 'the store is lost and the process paused', link: 'cut', jump: {nowMs: 6000, wallMs: 6000, stoppedMs: 6000}, isKeptKeyServed: false,
	},
	{
		name: 'the store is lost and the machine suspended', link: 'cut', jump: {nowMs: 0, wallMs: 6000, stoppedMs: 6000}, isKeptKeyServed: false,
	},
	{
		name: 'the store is lost and the wall clock is set back', link: 'cut', jump: {nowMs: 0, wallMs: -60_000, stoppedMs: 0}, isKeptKeyServed: false,
	},
	{name: 'the wall clock is set forward', jump: {nowMs: 0, wallMs: 60_000, stoppedMs: 0}, isKeptKeyServed: true},
	{name: 'the machine is suspended', jump: {nowMs: 0, wallMs: 6000, stoppedMs: 6000}, isKeptKeyServed: true},
	{
		name: 'versions follow each other quickly', versionsPerStep: 1, isWatching: true, isKeptKeyServed: true,
	},
	{
		name: 'versions follow each other quickly at a slow store', versionsPerStep: 1, isWatching: true, link: 'slow', isKeptKeyServed: true,
	},
	{
		name: 'the watch reports the version and the store is lost', isWatching: true, link: 'cut', isKeptKeyServed: false,
	},
	{
		name: 'revocation is not strict and the watch reports the version', isRevocationStrict: false, isWatching: true, isKeptKeyServed: true,
	},
];

beforeEach(() => {
	vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']});
});
afterEach(() => {
	vi.useRealTimers();
});

function createConfiguration(version: number, keyHashes: readonly string[]): Configuration {
	return {
		version,
		queues: [{
			name: 'prints', host: 'a', prefix: '/', pool: 'desk', priority: 0, attempts: 1, stretch: 1, latencyTargetMs: 1, advice: undefined, isPublic: false,
		}],
		pools: [{name: 'desk', isSpare: false}],
		// The account of the first key has no other.
		accounts: [removedKey, keptKey].map((keyHash, index) => ({
			name: `account-${index}`, keyHashes: keyHashes.includes(keyHash) ? [keyHash] : [], priority: 0, weight: 1, cap: {cpuMillis: 0, memoryMb: 0, gpus: 0},
		})),
		limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	};
}

it.each(cases)('a removed key is refused in time if $name', async ({
	link = 'open', jump, isWatching = false, versionsPerStep = 0, isRevocationStrict = true, isKeptKeyServed,
}) => {
	const strictRevokeMs = isRevocationStrict ? revokeMs : undefined;
	const state = createJobsState({
		node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000, strictRevokeMs,
	});
	const random = createRandomSource(1);
	let time = 0;
	const clocks = {now: 1000, wallTime: 1_000_000};
	let stored = createConfiguration(1, [removedKey, keptKey]);
	let openReads = 0;
	let mostOpenReads = 0;
	let readCount = 0;
	const getLink = (): Link => time >= removedAt - 1000 && time < healedAt ? link : 'open';
	const pushEvent = (event: JobEvent): void => {
		applyJobEvent(state, event, {...clocks, random});
	};

	const reader = createConfigurationReader({
		store: {
			async readItem(key) {
				readCount += 1;
				openReads += 1;
				mostOpenReads = Math.max(mostOpenReads, openReads);
				const shown = stored;
				const sentOn = getLink();
				await new Promise(resolve => {
					setTimeout(resolve, answerTimesMs[sentOn]);
				});
				openReads -= 1;
				if (sentOn === 'cut' || sentOn === 'answers-lost') {
					throw new Error('timed out');
				}

				return {key, value: sentOn === 'undecodable' && shown.version > 1 ? '{' : JSON.stringify(shown), revision: shown.version};
			},
		},
		decodeItem: ({value}) => value === undefined || value === '{' ? undefined : JSON.parse(value) as Configuration,
		strictRevokeMs,
		getConfiguration: () => state.configuration.current,
		getClocks: () => ({...clocks}),
		pushEvent,
		reportIgnoredItem() {
			expect(link).toBe('undecodable');
		},
		log: () => undefined,
	});
	const isServed = (keyHash: string): boolean => checkCallerRequest(state, {
		action: 'submit', queue: 'prints', jobId: 'job', keyHash,
	}, clocks) === undefined;
	const advance = async (): Promise<void> => {
		time += stepMs;
		clocks.now += stepMs;
		clocks.wallTime += stepMs;
		await vi.advanceTimersByTimeAsync(stepMs);
	};

	const served: Record<number, boolean> = {};
	pushEvent({kind: 'configuration-changed', configuration: stored});
	expect(isServed(keptKey)).toBe(!isRevocationStrict);
	reader.handleConfigurationChanged();
	while (time < endAt) {
		// eslint-disable-next-line no-await-in-loop
		await advance();
		if (time === removedAt) {
			stored = createConfiguration(2, [keptKey]);
		}

		if (time > removedAt) {
			for (let index = 0; index < versionsPerStep; index++) {
				stored = createConfiguration(stored.version + 1, [keptKey]);
			}
		}

		if (time >= removedAt && isWatching) {
			pushEvent({kind: 'configuration-changed', configuration: stored});
		}

		if (time === removedAt + 100 && jump !== undefined) {
			clocks.now += jump.nowMs;
			clocks.wallTime += jump.wallMs;
			time += jump.stoppedMs;
		}

		served[time] = isServed(keptKey);
		expect(isServed(removedKey) && time > removedAt + revokeMs, `served at ${time}`).toBe(false);
		expect(canCheckKeys(state, clocks)).toBe(served[time]);
	}

	reader.stop();
	expect(served[removedAt - 1000]).toBe(true);
	expect(served[removedAt + 8000 + (jump?.stoppedMs === 6000 ? 1500 : 0)]).toBe(isKeptKeyServed);
	expect(served[endAt]).toBe(true);
	expect(isServed(removedKey)).toBe(false);
	expect(mostOpenReads).toBe(isRevocationStrict ? 1 : 0);
	// About one read a second.
	expect(readCount).toBeLessThanOrEqual(isRevocationStrict ? 26 : 0);
});
