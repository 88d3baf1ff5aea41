import {readFileSync} from 'node:fs';
import {dirname, resolve} from 'node:path';
import {parse} from 'ini';
import {z} from 'zod';
import {defaultTimings, type EntryTimings} from '@pistachiogauge/model';
import {describeFaults} from './describe-faults.js';
import {SettingsError} from './settings-error.js';

const addressSchema = z.string().regex(/^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/u, 'expected an IP number and port, such as 127.0.0.1:7000');

function createNumberSchema(minimum: number, maximum: number, fallback: number) {
	return z.coerce.number(`expected a number from ${minimum} to ${maximum}`)
		.min(minimum, `expected a number from ${minimum} to ${maximum}`)
		.max(maximum, `expected a number from ${minimum} to ${maximum}`)
		.default(fallback);
}

/** Schema of an entry's settings file. @public */
export const entrySettingsSchema = z.strictObject({
	entry: z.strictObject({
		name: z.string().regex(/^[\w-]+$/u, 'expected letters, digits, - and _').describe('Name of the instance; the process adds an incarnation to it.'),
		zone: z.string().min(1).describe('Availability zone of the instance.'),
		'caller-address': addressSchema.describe('Where callers and operators connect.'),
		'peer-address': addressSchema.describe('Where other entries connect.'),
		'log-level': z.enum(['debug', 'info', 'warn', 'error']).default('info').describe('Least severity that is logged.'),
		'body-limit-bytes': createNumberSchema(1, 67_108_864, 1_048_576).describe('Largest request and answer body.'),
	}),
	store: z.strictObject({
		addresses: z.string().transform(text => text.split(',').map(part => part.trim())).pipe(z.array(addressSchema).min(1)).describe('Addresses of the key-value service, separated by commas.'),
		'lease-seconds': createNumberSchema(2, 60, 5).describe('Time to live of the entry\'s registration.'),
	}),
	platform: z.strictObject({
		address: addressSchema.describe('Where the platform gives the instance list and takes reboots.'),
		'list-interval-ms': createNumberSchema(100, 60_000, 1000).describe('Interval between readings of the instance list.'),
	}),
	peers: z.strictObject({
		'secret-file': z.string().min(1).describe('File with the secret that all entries share.'),
	}),
	operators: z.record(z.string(), z.string()).default({}).describe('File with the public key of each operator, by name.'),
	timings: z.strictObject({
		'heartbeat-ms': createNumberSchema(50, 5000, defaultTimings.heartbeatMs).describe('Interval between heartbeats.'),
		'voucher-ms': createNumberSchema(200, 2500, defaultTimings.voucherMs).describe('How long a voucher holds.'),
		'drift-ms': createNumberSchema(10, 1000, defaultTimings.driftMs).describe('Allowance for clock drift in a change of owner.'),
		'suspect-ms': createNumberSchema(200, 10_000, defaultTimings.suspectMs).describe('Silence after which a member is suspected.'),
		'clock-skew-ms': createNumberSchema(0, 60_000, defaultTimings.clockSkewMs).describe('Allowed difference between callers\' and entries\' clocks.'),
		'key-retention-ms': createNumberSchema(60_000, 604_800_000, defaultTimings.keyRetentionMs).describe('How long outcomes of non-idempotent requests are kept.'),
		'default-deadline-ms': createNumberSchema(100, 3_600_000, defaultTimings.defaultDeadlineMs).describe('Deadline of requests whose service declares none.'),
	}).prefault({}),
});

/** Settings of an entry process. @public */
export type EntrySettings = {
	readonly name: string;
	readonly zone: string;
	readonly callerAddress: string;
	readonly peerAddress: string;
	readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
	readonly bodyLimitBytes: number;
	readonly storeAddresses: readonly string[];
	readonly leaseSeconds: number;
	readonly platformAddress: string;
	readonly listIntervalMs: number;
	readonly peerSecret: string;
	/** Public keys in PEM, by operator. */
	readonly operatorKeys: Readonly<Record<string, string>>;
	readonly timings: EntryTimings;
};

/**
Reads and checks an entry's settings file.

@throws SettingsError that lists every fault.
@public
*/
export function readEntrySettings(file: string): EntrySettings {
	const parsed = entrySettingsSchema.safeParse(parse(readText(file, file, 'settings')));
	if (!parsed.success) {
		throw new SettingsError(file, describeFaults(parsed.error));
	}

	const {entry, store, platform, peers, operators, timings} = parsed.data;
	const folder = dirname(file);
	return {
		name: entry.name,
		zone: entry.zone,
		callerAddress: entry['caller-address'],
		peerAddress: entry['peer-address'],
		logLevel: entry['log-level'],
		bodyLimitBytes: entry['body-limit-bytes'],
		storeAddresses: store.addresses,
		leaseSeconds: store['lease-seconds'],
		platformAddress: platform.address,
		listIntervalMs: platform['list-interval-ms'],
		peerSecret: readText(file, resolve(folder, peers['secret-file']), '[peers] secret-file').trim(),
		operatorKeys: Object.fromEntries(Object.entries(operators).map(([name, keyFile]) => [name, readText(file, resolve(folder, keyFile), `[operators] ${name}`)])),
		timings: {
			heartbeatMs: timings['heartbeat-ms'],
			voucherMs: timings['voucher-ms'],
			driftMs: timings['drift-ms'],
			suspectMs: timings['suspect-ms'],
			clockSkewMs: timings['clock-skew-ms'],
			keyRetentionMs: timings['key-retention-ms'],
			defaultDeadlineMs: timings['default-deadline-ms'],
		},
	};
}

function readText(file: string, path: string, what: string): string {
	try {
		return readFileSync(path, 'utf8');
	} catch (error) {
		throw new SettingsError(file, [`${what}: cannot read ${path}`], {cause: error});
	}
}
