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
		// A pool that has run nothing before is covered from the beginning of time.
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

// Guards against a copy of keys that loses a result's bytes or the beginning of the coverage on its way.
describe('frames with keys', () => {
	it.each(messages)('$kind comes back as it was sent', message => {
		expect(decodeFrame(encodeFrame(message))).toEqual(message);
	});

	it('refuses bytes that are no frame', () => {
		expect(() => decodeFrame(new Uint8Array([255]))).toThrow(PeerFrameError);
	});
});
