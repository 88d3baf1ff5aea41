import {bundleSchema, type Bundle} from '@pistachiogauge/model';
import {parse} from 'ini';
import {z} from 'zod';
import {describeIssues} from './describe-issues.js';
import {SettingsError} from './settings-error.js';

function createIntegerSchema(minimum: number, defaultValue?: number): z.ZodType<number> {
	const message = `expected a whole number from ${minimum} up`;
	const schema = z.coerce.number(message).int(message).min(minimum, message);
	return defaultValue === undefined ? schema : schema.default(defaultValue);
}

const shareErrorMessage = 'expected a share from 0 to 1';
const shareSchema = z.coerce.number(shareErrorMessage).min(0, shareErrorMessage).max(1, shareErrorMessage);

const booleanSchema = z.union([z.boolean(), z.enum(['true', 'false']).transform(text => text === 'true')], 'expected true or false');

const poolSectionSchema = z.strictObject({
	budget: createIntegerSchema(0),
	'maintenance-period-days': z.coerce.number('expected a number of days').positive('expected a number of days').default(35),
	spare: booleanSchema.default(false),
	'min-instances': createIntegerSchema(0, 1),
	'slots-per-instance': createIntegerSchema(1, 8),
});

const serviceSectionSchema = z.strictObject({
	pool: z.string().min(1),
	class: z.enum(['urgent', 'normal', 'deferrable'], 'expected urgent, normal or deferrable').default('normal'),
	'share-urgent': shareSchema.default(0.5),
	'share-normal': shareSchema.default(0.35),
	'share-deferrable': shareSchema.default(0.15),
	'queue-limit': createIntegerSchema(1, 1000),
	'not-executed-statuses': z.string().default('').transform(text => text === '' ? [] : text.split(',').map(Number))
		.pipe(z.array(z.number('expected HTTP statuses separated by commas').int().min(400).max(599))),
	'deadline-ms': createIntegerSchema(1, 10_000),
});

const teamSectionSchema = z.strictObject({
	'max-in-flight': createIntegerSchema(1),
	weight: z.coerce.number('expected a weight above 0').positive('expected a weight above 0').default(1),
});

const bundleTextSchema = z.strictObject({
	bundle: z.strictObject({
		'schema-version': z.coerce.number().pipe(z.literal(1, 'expected 1')),
		version: createIntegerSchema(1),
		expires: z.iso.datetime('expected a time such as 2026-12-31T00:00:00Z').optional(),
	}),
	pool: z.record(z.string(), poolSectionSchema, 'expected at least one section [pool.NAME]'),
	service: z.record(z.string(), serviceSectionSchema, 'expected at least one section [service.NAME]'),
	team: z.record(z.string(), teamSectionSchema).default({}),
});

/**
Parses the INI text of a bundle.

@throws SettingsError that lists every issue with section and key.
@public
*/
export function parseBundle(text: string, file = 'bundle'): Bundle {
	const parsed = bundleTextSchema.safeParse(parse(text));
	if (!parsed.success) {
		throw new SettingsError(file, describeIssues(parsed.error, bundleTextSchema));
	}

	const {bundle, pool, service, team} = parsed.data;
	const issues = Object.entries(service)
		.filter(([, declaration]) => !Object.hasOwn(pool, declaration.pool))
		.map(([name, declaration]) => `[service.${name}] pool: there is no section [pool.${declaration.pool}]; pools are ${Object.keys(pool).join(', ')}`);
	if (issues.length > 0) {
		throw new SettingsError(file, issues);
	}

	return bundleSchema.parse({
		schemaVersion: 1,
		version: bundle.version,
		expiresAt: bundle.expires === undefined ? undefined : Date.parse(bundle.expires),
		pools: convertValues(pool, section => ({
			budget: section.budget,
			maintenancePeriodDays: section['maintenance-period-days'],
			isSpare: section.spare,
			minInstances: section['min-instances'],
			slotsPerInstance: section['slots-per-instance'],
		})),
		services: convertValues(service, section => ({
			pool: section.pool,
			defaultClass: section.class,
			shares: {urgent: section['share-urgent'], normal: section['share-normal'], deferrable: section['share-deferrable']},
			queueLimit: section['queue-limit'],
			notExecutedStatuses: section['not-executed-statuses'],
			defaultDeadlineMs: section['deadline-ms'],
		})),
		teams: convertValues(team, section => ({maxInFlight: section['max-in-flight'], weight: section.weight})),
	});
}

function convertValues<From, To>(record: Readonly<Record<string, From>>, convert: (value: From) => To): Record<string, To> {
	return Object.fromEntries(Object.entries(record).map(([name, value]) => [name, convert(value)]));
}
