const uuidVersion7Pattern = /^[\da-f]{8}-[\da-f]{4}-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/iu;
const timestampDigits = 12;

/** Returns the issue time of a UUIDv7 key in Unix milliseconds (RFC 9562, section 5.7); undefined for any other string. @public */
export function getKeyTime(key: string): number | undefined {
	if (!uuidVersion7Pattern.test(key)) {
		return undefined;
	}

	return Number.parseInt(key.replaceAll('-', '').slice(0, timestampDigits), 16);
}
