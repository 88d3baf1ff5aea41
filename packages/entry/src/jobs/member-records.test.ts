import {describe, expect, it} from 'vitest';
import {decodeMember} from './job-records.js';

const member = {incarnation: 'first', weight: 1};
const peerServer = {address: '10.1.2.3:8624', secret: 'abc'};
const cases: ReadonlyArray<{readonly name: string; readonly record: Record<string, unknown>; readonly expected: unknown}> = [
	{name: 'of an earlier version', record: member, expected: undefined},
	{name: 'with a peer server', record: {...member, peerServer}, expected: peerServer},
	{name: 'of a later version', record: {...member, peerServer: {...peerServer, protocol: 2}, region: 'x'}, expected: peerServer},
	{name: 'with an address that is none', record: {...member, peerServer: {...peerServer, address: 'http://host/path'}}, expected: undefined},
	{name: 'without a secret', record: {...member, peerServer: {address: peerServer.address}}, expected: undefined},
	{name: 'with a peer server that is no object', record: {...member, peerServer: 7}, expected: undefined},
];

// Guards against an entry that counts as gone, so that its pools are claimed, because its address for relayed requests cannot be read.
describe('the registration of an entry', () => {
	it.each(cases)('$name is read', ({record, expected}) => {
		expect(decodeMember({key: 'shared/entry/e1', value: JSON.stringify(record), revision: 1})).toEqual({...member, node: 'e1', peerServer: expected});
	});
});
