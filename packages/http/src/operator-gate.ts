import {type IncomingMessage} from 'node:http';
import {operatorHeaders, verifyOperatorCall} from './operator-signature.js';

/** Decides whether a call was made by an operator, each call once. @internal */
export type OperatorGate = {
	isAuthentic(message: IncomingMessage, operator: string, body: string): boolean;
};

/** Twice the time for which a call is accepted, so that a nonce is forgotten only when its call is too old anyway. */
const nonceRetentionMs = 120_000;

/** Creates a gate for operators with the given public keys in PEM. @internal */
export function createOperatorGate(operatorKeys: Readonly<Record<string, string>>): OperatorGate {
	const usedNonces = new Map<string, number>();

	function dropOldNonces(now: number): void {
		for (const [used, at] of usedNonces) {
			if (now - at <= nonceRetentionMs) {
				return;
			}

			usedNonces.delete(used);
		}
	}

	return {
		isAuthentic(message, operator, body) {
			const key = Object.hasOwn(operatorKeys, operator) ? operatorKeys[operator] : undefined;
			const issuedAt = Number(message.headers[operatorHeaders.issuedAt]);
			const nonce = String(message.headers[operatorHeaders.nonce] ?? '');
			const signature = String(message.headers[operatorHeaders.signature] ?? '');
			const now = Date.now();
			dropOldNonces(now);
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
