import {decodeFrame, encodeFrame} from '@pistachiogauge/peer';
import {
	listedInstanceSchema, type Effect, type EffectOf, type EntryEvent, type PeerMessage,
} from '@pistachiogauge/model';
import {
	createInstanceList, createRequest, createSampleEntry, renewVouchers, type SampleEntry,
} from './sample-entry.js';

/** An operation whose processor time is measured at several sizes. */
export type CpuMeasure = {
	readonly name: string;
	readonly unit: string;
	readonly sizes: readonly number[];
	/** Number of repetitions in one measurement; the result is the time of one of them. */
	readonly rounds: number;
	readonly prepare: (size: number) => () => void;
};

const tickMs = 50;
const heartbeatMs = 250;

/** Encodes and decodes a message, then applies it. */
function deliverMessage(sample: SampleEntry, from: string, message: PeerMessage): Effect[] {
	const received = decodeFrame(encodeFrame(message));
	return sample.applyEvent({kind: `peer-${received.kind}`, from, message: received} as EntryEvent);
}

function findEffect<Kind extends Effect['kind']>(effects: readonly Effect[], kind: Kind): EffectOf<Kind> {
	const found = effects.find(effect => effect.kind === kind);
	if (found === undefined) {
		throw new Error(`expected an effect ${kind}, got ${effects.map(effect => JSON.stringify(effect)).join(', ')}`);
	}

	return found as EffectOf<Kind>;
}

function prepareTicks(sample: SampleEntry): () => void {
	return () => {
		sample.now += tickMs;
		sample.applyEvent({kind: 'tick'});
	};
}

/** One heartbeat interval: the entry's heartbeats and the vouchers that answer them, and the peers' heartbeats and the entry's vouchers for them. */
function prepareHeartbeatExchange(peers: number): () => void {
	const sample = createSampleEntry({ownedPools: 1, peers});
	return () => {
		sample.now += heartbeatMs;
		const sent = sample.applyEvent({kind: 'tick'}).filter(({kind}) => kind === 'send-peer') as Array<EffectOf<'send-peer'>>;
		for (const {to, message} of sent) {
			if (message.kind === 'heartbeat') {
				encodeFrame(message);
				deliverMessage(sample, to, {kind: 'voucher', epoch: 1, askedAt: message.askedAt});
				const voucherEffect = findEffect(deliverMessage(sample, to, {
					kind: 'heartbeat', askedAt: sample.now, adoptedEpoch: 1, bundleVersion: 1, suspects: [],
				}), 'send-peer');
				encodeFrame(voucherEffect.message);
			}
		}
	};
}

function sendEndpointAnswer(sample: SampleEntry, effects: readonly Effect[]): Effect[] {
	return sample.applyEvent({
		kind: 'endpoint-answered', attemptId: findEffect(effects, 'send-endpoint').attemptId, status: 200, headers: [], body: new Uint8Array(200),
	});
}

/** Keyed requests at the owner: reservation at the standby, its acknowledgement, the endpoint's answer, and the result sent to the standby. */
function prepareKeyedOwner(count: number): () => void {
	const sample = createSampleEntry({instances: 1, peers: 1, hasStandby: true});
	let index = 0;
	return () => {
		for (const end = index + count; index < end; index++) {
			sample.now += 1;
			renewVouchers(sample, 1);
			const effects = sample.applyEvent({kind: 'request-received', request: createRequest(sample, index, {isIdempotent: false})});
			const {message} = findEffect(effects.filter(effect => effect.kind === 'send-peer' && effect.message.kind === 'key-reserve'), 'send-peer');
			if (message.kind === 'key-reserve') {
				const {epoch, pool, key, reservation} = message;
				encodeFrame(message);
				const dispatched = deliverMessage(sample, 'e1', {
					kind: 'key-reserved', epoch, pool, key, reservation,
				});
				const settled = findEffect(sendEndpointAnswer(sample, dispatched).filter(effect => effect.kind === 'send-peer' && effect.message.kind === 'key-settled'), 'send-peer');
				encodeFrame(settled.message);
			}
		}
	};
}

/** The same requests at the standby. */
function prepareKeyedStandby(count: number): () => void {
	const sample = createSampleEntry({
		ownedPools: 0, otherPools: 1, peers: 1, isStandby: true,
	});
	let index = 0;
	return () => {
		for (const end = index + count; index < end; index++) {
			sample.now += 1;
			const key = createRequest(sample, index).key!;
			const reservation = `e1:${index}`;
			const reserveEffects = deliverMessage(sample, 'e1', {
				kind: 'key-reserve', epoch: 1, pool: 'pool-0', key, fingerprint: 'f'.repeat(64), reservation, ownerTime: 1_800_000_000_000 + sample.now,
			});
			encodeFrame(findEffect(reserveEffects, 'send-peer').message);
			deliverMessage(sample, 'e1', {
				kind: 'key-settled', pool: 'pool-0', key, reservation, result: {
					outcome: 'completed', status: 200, headers: [], body: new Uint8Array(200),
				},
			});
		}
	};
}

/** Idempotent requests at the receiving entry, which forwards them and returns the result. */
function prepareForwardReceiver(count: number): () => void {
	const sample = createSampleEntry({ownedPools: 0, otherPools: 1, peers: 1});
	let index = 0;
	return () => {
		for (const end = index + count; index < end; index++) {
			sample.now += 1;
			renewVouchers(sample, 1);
			const request = createRequest(sample, index);
			const forwarded = sample.applyEvent({kind: 'request-received', request});
			encodeFrame(findEffect(forwarded, 'send-peer').message);
			findEffect(deliverMessage(sample, 'e1', {
				kind: 'result', requestId: request.requestId, result: {
					outcome: 'completed', status: 200, headers: [], body: new Uint8Array(200),
				},
			}), 'answer-caller');
		}
	};
}

/** The same requests at the owner. */
function prepareForwardOwner(count: number): () => void {
	const sample = createSampleEntry({instances: 1, peers: 1});
	let index = 0;
	return () => {
		for (const end = index + count; index < end; index++) {
			sample.now += 1;
			renewVouchers(sample, 1);
			const dispatched = deliverMessage(sample, 'e1', {kind: 'forward', pool: 'pool-0', request: createRequest(sample, index)});
			const answered = sendEndpointAnswer(sample, dispatched);
			encodeFrame(findEffect(answered, 'send-peer').message);
		}
	};
}

/** Parses the JSON text of the platform's instance list and applies it. */
function prepareInstanceList(size: number): () => void {
	const sample = createSampleEntry({ownedPools: 8, instances: size});
	const text = JSON.stringify(createInstanceList(size, 8));
	return () => {
		sample.now += 1000;
		sample.applyEvent({kind: 'instances-listed', instances: listedInstanceSchema.array().parse(JSON.parse(text))});
	};
}

const requestCounts = [50, 100, 200];
const instanceCounts = [200, 400, 800, 1600];

/** Operations measured by processor time. */
export const cpuMeasures: readonly CpuMeasure[] = [
	{
		name: 'cpu-exchange', unit: 'peers', sizes: [2, 5, 10, 20], rounds: 600, prepare: prepareHeartbeatExchange,
	},
	{
		name: 'cpu-tick-pools', unit: 'owned pools, 160 instances', sizes: [2, 4, 8, 16], rounds: 200, prepare: size => prepareTicks(createSampleEntry({ownedPools: size, instances: 160})),
	},
	{
		name: 'cpu-tick-instances-1', unit: 'instances known, 1 owned pool of 75', sizes: instanceCounts, rounds: 200, prepare: size => prepareTicks(createSampleEntry({
			ownedPools: 1, otherPools: 74, instances: size,
		})),
	},
	{
		name: 'cpu-tick-instances-8', unit: 'instances known, 8 owned pools of 75', sizes: instanceCounts, rounds: 100, prepare: size => prepareTicks(createSampleEntry({
			ownedPools: 8, otherPools: 67, instances: size,
		})),
	},
	{
		name: 'cpu-list', unit: 'instances listed', sizes: instanceCounts, rounds: 10, prepare: prepareInstanceList,
	},
	{
		name: 'cpu-keyed-owner', unit: 'requests', sizes: requestCounts, rounds: 10, prepare: prepareKeyedOwner,
	},
	{
		name: 'cpu-keyed-standby', unit: 'requests', sizes: requestCounts, rounds: 10, prepare: prepareKeyedStandby,
	},
	{
		name: 'cpu-forward-receiver', unit: 'requests', sizes: requestCounts, rounds: 10, prepare: prepareForwardReceiver,
	},
	{
		name: 'cpu-forward-owner', unit: 'requests', sizes: requestCounts, rounds: 10, prepare: prepareForwardOwner,
	},
];

/** Measures the processor time of one repetition in microseconds. */
export function measureCpu({rounds, prepare}: CpuMeasure, size: number): number {
	const run = prepare(size);
	for (let round = 0; round < rounds; round++) {
		run();
	}

	const before = process.cpuUsage();
	for (let round = 0; round < rounds; round++) {
		run();
	}

	const {user, system} = process.cpuUsage(before);
	return (user + system) / rounds;
}
