import {
	createPublicKey, sign, verify, type KeyObject,
} from 'node:crypto';

/** Headers of an operator's call. @public */
export const operatorHeaders = {
	operator: 'pistachiogauge-operator',
	issuedAt: 'pistachiogauge-issued-at',
	nonce: 'pistachiogauge-nonce',
	signature: 'pistachiogauge-signature',
} as const;

/** What an operator signs. @public */
export type SignedCall = {
	readonly operator: string;
	/** Unix time in milliseconds. */
	readonly issuedAt: number;
	readonly nonce: string;
	readonly body: string;
};

/** Calls older or newer than this are refused, which bounds their reuse. */
const callLifetimeMs = 60_000;

/** Signs a call with an Ed25519 key; returns base64. @public */
export function signOperatorCall(call: SignedCall, privateKey: KeyObject): string {
	return sign(null, encodeCall(call), privateKey).toString('base64');
}

/** Whether a call is signed by the operator's key and recent. @public */
export function verifyOperatorCall(call: SignedCall, signature: string, publicKeyPem: string, wallTime: number): boolean {
	if (!Number.isFinite(call.issuedAt) || Math.abs(wallTime - call.issuedAt) > callLifetimeMs) {
		return false;
	}

	return verify(null, encodeCall(call), createPublicKey(publicKeyPem), Buffer.from(signature, 'base64'));
}

function encodeCall(call: SignedCall): Uint8Array {
	return Buffer.from(JSON.stringify([call.operator, call.issuedAt, call.nonce, call.body]));
}
