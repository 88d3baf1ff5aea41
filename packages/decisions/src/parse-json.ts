/** Parses JSON text; returns undefined when it is malformed. @internal */
export function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
