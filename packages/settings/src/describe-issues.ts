import {z} from 'zod';

/**
Describes each validation issue with its section, its key and the allowed values.

@param schema - Schema that was applied; used to list the allowed keys next to an unknown one.
@internal
*/
export function describeIssues(error: z.ZodError, schema?: z.ZodType): string[] {
	return error.issues.flatMap(issue => {
		if (issue.code === 'unrecognized_keys') {
			const allowed = getObjectSchema(schema, issue.path);
			const keys = allowed === undefined ? '' : `; allowed are ${Object.keys(allowed.shape).join(', ')}`;
			return issue.keys.map(key => `${formatLocation([...issue.path, key])}: unknown key or section${keys}`);
		}

		return [`${formatLocation(issue.path)}: ${isMissingValue(issue) ? describeMissingValue(schema, issue.path) : issue.message}`];
	});
}

function formatLocation(path: readonly PropertyKey[]): string {
	const section = path.slice(0, -1).join('.');
	const key = String(path.at(-1) ?? '');
	return section === '' ? `[${key}]` : `[${section}] ${key}`;
}

/** Zod reports an absent value as `invalid_type`; only the end of the message distinguishes it from a value of the wrong type. */
function isMissingValue(issue: z.core.$ZodIssue): boolean {
	return issue.code === 'invalid_type' && issue.message.endsWith('received undefined');
}

function describeMissingValue(schema: z.ZodType | undefined, path: readonly PropertyKey[]): string {
	const parent = getObjectSchema(schema, path.slice(0, -1));
	const member = parent?.shape[String(path.at(-1))] as z.ZodType | undefined;
	const description = member?.description;
	return description === undefined ? 'missing' : `missing; ${description}`;
}

function getObjectSchema(schema: z.ZodType | undefined, path: readonly PropertyKey[]): z.ZodObject | undefined {
	let current = schema === undefined ? undefined : unwrapSchema(schema);
	for (const key of path) {
		const next = current instanceof z.ZodObject ? current.shape[String(key)] as z.ZodType | undefined : undefined;
		current = next === undefined ? undefined : unwrapSchema(next);
	}

	return current instanceof z.ZodObject ? current : undefined;
}

/** Removes the wrappers for default and optional values from a schema. @internal */
export function unwrapSchema(schema: z.ZodType): z.ZodType {
	return schema instanceof z.ZodDefault || schema instanceof z.ZodPrefault || schema instanceof z.ZodOptional
		? unwrapSchema(schema.unwrap() as z.ZodType)
		: schema;
}
