import {createPublicKey} from 'node:crypto';
import {readFileSync, statSync} from 'node:fs';

/** Content of a file, or the reason why it cannot be used. @internal */
export type FileReadResult =
	| {readonly kind: 'read'; readonly text: string}
	| {readonly kind: 'invalid'; readonly reason: string};

const minSecretLength = 16;
const groupAndOthersModeBits = 0o077;

/** Reads the shared secret of the entries. The file must be accessible to its owner only. @internal */
export function readSecretFile(path: string): FileReadResult {
	const result = readTextFile(path);
	if (result.kind === 'invalid') {
		return result;
	}

	const text = result.text.trim();
	if (text.length < minSecretLength) {
		return {kind: 'invalid', reason: `the secret in ${path} has fewer than ${minSecretLength} characters; expected at least ${minSecretLength}`};
	}

	// eslint-disable-next-line no-bitwise
	if ((statSync(path).mode & groupAndOthersModeBits) !== 0) {
		return {kind: 'invalid', reason: `${path} is accessible to users other than its owner; expected file mode 600 or 400`};
	}

	return {kind: 'read', text};
}

/** Reads an operator's Ed25519 public key in PEM format. @internal */
export function readPublicKeyFile(path: string): FileReadResult {
	const result = readTextFile(path);
	if (result.kind === 'invalid') {
		return result;
	}

	try {
		if (createPublicKey(result.text).asymmetricKeyType === 'ed25519') {
			return result;
		}
	} catch {
		// Text that is not a key is reported in the same way as a key of another type.
	}

	return {kind: 'invalid', reason: `${path} does not contain an Ed25519 public key in PEM format`};
}

/** @internal */
export function readTextFile(path: string): FileReadResult {
	try {
		return {kind: 'read', text: readFileSync(path, 'utf8')};
	} catch {
		return {kind: 'invalid', reason: `cannot read ${path}`};
	}
}
