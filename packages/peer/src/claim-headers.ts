import {createPeerCredential, type PeerClaim} from './peer-credential.js';

const headerNames = {
	from: 'pistachiogauge-from',
	to: 'pistachiogauge-to',
	issuedAt: 'pistachiogauge-issued-at',
	nonce: 'pistachiogauge-nonce',
	credential: 'pistachiogauge-credential',
} as const;

/** Writes a claim and its credential into the headers of a link's stream. @internal */
export function writeClaimHeaders(headers: Headers, secret: string, claim: PeerClaim): void {
	headers.set(headerNames.from, claim.from);
	headers.set(headerNames.to, claim.to);
	headers.set(headerNames.issuedAt, String(claim.issuedAt));
	headers.set(headerNames.nonce, claim.nonce);
	headers.set(headerNames.credential, createPeerCredential(secret, claim));
}

/** Reads the claim of the other entry; a missing header becomes an invalid value. @internal */
export function readClaimHeaders(headers: Headers): PeerClaim {
	return {
		from: headers.get(headerNames.from) ?? '',
		to: headers.get(headerNames.to) ?? '',
		issuedAt: Number(headers.get(headerNames.issuedAt) ?? Number.NaN),
		nonce: headers.get(headerNames.nonce) ?? '',
	};
}

/** Reads the credential for the claim of the other entry. @internal */
export function readCredentialHeader(headers: Headers): string {
	return headers.get(headerNames.credential) ?? '';
}
