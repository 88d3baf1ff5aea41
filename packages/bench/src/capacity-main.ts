import {decodeFrame, encodeFrame} from '@pistachiogauge/peer';
import {type PeerMessage} from '@pistachiogauge/model';

/** Prints the bytes and the processor time of messages between entries at several sizes, one JSON object a line. */
const roundCount = 5000;
const warmUpCount = 2000;

type SizedMessage = {
	readonly message: string;
	/** What the size counts. */
	readonly unit: string;
	readonly sizes: readonly number[];
	readonly create: (size: number) => PeerMessage;
};

const key = '01a240c4-4ecd-7abc-8abc-0123456789ab';
const sizedMessages: readonly SizedMessage[] = [
	{
		message: 'heartbeat', unit: 'suspects', sizes: [0, 4, 10], create: size => ({
			kind: 'heartbeat', askedAt: 123_456.789, adoptedEpoch: 42, bundleVersion: 17, suspects: Array.from({length: size}, (_, index) => `entry-${index}.0a0bb898`),
		}),
	},
	{
		message: 'voucher', unit: 'none', sizes: [0], create: () => ({kind: 'voucher', epoch: 42, askedAt: 123_456.789}),
	},
	{
		message: 'key-reserved', unit: 'none', sizes: [0], create: () => ({
			kind: 'key-reserved', epoch: 42, pool: 'badge-desk', key, reservation: '42.1',
		}),
	},
	{
		message: 'forward', unit: 'body bytes', sizes: [100, 1000, 10_000], create: size => ({
			kind: 'forward',
			pool: 'badge-desk',
			request: {
				requestId: key, service: 'badges', method: 'POST', path: '/print', headers: [['content-type', 'application/json']], body: new Uint8Array(size), requestClass: 'urgent', team: 'desk', isIdempotent: false, mode: 'direct', key, timeLeftMs: 8000,
			},
		}),
	},
];

function measureCpuUs(message: PeerMessage): number {
	const run = (count: number) => {
		for (let index = 0; index < count; index++) {
			decodeFrame(encodeFrame(message));
		}
	};

	run(warmUpCount);
	const before = process.cpuUsage();
	run(roundCount);
	const {user, system} = process.cpuUsage(before);
	return (user + system) / roundCount;
}

for (const {message, unit, sizes, create} of sizedMessages) {
	for (const size of sizes) {
		const sample = create(size);
		const line = {
			capacity: message, size, sizeUnit: unit, bytes: encodeFrame(sample).length, cpuUs: Number(measureCpuUs(sample).toPrecision(3)),
		};
		process.stdout.write(`${JSON.stringify(line)}\n`);
	}
}
