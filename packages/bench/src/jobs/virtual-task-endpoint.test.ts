import {describe, expect, it} from 'vitest';
import {createRandomSource} from '@pistachiogauge/chain';
import {createEventQueue} from '../virtual/event-queue.js';
import {createVirtualAdviceService} from './virtual-advice-service.js';
import {createVirtualTaskEndpoint, type OrderSender, type VirtualTaskEndpoint} from './virtual-task-endpoint.js';

const clockStartMs = 500_000;
const sender: OrderSender = {
	node: 'entry-1', isOwner: true, isInTouch: true, isLate: false,
};
const capacity = {cpuMillis: 1000, memoryMb: 1000, gpus: 0};
const target = {
	endpointId: 'endpoint-1', address: 'endpoint-1', token: 5, generation: 0,
};

function createEndpoint() {
	const queue = createEventQueue();
	const ignore = () => undefined;
	const endpoint = createVirtualTaskEndpoint(queue, {
		id: 'endpoint-1', pool: 'desk', address: 'endpoint-1', zone: 'a', state: 'ready', capacity, labels: [], rack: 'rack-1', remainingMs: undefined, startedAt: 1,
	}, {
		clockRate: 1,
		getBehaviour: () => ({
			resources: {cpuMillis: 600, memoryMb: 100, gpus: 0}, isFiller: false, durationMs: 20_000, isFailing: false, isAdvised: false,
		}),
		advice: createVirtualAdviceService(queue, createRandomSource(1), ignore),
		observer: {
			recordStart: ignore, recordEnd: ignore, recordLeaseExpiry: ignore, recordAcknowledgedEnd: ignore,
		},
	});
	return {queue, endpoint};
}

function start(endpoint: VirtualTaskEndpoint, taskId: string, run: number, deadlineMs: number, token = target.token) {
	return endpoint.startTask({
		kind: 'start-task', target: {...target, token}, taskId, run, payload: '', deadlineMs: clockStartMs + deadlineMs, checkpoint: '', ticket: undefined,
	}, sender);
}

function stop(endpoint: VirtualTaskEndpoint, taskId: string, run: number, token = target.token) {
	return endpoint.stopTask({
		kind: 'stop-task', target: {...target, token}, taskId, run,
	});
}

const leaseCases = [
	{
		name: 'late extends no lease', taskId: 'other', run: 1, deadlineMs: 400, refusal: 'late', isExtended: false,
	},
	{
		name: 'fenced extends no lease', taskId: 'other', run: 1, deadlineMs: 5000, refusal: 'fenced', isExtended: false, token: 4,
	},
	{
		name: 'outdated extends the lease', taskId: 'stopped', run: 2, deadlineMs: 5000, refusal: 'outdated', isExtended: true,
	},
	{
		name: 'no-room extends the lease', taskId: 'other', run: 1, deadlineMs: 5000, refusal: 'no-room', isExtended: true,
	},
] as const;

// Guards against an emulator that hides faults, as it refuses or grants other than endpoints do.
describe('refusals of a virtual endpoint', () => {
	it.each(leaseCases)('$name', ({taskId, run, deadlineMs, refusal, isExtended, ...rest}) => {
		const {queue, endpoint} = createEndpoint();
		start(endpoint, 'running', 1, 1000);
		stop(endpoint, 'stopped', 2);
		queue.runUntil(500);
		expect(start(endpoint, taskId, run, deadlineMs, 'token' in rest ? rest.token : undefined)).toBe(refusal);
		queue.runUntil(1500);
		expect(endpoint.runs.has('running')).toBe(isExtended);
	});

	const runCases = [
		{
			name: 'a run that was stopped before it was there', stopped: 3, started: 3, isRefused: true,
		},
		{
			name: 'a run below one that was stopped', stopped: 3, started: 2, isRefused: true,
		},
		{
			name: 'a run above one that was stopped', stopped: 3, started: 4, isRefused: false,
		},
	] as const;

	it.each(runCases)('$name', ({stopped, started, isRefused}) => {
		const {endpoint} = createEndpoint();
		stop(endpoint, 'task', stopped);
		expect(start(endpoint, 'task', started, 1000)).toBe(isRefused ? 'outdated' : clockStartMs);
	});

	it('a run that is not above one that has ended there', () => {
		const {queue, endpoint} = createEndpoint();
		start(endpoint, 'task', 2, 1000);
		queue.runUntil(1500);
		expect(start(endpoint, 'task', 2, 3000)).toBe('outdated');
		expect(start(endpoint, 'task', 3, 3000)).toBeTypeOf('number');
	});

	it('a stop with a lower token bars nothing', () => {
		const {endpoint} = createEndpoint();
		start(endpoint, 'other', 1, 1000);
		expect(stop(endpoint, 'task', 3, 4)).toBe('fenced');
		expect(start(endpoint, 'task', 3, 1000)).toBe('no-room');
	});
});
