import {createHmac, timingSafeEqual} from 'node:crypto';

/** What a side of a link proves about itself. @public */
export type PeerClaim = {
	/** Entry that speaks. */
	readonly from: string;
	/** Entry that it speaks to. */
	readonly to: string;
	/** Unix time in milliseconds. */
	readonly issuedAt: number;
	readonly nonce: string;
};

/** Credentials older or newer than this are refused, which bounds their reuse. */
const credentialLifetimeMs = 60_000;

/** Creates the proof that the sender of a claim knows the shared secret, in hex. @public */
export function createPeerCredential(secret: string, claim: PeerClaim): string {
	return createHmac('sha256', secret).update(JSON.stringify([claim.from, claim.to, claim.issuedAt, claim.nonce])).digest('hex');
}

/** Whether a credential belongs to the claim and is recent. @public */
export function verifyPeerCredential(secret: string, claim: PeerClaim, credential: string, wallTime: number): boolean {
	if (!Number.isFinite(claim.issuedAt) || Math.abs(wallTime - claim.issuedAt) > credentialLifetimeMs) {
		return false;
	}

	const expected = Buffer.from(createPeerCredential(secret, claim));
	const given = Buffer.from(credential);
	return expected.length === given.length && timingSafeEqual(expected, given);
}
