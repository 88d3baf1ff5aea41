import {isIPv4} from 'node:net';
import {dirname, resolve} from 'node:path';
import {parse} from 'ini';
import {z} from 'zod';
import {defaultTimings, type EntryTimings} from '@pistachiogauge/model';
import {describeIssues} from './describe-issues.js';
import {
	readPublicKeyFile, readSecretFile, readTextFile, type FileReadResult,
} from './read-key-files.js';
import {SettingsError} from './settings-error.js';

const maxPort = 65_535;
/** Clocks may drift apart by at most this share of a voucher's validity (design page, section 5). */
const minDriftShare = 0.1;

function isAddress(text: string): boolean {
	const [host = '', port = '', ...rest] = text.split(':');
	return rest.length === 0 && isIPv4(host) && /^\d{1,5}$/u.test(port) && Number(port) >= 1 && Number(port) <= maxPort;
}

const addressSchema = z.string().refine(text => isAddress(text), 'expected an IPv4 address and port, such as 127.0.0.1:7000');

function createNumberSchema(minimum: number, maximum: number, defaultValue: number) {
	return z.coerce.number(`expected a number from ${minimum} to ${maximum}`)
		.min(minimum, `expected a number from ${minimum} to ${maximum}`)
		.max(maximum, `expected a number from ${minimum} to ${maximum}`)
		.default(defaultValue);
}

/** Schema of an entry's settings file. @public */
export const entrySettingsSchema = z.strictObject({
	entry: z.strictObject({
		name: z.string().regex(/^[\w-]+$/u, 'expected letters, digits, - and _').describe('Name of the entry; its ID also contains an incarnation that changes with every start.'),
		zone: z.string().min(1).describe('Availability zone of the entry.'),
		'caller-address': addressSchema.describe('Listen address for callers and operators.'),
		'peer-address': addressSchema.describe('Listen address for other entries.'),
		'log-level': z.enum(['debug', 'info', 'warn', 'error']).default('info').describe('Minimum severity of log records that are written.'),
		'body-limit-bytes': createNumberSchema(1, 67_108_864, 1_048_576).describe('Maximum size of a request or response body.'),
	}),
	store: z.strictObject({
		addresses: z.string().transform(text => text.split(',').map(part => part.trim())).pipe(z.array(addressSchema).min(1)).describe('Comma-separated addresses of the key-value service.'),
		'lease-seconds': createNumberSchema(2, 60, 5).describe('Time to live of the lease that keeps the entry registered.'),
	}),
	platform: z.strictObject({
		address: addressSchema.describe('Address of the platform service that lists instances and accepts reboot requests.'),
		'list-interval-ms': createNumberSchema(100, 1000, 1000).describe('Interval between polls of the instance list; planned stops require a list no older than 3 s.'),
	}),
	peers: z.strictObject({
		'secret-file': z.string().min(1).describe('File with the shared secret of all entries.'),
	}),
	operators: z.record(z.string(), z.string()).default({}).describe('Public key file of each operator, by operator name.'),
	timings: z.strictObject({
		'heartbeat-ms': createNumberSchema(50, 5000, defaultTimings.heartbeatMs).describe('Interval between heartbeats.'),
		'voucher-ms': createNumberSchema(200, 2500, defaultTimings.voucherMs).describe('Validity of a voucher.'),
		'drift-ms': createNumberSchema(10, 1000, defaultTimings.driftMs).describe('Allowance for clock drift when the owner of a pool changes.'),
		'suspect-ms': createNumberSchema(200, 10_000, defaultTimings.suspectMs).describe('Time without a message after which a member is suspected of having failed.'),
		'clock-skew-ms': createNumberSchema(0, 60_000, defaultTimings.clockSkewMs).describe('Maximum allowed difference between callers\' and entries\' clocks.'),
		'key-retention-ms': createNumberSchema(60_000, 604_800_000, defaultTimings.keyRetentionMs).describe('Retention period of the outcomes of non-idempotent requests.'),
		'default-deadline-ms': createNumberSchema(100, 3_600_000, defaultTimings.defaultDeadlineMs).describe('Deadline for requests whose service does not declare one.'),
	}).superRefine((timings, context) => {
		if (context.issues.length > 0) {
			return;
		}

		if (timings['voucher-ms'] < 2 * timings['heartbeat-ms']) {
			context.addIssue({code: 'custom', path: ['voucher-ms'], message: 'expected at least twice heartbeat-ms; otherwise vouchers expire between heartbeats'});
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
	/** Public keys in PEM format, by operator. */
	readonly operatorKeys: Readonly<Record<string, string>>;
	readonly timings: EntryTimings;
};

/**
Reads and checks an entry's settings file.

@throws SettingsError that lists every issue.
@public
*/
export function readEntrySettings(file: string): EntrySettings {
	const text = readTextFile(file);
	if (text.kind === 'invalid') {
		throw new SettingsError(file, [text.reason]);
	}

	const values: unknown = parse(text.text);
	const parsed = entrySettingsSchema.safeParse(values);
	const keyFiles = readKeyFiles(values, dirname(file));
	const issues = [...(parsed.success ? [] : describeIssues(parsed.error, entrySettingsSchema)), ...keyFiles.issues];
	if (!parsed.success || issues.length > 0) {
		throw new SettingsError(file, issues);
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
	readonly issues: readonly string[];
};

/** Extracts the file paths and ignores everything else; the main schema reports the issues of the other settings. */
function createFilePathsSchema() {
	return z.object({
		peers: z.object({'secret-file': z.string().min(1).optional().catch(undefined)}).catch({}),
		operators: z.record(z.string(), z.string().catch('')).catch({}),
	}).partial();
}

/** Reads the files that the settings refer to, even if other settings are invalid, so that all issues are reported together. */
function readKeyFiles(values: unknown, folder: string): KeyFiles {
	const issues: string[] = [];
	const getTextOrRecordIssue = (location: string, result: FileReadResult): string => {
		if (result.kind === 'read') {
			return result.text;
		}

		issues.push(`${location}: ${result.reason}`);
		return '';
	};

	const {peers, operators = {}} = createFilePathsSchema().parse(values);
	const secretFile = peers?.['secret-file'];
	const secret = secretFile === undefined ? '' : getTextOrRecordIssue('[peers] secret-file', readSecretFile(resolve(folder, secretFile)));
	const operatorKeys = Object.fromEntries(Object.entries(operators)
		.filter(([, keyFile]) => keyFile !== '')
		.map(([name, keyFile]) => [name, getTextOrRecordIssue(`[operators] ${name}`, readPublicKeyFile(resolve(folder, keyFile)))]));
	return {secret, operatorKeys, issues};
}
