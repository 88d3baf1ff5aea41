import {z} from 'zod';

/**
Describes each fault with section, key and what is allowed.

@param schema - Schema that was applied; names the keys that are allowed where an unknown one was found.
@internal
*/
export function describeFaults(error: z.ZodError, schema?: z.ZodType): string[] {
	return error.issues.flatMap(issue => {
		if (issue.code === 'unrecognized_keys') {
			const allowed = getObjectSchema(schema, issue.path);
			const keys = allowed === undefined ? '' : `; allowed are ${Object.keys(allowed.shape).join(', ')}`;
			return issue.keys.map(key => `${formatPlace([...issue.path, key])}: unknown key or section${keys}`);
		}

		return [`${formatPlace(issue.path)}: ${isMissing(issue) ? describeMissing(schema, issue.path) : issue.message}`];
	});
}

function formatPlace(path: readonly PropertyKey[]): string {
	const section = path.slice(0, -1).join('.');
	const key = String(path.at(-1) ?? '');
	return section === '' ? `[${key}]` : `[${section}] ${key}`;
}

/** Zod's message for an absent value; a value of the wrong type has another ending. */
function isMissing(issue: z.core.$ZodIssue): boolean {
	return issue.code === 'invalid_type' && issue.message.endsWith('received undefined');
}

function describeMissing(schema: z.ZodType | undefined, path: readonly PropertyKey[]): string {
	const parent = getObjectSchema(schema, path.slice(0, -1));
	const member = parent?.shape[String(path.at(-1))] as z.ZodType | undefined;
	const description = member?.description;
	return description === undefined ? 'missing' : `missing; ${description}`;
}

function getObjectSchema(schema: z.ZodType | undefined, path: readonly PropertyKey[]): z.ZodObject | undefined {
	let current = schema === undefined ? undefined : getInnerSchema(schema);
	for (const key of path) {
		const next = current instanceof z.ZodObject ? current.shape[String(key)] as z.ZodType | undefined : undefined;
		current = next === undefined ? undefined : getInnerSchema(next);
	}

	return current instanceof z.ZodObject ? current : undefined;
}

/** Schema without the wrappers for defaults. @internal */
export function getInnerSchema(schema: z.ZodType): z.ZodType {
	return schema instanceof z.ZodDefault || schema instanceof z.ZodPrefault || schema instanceof z.ZodOptional
		? getInnerSchema(schema.unwrap() as z.ZodType)
		: schema;
}
