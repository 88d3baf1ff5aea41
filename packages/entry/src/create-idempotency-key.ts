import {randomBytes} from 'node:crypto';

/** Creates a UUIDv7 (RFC 9562, section 5.7) for a request without an idempotency key. @public */
export function createIdempotencyKey(wallTime: number): string {
	const time = Math.floor(wallTime).toString(16).padStart(12, '0');
	const random = randomBytes(10).toString('hex');
	const variant = ((Number.parseInt(random[3]!, 16) % 4) + 8).toString(16);
	return `${time.slice(0, 8)}-${time.slice(8)}-7${random.slice(0, 3)}-${variant}${random.slice(4, 7)}-${random.slice(7, 19)}`;
}
