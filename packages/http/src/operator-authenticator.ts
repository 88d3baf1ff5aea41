import {type IncomingMessage} from 'node:http';
import {operatorHeaders, verifyOperatorCall} from './operator-signature.js';

/** Authenticates the calls of operators and rejects replays. @internal */
export type OperatorAuthenticator = {
	/** Whether the call is signed by the operator, recent and not a replay. Each nonce is accepted once. */
	verifyCall(message: IncomingMessage, operator: string, body: string): boolean;
};

/** Twice the validity of a call, so that a nonce is kept until its call would be refused as too old. */
const nonceRetentionMs = 120_000;

/** Creates an authenticator for the operators whose public keys are given in PEM. @internal */
export function createOperatorAuthenticator(operatorKeys: Readonly<Record<string, string>>): OperatorAuthenticator {
	const usedNonces = new Map<string, number>();

	function expireNonces(now: number): void {
		for (const [usedNonce, usedAt] of usedNonces) {
			if (now - usedAt <= nonceRetentionMs) {
				return;
			}

			usedNonces.delete(usedNonce);
		}
	}

	return {
		verifyCall(message, operator, body) {
			const key = Object.hasOwn(operatorKeys, operator) ? operatorKeys[operator] : undefined;
			const issuedAt = Number(message.headers[operatorHeaders.issuedAt]);
			const nonce = String(message.headers[operatorHeaders.nonce] ?? '');
			const signature = String(message.headers[operatorHeaders.signature] ?? '');
			const now = Date.now();
			expireNonces(now);
			const isValid = key !== undefined && !usedNonces.has(nonce) && verifyOperatorCall({
				operator, issuedAt, nonce, body,
			}, signature, key, now);
			if (isValid) {
				usedNonces.set(nonce, now);
			}

			return isValid;
		},
	};
}
