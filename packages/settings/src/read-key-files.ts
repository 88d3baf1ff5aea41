import {createPublicKey} from 'node:crypto';
import {readFileSync, statSync} from 'node:fs';

/** Content of a file, or why it cannot be used. @internal */
export type FileReading =
	| {readonly kind: 'read'; readonly text: string}
	| {readonly kind: 'faulty'; readonly fault: string};

const minSecretLength = 16;
/** Permission bits of group and others. */
const sharedModeBits = 0o077;

/** Reads the secret that entries share. The file must be readable for its owner only. @internal */
export function readSecretFile(path: string): FileReading {
	const reading = readTextFile(path);
	if (reading.kind === 'faulty') {
		return reading;
	}

	const text = reading.text.trim();
	if (text.length < minSecretLength) {
		return {kind: 'faulty', fault: `the secret in ${path} has fewer characters than the required ${minSecretLength}; expected at least ${minSecretLength}`};
	}

	// eslint-disable-next-line no-bitwise
	if ((statSync(path).mode & sharedModeBits) !== 0) {
		return {kind: 'faulty', fault: `${path} is accessible for others than its owner; expected file mode 600 or 400`};
	}

	return {kind: 'read', text};
}

/** Reads an operator's public key in PEM. @internal */
export function readPublicKeyFile(path: string): FileReading {
	const reading = readTextFile(path);
	if (reading.kind === 'faulty') {
		return reading;
	}

	try {
		if (createPublicKey(reading.text).asymmetricKeyType === 'ed25519') {
			return reading;
		}
	} catch {
		// Text that is no key is reported like a key of another kind.
	}

	return {kind: 'faulty', fault: `${path} holds no Ed25519 public key in PEM`};
}

/** @internal */
export function readTextFile(path: string): FileReading {
	try {
		return {kind: 'read', text: readFileSync(path, 'utf8')};
	} catch {
		return {kind: 'faulty', fault: `cannot read ${path}`};
	}
}
