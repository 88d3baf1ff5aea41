import {decodeFrame, encodeFrame} from '@pistachiogauge/peer';
import {type PeerMessage} from '@pistachiogauge/model';

const roundCount = 2000;
const warmUpCount = 1000;

/** A message between entries that is measured at several sizes. */
export type SizedMessage = {
	readonly message: string;
	/** Unit of the size. */
	readonly unit: string;
	readonly sizes: readonly number[];
	readonly create: (size: number) => PeerMessage;
};

/** Formats a bundle with the keys that an operator usually sets. */
function formatBundle(pools: number, services: number, teams: number): string {
	const lines = ['[bundle]', 'schema-version = 1', 'version = 17'];
	for (let index = 0; index < pools; index++) {
		lines.push(`[pool.pool-${index}]`, 'budget = 2', 'maintenance-period-days = 35', 'min-instances = 4', 'slots-per-instance = 8');
	}

	for (let index = 0; index < services; index++) {
		lines.push(`[service.service-${index}]`, `pool = pool-${index}`, 'class = normal', 'not-executed-statuses = 503', 'deadline-ms = 8000', 'queue-limit = 1000');
	}

	for (let index = 0; index < teams; index++) {
		lines.push(`[team.team-${index}]`, 'max-in-flight = 100', 'weight = 1');
	}

	return lines.join('\n');
}

const key = '01a240c4-4ecd-7abc-8abc-0123456789ab';
/** Messages measured by their bytes and by the processor time of encoding and decoding. */
export const sizedMessages: readonly SizedMessage[] = [
	{
		message: 'heartbeat', unit: 'suspects', sizes: [0, 4, 10], create: size => ({
			kind: 'heartbeat', askedAt: 123_456.789, adoptedEpoch: 42, adoptedProposal: 'entry-1.0a0bb898:7', bundleVersion: 17,
			suspects: Array.from({length: size}, (_, index) => `entry-${index}.0a0bb898`),
		}),
	},
	{
		message: 'voucher', unit: 'none', sizes: [0], create: () => ({
			kind: 'voucher', epoch: 42, proposal: 'entry-1.0a0bb898:7', askedAt: 123_456.789,
		}),
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
				requestId: key, service: 'badges', method: 'POST', path: '/print', headers: [['content-type', 'application/json']], body: new Uint8Array(size),
				requestClass: 'urgent', team: 'desk', isIdempotent: false, mode: 'direct', key, timeLeftMs: 8000,
			},
		}),
	},
	{
		message: 'bundle-sent', unit: 'pools, with a service each and ten teams for each three', sizes: [9, 36, 75], create: size => ({
			kind: 'bundle-sent', bundle: {
				version: 17, text: formatBundle(size, size, Math.round(size * 10 / 3)), signedBy: 'operator', signature: 'A'.repeat(88),
			},
		}),
	},
];

/** Measures the processor time of one encoding and decoding of a message in microseconds. */
export function measureCodec(message: PeerMessage): number {
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
