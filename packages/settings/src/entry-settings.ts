import {isIPv4} from 'node:net';
import {dirname, resolve} from 'node:path';
import {parse} from 'ini';
import {z} from 'zod';
import {defaultTimings, type EntryTimings} from '@pistachiogauge/model';
import {describeFaults} from './describe-faults.js';
import {
	readPublicKeyFile, readSecretFile, readTextFile, type FileReading,
} from './read-key-files.js';
import {SettingsError} from './settings-error.js';

const maxPort = 65_535;
/** Share of the voucher time by which clocks may drift apart (design page, section 5). */
const minDriftShare = 0.1;

function isAddress(text: string): boolean {
	const [host = '', port = '', ...rest] = text.split(':');
	return rest.length === 0 && isIPv4(host) && /^\d{1,5}$/u.test(port) && Number(port) >= 1 && Number(port) <= maxPort;
}

const addressSchema = z.string().refine(text => isAddress(text), 'expected an IP number and port, such as 127.0.0.1:7000');

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
		'list-interval-ms': createNumberSchema(100, 1000, 1000).describe('Interval between readings of the instance list; planned stops rely on readings of the last 3 s.'),
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
	}).superRefine((timings, context) => {
		if (context.issues.length > 0) {
			return;
		}

		if (timings['voucher-ms'] < 2 * timings['heartbeat-ms']) {
			context.addIssue({code: 'custom', path: ['voucher-ms'], message: 'expected at least twice heartbeat-ms; otherwise vouchers run out between heartbeats'});
		}

		if (timings['drift-ms'] < minDriftShare * timings['voucher-ms']) {
			context.addIssue({code: 'custom', path: ['drift-ms'], message: 'expected at least a tenth of voucher-ms'});
		}
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
	const text = readTextFile(file);
	if (text.kind === 'faulty') {
		throw new SettingsError(file, [text.fault]);
	}

	const values: unknown = parse(text.text);
	const parsed = entrySettingsSchema.safeParse(values);
	const keyFiles = readKeyFiles(values, dirname(file));
	const faults = [...(parsed.success ? [] : describeFaults(parsed.error, entrySettingsSchema)), ...keyFiles.faults];
	if (!parsed.success || faults.length > 0) {
		throw new SettingsError(file, faults);
	}

	const {entry, store, platform, timings} = parsed.data;
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
		peerSecret: keyFiles.secret,
		operatorKeys: keyFiles.operatorKeys,
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

type KeyFiles = {
	readonly secret: string;
	readonly operatorKeys: Readonly<Record<string, string>>;
	readonly faults: readonly string[];
};

/** Takes what names a file and passes over everything else, whose faults the settings' schema reports. */
function createKeyFilePathsSchema() {
	return z.object({
		peers: z.object({'secret-file': z.string().min(1).optional().catch(undefined)}).catch({}),
		operators: z.record(z.string(), z.string().catch('')).catch({}),
	}).partial();
}

/** Reads the files that the settings name, also when other settings have faults, so that all faults are listed at once. */
function readKeyFiles(values: unknown, folder: string): KeyFiles {
	const faults: string[] = [];
	const getText = (place: string, reading: FileReading): string => {
		if (reading.kind === 'read') {
			return reading.text;
		}

		faults.push(`${place}: ${reading.fault}`);
		return '';
	};

	const {peers, operators = {}} = createKeyFilePathsSchema().parse(values);
	const secretFile = peers?.['secret-file'];
	const secret = secretFile === undefined ? '' : getText('[peers] secret-file', readSecretFile(resolve(folder, secretFile)));
	const operatorKeys = Object.fromEntries(Object.entries(operators)
		.filter(([, keyFile]) => keyFile !== '')
		.map(([name, keyFile]) => [name, getText(`[operators] ${name}`, readPublicKeyFile(resolve(folder, keyFile)))]));
	return {secret, operatorKeys, faults};
}
