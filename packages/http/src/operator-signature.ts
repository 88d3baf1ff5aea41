import {
	createPublicKey, sign, verify, type KeyObject,
} from 'node:crypto';

/** Header names of an operator call. @public */
export const operatorHeaders = {
	operator: 'pistachiogauge-operator',
	issuedAt: 'pistachiogauge-issued-at',
	nonce: 'pistachiogauge-nonce',
	signature: 'pistachiogauge-signature',
} as const;

/** The part of an operator call that the signature covers. @public */
export type OperatorCallPayload = {
	readonly operator: string;
	/** Unix time in milliseconds. */
	readonly issuedAt: number;
	readonly nonce: string;
	readonly body: string;
};

/** Calls whose time of issue differs more than this from the present are refused, which limits replays. */
const callValidityMs = 60_000;

/** Signs a call with an Ed25519 key and returns the signature in base64. @public */
export function signOperatorCall(call: OperatorCallPayload, privateKey: KeyObject): string {
	return sign(null, encodePayload(call), privateKey).toString('base64');
}

/** Whether a call is recent and its signature matches the operator's public key. @public */
export function verifyOperatorCall(call: OperatorCallPayload, signature: string, publicKeyPem: string, wallTime: number): boolean {
	if (!Number.isFinite(call.issuedAt) || Math.abs(wallTime - call.issuedAt) > callValidityMs) {
		return false;
	}

	return verify(null, encodePayload(call), createPublicKey(publicKeyPem), Buffer.from(signature, 'base64'));
}

function encodePayload(call: OperatorCallPayload): Uint8Array {
	return Buffer.from(JSON.stringify([call.operator, call.issuedAt, call.nonce, call.body]));
}
