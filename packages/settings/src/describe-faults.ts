import {type z} from 'zod';

/** Describes each fault with section, key and what is allowed. @internal */
export function describeFaults(error: z.ZodError): string[] {
	return error.issues.flatMap(issue => {
		const section = issue.path.slice(0, -1).join('.');
		const key = String(issue.path.at(-1) ?? '');
		const place = section === '' ? `[${key}]` : `[${section}] ${key}`;
		if (issue.code === 'unrecognized_keys') {
			return issue.keys.map(unknownKey => `[${issue.path.join('.')}] ${unknownKey}: unknown key or section`);
		}

		return [`${place}: ${issue.message}`];
	});
}
