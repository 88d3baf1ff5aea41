import {
	createPrivateKey, createPublicKey, generateKeyPairSync, sign, verify,
} from 'node:crypto';
import {type BundleReading, type SignedBundle} from '@pistachiogauge/model';
import {parseBundle} from './bundle-text.js';
import {SettingsError} from './settings-error.js';

/** Creates an Ed25519 key pair in PEM. @public */
export function createKeyPair(): {publicKey: string; privateKey: string} {
	return generateKeyPairSync('ed25519', {
		publicKeyEncoding: {type: 'spki', format: 'pem'},
		privateKeyEncoding: {type: 'pkcs8', format: 'pem'},
	});
}

/**
Checks and signs the text of a bundle.

@throws SettingsError when the text has faults.
@public
*/
export function signBundle(text: string, operator: string, privateKeyPem: string): SignedBundle {
	const {version} = parseBundle(text);

	const signature = sign(null, encodeText(text, operator), createPrivateKey(privateKeyPem)).toString('base64');
	return {
		version, text, signedBy: operator, signature,
	};
}

/** Checks the signature of a bundle against the operators' public keys and parses its text. @public */
export function verifyBundle(signed: SignedBundle, operatorKeys: Readonly<Record<string, string>>, wallTime: number): BundleReading {
	const key = Object.hasOwn(operatorKeys, signed.signedBy) ? operatorKeys[signed.signedBy] : undefined;
	if (key === undefined) {
		return {kind: 'invalid', reason: `${signed.signedBy} is not a known operator`};
	}

	if (!verify(null, encodeText(signed.text, signed.signedBy), createPublicKey(key), Buffer.from(signed.signature, 'base64'))) {
		return {kind: 'invalid', reason: 'the signature does not fit the text'};
	}

	try {
		const bundle = parseBundle(signed.text);
		if (bundle.version !== signed.version) {
			return {kind: 'invalid', reason: `the text is version ${bundle.version}, not ${signed.version}`};
		}

		if (bundle.expiresAt !== undefined && bundle.expiresAt <= wallTime) {
			return {kind: 'invalid', reason: 'the bundle has expired'};
		}

		return {kind: 'valid', bundle};
	} catch (error) {
		return {kind: 'invalid', reason: error instanceof SettingsError ? error.message : 'the text cannot be read'};
	}
}

function encodeText(text: string, operator: string): Uint8Array {
	return Buffer.from(JSON.stringify(['pistachiogauge-bundle', operator, text]));
}
