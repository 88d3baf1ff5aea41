import {decodeFrame, encodeFrame} from '@pistachiogauge/peer';
import {
	listedInstanceSchema, type Effect, type EffectOf, type EntryEvent, type PeerMessage,
} from '@pistachiogauge/model';
import {
	createListing, createRequest, createSampleEntry, vouchForAll, type SampleEntry,
} from './sample-entry.js';

/** Work whose processor time is measured by its size. */
export type CpuMeasure = {
	readonly name: string;
	readonly unit: string;
	readonly sizes: readonly number[];
	/** Units of work in one run; the result is the time of one of them. */
	readonly rounds: number;
	readonly prepare: (size: number) => () => void;
};

const tickMs = 50;
const heartbeatMs = 250;

/** Carries a message through the codec and applies it. */
function deliver(sample: SampleEntry, from: string, message: PeerMessage): Effect[] {
	const received = decodeFrame(encodeFrame(message));
	return sample.send({kind: `peer-${received.kind}`, from, message: received} as EntryEvent);
}

function findEffect<Kind extends Effect['kind']>(effects: readonly Effect[], kind: Kind): EffectOf<Kind> {
	const found = effects.find(effect => effect.kind === kind);
	if (found === undefined) {
		throw new Error(`no ${kind} among ${effects.map(effect => JSON.stringify(effect)).join(', ')}`);
	}

	return found as EffectOf<Kind>;
}

function prepareTicks(sample: SampleEntry): () => void {
	return () => {
		sample.now += tickMs;
		sample.send({kind: 'tick'});
	};
}

/** One heartbeat interval: own heartbeats and the vouchers for them, the others' heartbeats and own vouchers. */
function prepareExchange(peers: number): () => void {
	const sample = createSampleEntry({ownedPools: 1, peers});
	return () => {
		sample.now += heartbeatMs;
		const sent = sample.send({kind: 'tick'}).filter(({kind}) => kind === 'send-peer') as Array<EffectOf<'send-peer'>>;
		for (const {to, message} of sent) {
			if (message.kind === 'heartbeat') {
				encodeFrame(message);
				deliver(sample, to, {kind: 'voucher', epoch: 1, askedAt: message.askedAt});
				const voucher = findEffect(deliver(sample, to, {
					kind: 'heartbeat', askedAt: sample.now, adoptedEpoch: 1, bundleVersion: 1, suspects: [],
				}), 'send-peer');
				encodeFrame(voucher.message);
			}
		}
	};
}

function answerEndpoint(sample: SampleEntry, effects: readonly Effect[]): Effect[] {
	return sample.send({
		kind: 'endpoint-answered', attemptId: findEffect(effects, 'send-endpoint').attemptId, status: 200, headers: [], body: new Uint8Array(200),
	});
}

/** Keyed requests at the owner: reserve, acknowledgement, endpoint, settle. */
function prepareKeyedOwner(count: number): () => void {
	const sample = createSampleEntry({instances: 1, peers: 1, hasStandby: true});
	let index = 0;
	return () => {
		for (const end = index + count; index < end; index++) {
			sample.now += 1;
			vouchForAll(sample, 1);
			const asked = sample.send({kind: 'request-received', request: createRequest(sample, index, {isIdempotent: false})});
			const {message} = findEffect(asked.filter(effect => effect.kind === 'send-peer' && effect.message.kind === 'key-reserve'), 'send-peer');
			if (message.kind === 'key-reserve') {
				const {epoch, pool, key, reservation} = message;
				encodeFrame(message);
				const cleared = deliver(sample, 'e1', {
					kind: 'key-reserved', epoch, pool, key, reservation,
				});
				const settled = findEffect(answerEndpoint(sample, cleared).filter(effect => effect.kind === 'send-peer' && effect.message.kind === 'key-settled'), 'send-peer');
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
			const reserved = deliver(sample, 'e1', {
				kind: 'key-reserve', epoch: 1, pool: 'pool-0', key, fingerprint: 'f'.repeat(64), reservation, ownerTime: 1_800_000_000_000 + sample.now,
			});
			encodeFrame(findEffect(reserved, 'send-peer').message);
			deliver(sample, 'e1', {
				kind: 'key-settled', pool: 'pool-0', key, reservation, result: {
					outcome: 'completed', status: 200, headers: [], body: new Uint8Array(200),
				},
			});
		}
	};
}

/** Idempotent requests at the receiver: forward and result. */
function prepareForwardReceiver(count: number): () => void {
	const sample = createSampleEntry({ownedPools: 0, otherPools: 1, peers: 1});
	let index = 0;
	return () => {
		for (const end = index + count; index < end; index++) {
			sample.now += 1;
			vouchForAll(sample, 1);
			const request = createRequest(sample, index);
			const forwarded = sample.send({kind: 'request-received', request});
			encodeFrame(findEffect(forwarded, 'send-peer').message);
			findEffect(deliver(sample, 'e1', {
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
			vouchForAll(sample, 1);
			const offered = deliver(sample, 'e1', {kind: 'forward', pool: 'pool-0', request: createRequest(sample, index)});
			const answered = answerEndpoint(sample, offered);
			encodeFrame(findEffect(answered, 'send-peer').message);
		}
	};
}

/** One reading of the platform's instance list, from its JSON text. */
function prepareListing(size: number): () => void {
	const sample = createSampleEntry({ownedPools: 8, instances: size});
	const text = JSON.stringify(createListing(size, 8));
	return () => {
		sample.now += 1000;
		sample.send({kind: 'instances-listed', instances: listedInstanceSchema.array().parse(JSON.parse(text))});
	};
}

const requestCounts = [50, 100, 200];
const instanceCounts = [200, 400, 800, 1600];

/** Work measured by processor time. */
export const cpuMeasures: readonly CpuMeasure[] = [
	{
		name: 'cpu-exchange', unit: 'peers', sizes: [2, 5, 10, 20], rounds: 600, prepare: prepareExchange,
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
		name: 'cpu-list', unit: 'instances listed', sizes: instanceCounts, rounds: 10, prepare: prepareListing,
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

/** Measures the processor time of one unit of work in microseconds. */
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
