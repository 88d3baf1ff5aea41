import {
	createPrivateKey, createPublicKey, generateKeyPairSync, sign, verify, type KeyObject,
} from 'node:crypto';
import {type BundleVerification, type SignedBundle} from '@pistachiogauge/model';
import {parseBundle} from './bundle-text.js';
import {SettingsError} from './settings-error.js';

/** Creates an Ed25519 key pair in PEM format. @public */
export function createKeyPair(): {publicKey: string; privateKey: string} {
	return generateKeyPairSync('ed25519', {
		publicKeyEncoding: {type: 'spki', format: 'pem'},
		privateKeyEncoding: {type: 'pkcs8', format: 'pem'},
	});
}

/**
Validates and signs the text of a bundle.

@throws SettingsError when the text is invalid or the key cannot sign it.
@public
*/
export function signBundle(text: string, operator: string, privateKeyPem: string): SignedBundle {
	const {version} = parseBundle(text);
	return {
		version, text, signedBy: operator, signature: createSignature(text, operator, privateKeyPem),
	};
}

/**
Verifies the signature of a bundle against the operators' public keys and parses its text.

Does not check whether the bundle has expired: a bundle that was accepted before it expired stays valid when it is copied to other entries.

@public
*/
export function verifyBundle(signed: SignedBundle, operatorKeys: Readonly<Record<string, string>>): BundleVerification {
	const issue = findSignatureIssue(signed, operatorKeys);
	if (issue !== undefined) {
		return {kind: 'invalid', reason: issue};
	}

	try {
		const bundle = parseBundle(signed.text);
		return bundle.version === signed.version
			? {kind: 'valid', bundle}
			: {kind: 'invalid', reason: `the text is version ${bundle.version}, not ${signed.version}`};
	} catch (error) {
		return {kind: 'invalid', reason: error instanceof SettingsError ? error.message : 'the text cannot be read'};
	}
}

function findSignatureIssue(signed: SignedBundle, operatorKeys: Readonly<Record<string, string>>): string | undefined {
	const key = Object.hasOwn(operatorKeys, signed.signedBy) ? operatorKeys[signed.signedBy] : undefined;
	if (key === undefined) {
		return `${signed.signedBy} is not a known operator`;
	}

	const publicKey = parsePublicKey(key);
	if (publicKey?.asymmetricKeyType !== 'ed25519') {
		return `the key of ${signed.signedBy} cannot be read`;
	}

	return verify(null, encodeText(signed.text, signed.signedBy), publicKey, Buffer.from(signed.signature, 'base64'))
		? undefined
		: 'the signature does not fit the text';
}

function parsePublicKey(pem: string): KeyObject | undefined {
	try {
		return createPublicKey(pem);
	} catch {
		return undefined;
	}
}

function createSignature(text: string, operator: string, privateKeyPem: string): string {
	try {
		return sign(null, encodeText(text, operator), createPrivateKey(privateKeyPem)).toString('base64');
	} catch (error) {
		throw new SettingsError('key', ['the private key cannot be read; expected Ed25519 in PEM'], {cause: error});
	}
}

function encodeText(text: string, operator: string): Uint8Array {
	return Buffer.from(JSON.stringify(['pistachiogauge-bundle', operator, text]));
}
