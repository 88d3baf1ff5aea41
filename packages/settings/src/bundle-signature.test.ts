import {describe, expect, it} from 'vitest';
import {createKeyPair, signBundle, verifyBundle} from './bundle-signature.js';

const text = [
	'[bundle]', 'schema-version = 1', 'version = 3', 'expires = 2020-01-01T00:00:00Z', '[pool.p]', 'budget = 1', '[service.s]', 'pool = p', '',
].join('\n');
const keys = createKeyPair();
const otherKeys = createKeyPair();
const signed = signBundle(text, 'ana', keys.privateKey);
const operatorKeys = {ana: keys.publicKey, can: otherKeys.publicKey, broken: 'not a key'};

const cases = [
	// Guards against a new entry that cannot copy the active bundle from its peers once the bundle has expired.
	{name: 'an expired bundle stays valid', bundle: signed, expected: 'valid'},
	{name: 'an unknown operator', bundle: {...signed, signedBy: 'eve'}, expected: 'eve is not a known operator'},
	{name: 'an operator name that is a property of Object.prototype', bundle: {...signed, signedBy: 'constructor'}, expected: 'constructor is not a known operator'},
	{name: 'a signature by another operator\'s key', bundle: {...signed, signedBy: 'can'}, expected: 'the signature does not fit the text'},
	{name: 'a changed text', bundle: {...signed, text: text.replace('budget = 1', 'budget = 9')}, expected: 'the signature does not fit the text'},
	{name: 'a version that differs from the text', bundle: {...signed, version: 4}, expected: 'the text is version 3, not 4'},
	// Guards against exceptions on malformed input, which would abort the handling of the event that carries it.
	{name: 'a malformed signature', bundle: {...signed, signature: '%%%'}, expected: 'the signature does not fit the text'},
	{name: 'an empty signature', bundle: {...signed, signature: ''}, expected: 'the signature does not fit the text'},
	{name: 'a malformed key', bundle: {...signed, signedBy: 'broken'}, expected: 'the key of broken cannot be read'},
];

describe('verifyBundle', () => {
	it.each(cases)('$name', ({bundle, expected}) => {
		const result = verifyBundle(bundle, operatorKeys);
		expect(result.kind === 'valid' ? 'valid' : result.reason).toBe(expected);
	});
});

describe('signBundle', () => {
	it.each(['not a key', otherKeys.publicKey])('rejects a key that cannot sign', key => {
		expect(() => signBundle(text, 'ana', key)).toThrow('the private key cannot be read');
	});
});
