import {describe, expect, it} from 'vitest';
import {type PeerMessage} from '@pistachiogauge/model';
import {decodeFrame, encodeFrame} from './frame-codec.js';
import {PeerFrameError} from './peer-errors.js';

const result = {
	outcome: 'completed' as const, reason: undefined, status: 200, headers: [['etag', 'a']] as Array<[string, string]>, body: new Uint8Array([0, 255]), retryAfterMs: undefined,
};

const messages: readonly PeerMessage[] = [
	{
		kind: 'key-settled', pool: 'p', key: 'k', reservation: 'a.1:1', result,
	},
	{
		kind: 'key-settled', pool: 'p', key: 'k', reservation: 'a.1:1', result: undefined,
	},
	{
		kind: 'keys-copied',
		epoch: 3,
		pool: 'p',
		transfer: 2,
		index: 0,
		isLast: true,
		isHandover: true,
		// The coverage of a pool that has never run a request starts at minus infinity.
		coverageSince: Number.NEGATIVE_INFINITY,
		services: [{service: 's', since: 5}],
		keys: [
			{
				key: 'k', fingerprint: 'f', reservation: 'a.1:1', result,
			},
			{
				key: 'l', fingerprint: 'f', reservation: 'a.1:2', result: undefined,
			},
		],
	},
	{
		kind: 'keys-received', epoch: 3, pool: 'p', transfer: 2, index: 0,
	},
];

// Guards against an encoding that loses the bytes of a result or the start of the coverage when keys are copied.
describe('frames with idempotency keys', () => {
	it.each(messages)('$kind is decoded to the message that was encoded', message => {
		expect(decodeFrame(encodeFrame(message))).toEqual(message);
	});

	it('refuses bytes that are not a frame', () => {
		expect(() => decodeFrame(new Uint8Array([255]))).toThrow(PeerFrameError);
	});
});
