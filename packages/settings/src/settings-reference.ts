import {z} from 'zod';
import {unwrapSchema} from './describe-issues.js';
import {entrySettingsSchema} from './entry-settings.js';

const pageHeader = `# Settings of an entry

Generated from the schema by \`npm run settings-reference\`; a test checks that this page is current.

An entry reads one INI file: \`pistachiogauge-entry FILE\`. Paths in the file are relative to its folder. If the file is invalid, the process reports all issues with file, section, key and allowed values, and exits with code 2.

The secret file needs at least 16 characters and file mode 600 or 400. Operators' keys are Ed25519 public keys in PEM format. \`voucher-ms\` must be at least twice \`heartbeat-ms\`, and \`drift-ms\` at least a tenth of \`voucher-ms\`.
`;

/** Formats the reference page of the settings file as Markdown. @internal */
export function formatSettingsReference(): string {
	const sections = Object.entries(entrySettingsSchema.shape).map(([name, schema]) => formatSection(name, unwrapSchema(schema)));
	return [pageHeader, ...sections].join('\n');
}

function formatSection(name: string, schema: z.ZodType): string {
	const rows = schema instanceof z.ZodObject
		? Object.entries(schema.shape as Readonly<Record<string, z.ZodType>>).map(([key, member]) => formatRow(key, member))
		: [`| any name | text | | ${getDescription(entrySettingsSchema.shape[name as 'operators'])} |`];
	return [`## [${name}]`, '', '| key | value | default | meaning |', '|---|---|---|---|', ...rows, ''].join('\n');
}

function formatRow(key: string, schema: z.ZodType): string {
	const defaultText = schema instanceof z.ZodDefault ? String(schema.def.defaultValue) : 'required';
	return `| \`${key}\` | ${formatValue(unwrapSchema(schema))} | ${defaultText} | ${getDescription(schema)} |`;
}

/** Formatters of the allowed values, by schema type. */
const valueFormatters: Readonly<Record<string, (schema: z.ZodType) => string>> = {
	enum: schema => (schema as z.ZodEnum).options.map(option => `\`${option}\``).join(', '),
	number: schema => `${(schema as z.ZodNumber).minValue} to ${(schema as z.ZodNumber).maxValue}`,
};

function formatValue(schema: z.ZodType): string {
	return valueFormatters[schema.def.type]?.(schema) ?? 'text';
}

function getDescription(schema: z.ZodType): string {
	return schema.description ?? '';
}
