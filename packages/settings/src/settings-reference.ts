import {z} from 'zod';
import {getInnerSchema} from './describe-faults.js';
import {entrySettingsSchema} from './entry-settings.js';

const head = `# Settings of an entry

Generated from the schema by \`npm run settings-reference\`; a test compares this page with it.

An entry reads one INI file: \`pistachiogauge-entry FILE\`. Paths in it are relative to the file's folder. Faults are listed all at once with file, section, key and allowed values, and the process ends with exit code 2.

The secret file needs at least 16 characters and file mode 600 or 400. Operators' keys are Ed25519 public keys in PEM. \`voucher-ms\` is at least twice \`heartbeat-ms\`, and \`drift-ms\` at least a tenth of \`voucher-ms\`.
`;

/** Formats the reference page of the settings file in Markdown. @internal */
export function formatSettingsReference(): string {
	const sections = Object.entries(entrySettingsSchema.shape).map(([name, schema]) => formatSection(name, getInnerSchema(schema)));
	return [head, ...sections].join('\n');
}

function formatSection(name: string, schema: z.ZodType): string {
	const rows = schema instanceof z.ZodObject
		? Object.entries(schema.shape as Readonly<Record<string, z.ZodType>>).map(([key, member]) => formatRow(key, member))
		: [`| any name | text | | ${getDescription(entrySettingsSchema.shape[name as 'operators'])} |`];
	return [`## [${name}]`, '', '| key | value | default | meaning |', '|---|---|---|---|', ...rows, ''].join('\n');
}

function formatRow(key: string, schema: z.ZodType): string {
	const fallback = schema instanceof z.ZodDefault ? String(schema.def.defaultValue) : 'required';
	return `| \`${key}\` | ${formatValue(getInnerSchema(schema))} | ${fallback} | ${getDescription(schema)} |`;
}

/** Allowed values by schema type. */
const valueFormats: Readonly<Record<string, (schema: z.ZodType) => string>> = {
	enum: schema => (schema as z.ZodEnum).options.map(option => `\`${option}\``).join(', '),
	number: schema => `${(schema as z.ZodNumber).minValue} to ${(schema as z.ZodNumber).maxValue}`,
};

function formatValue(schema: z.ZodType): string {
	return valueFormats[schema.def.type]?.(schema) ?? 'text';
}

function getDescription(schema: z.ZodType): string {
	return schema.description ?? '';
}
