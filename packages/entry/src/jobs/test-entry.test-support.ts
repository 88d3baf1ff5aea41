import {createRandomSource} from '@pistachiogauge/chain';
import {
	applyJobEvent, createJobsState, type CallerAction, type CallerAnswer, type Configuration, type JobEffect, type JobEvent, type JobSpec, type JobsState,
} from '@pistachiogauge/jobs';
import {createJobSinks} from './create-job-sinks.js';
import {type JobSinkDependencies} from './job-sink-dependencies.js';
import {type TestStore} from './test-store.test-support.js';

/** Address and pool of a queue. @internal */
export type TestQueue = {readonly name: string; readonly prefix: string; readonly pool: string};

/** An entry that decides callers' requests by its records in a store; it owns no pool. @internal */
export type TestEntry = {
	readonly state: JobsState;
	/** Applies a version of the configuration with these queues. */
	configure(version: number, queues: readonly TestQueue[]): void;
	/** Sends a caller's request and waits for its answer. */
	request(action: CallerAction, queue: string, jobId?: string): Promise<CallerAnswer>;
	/** Carries out an effect of another filter. */
	carryOut(effect: JobEffect): void;
};

const pools = ['desk', 'office'] as const;
const spec: JobSpec = {
	payload: '',
	steps: [{
		count: 1, room: {cpuMillis: 1000, memoryMb: 100, gpus: 0}, estimateMs: 1000, after: [], isCheckpointing: false, isGang: false, isSameRack: false, requiredLabel: undefined, dataRack: undefined, endpointLimit: undefined, mayDuplicate: false, isLongRunning: false, image: '', tailTargetMs: undefined, isFiller: false, missLimit: undefined,
	}],
	repeatCount: 0,
	startAtMs: 0,
	intervalMs: 0,
};

/** Creates the configuration of a deployment with the pools `desk` and `office`. @internal */
export function createTestConfiguration(version: number, queues: readonly TestQueue[]): Configuration {
	return {
		version,
		queues: queues.map(queue => ({
			...queue, host: 'a', priority: 0, attempts: 1, stretch: 1, latencyTargetMs: 1, advice: undefined, isPublic: true,
		})),
		pools: pools.map(name => ({name, isSpare: false})),
		limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	};
}

/** @internal */
export function createTestEntry(node: string, store: TestStore): TestEntry {
	const state = createJobsState({node, incarnation: 'first', orderLeaseMs: 3000});
	const random = createRandomSource(1);
	const answers = new Map<string, (answer: CallerAnswer) => void>();
	let requestCount = 0;
	const pushEvent = (event: JobEvent) => {
		for (const effect of applyJobEvent(state, event, {now: performance.now(), wallTime: Date.now(), random})) {
			carryOut(effect);
		}
	};

	const sinks = createJobSinks({
		state, pushEvent, store: store.client, node, incarnation: 'first', peerServer: undefined, log() {/* Not needed. */}, metrics: {addCount() {/* Not needed. */}, recordValue() {/* Not needed. */}}, ingress: {
			answerCaller(requestId: string, answer: CallerAnswer) {
				answers.get(requestId)?.(answer);
			},
		},
	} as unknown as JobSinkDependencies);

	function carryOut(effect: JobEffect): void {
		(sinks[effect.kind] as (each: JobEffect) => void)(effect);
	}

	pushEvent({kind: 'store-reached'});
	return {
		state,
		configure(version, queues) {
			pushEvent({kind: 'configuration-changed', configuration: createTestConfiguration(version, queues)});
		},
		async request(action, queue, jobId = '') {
			requestCount += 1;
			const requestId = `${node}-${requestCount}`;
			return new Promise(resolve => {
				answers.set(requestId, resolve);
				pushEvent({
					kind: 'caller-requested', requestId, action, queue, jobId, spec: action === 'submit' ? spec : undefined, keyHash: undefined,
				});
			});
		},
		carryOut,
	};
}
