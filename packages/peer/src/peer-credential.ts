import {createHmac, timingSafeEqual} from 'node:crypto';

/** What an entry claims when a link is opened; authenticated by the credential. @public */
export type PeerClaim = {
	/** Entry that makes the claim. */
	readonly from: string;
	/** Entry that the claim is addressed to. */
	readonly to: string;
	/** Unix time in milliseconds. */
	readonly issuedAt: number;
	readonly nonce: string;
};

/** Credentials whose time of issue differs more than this from the present are refused, which limits replays. */
const credentialValidityMs = 60_000;

/** Creates the credential for a claim: an HMAC in hex, which proves knowledge of the shared secret. @public */
export function createPeerCredential(secret: string, claim: PeerClaim): string {
	return createHmac('sha256', secret).update(JSON.stringify([claim.from, claim.to, claim.issuedAt, claim.nonce])).digest('hex');
}

/** Whether a claim is recent and its credential matches. @public */
export function verifyPeerCredential(secret: string, claim: PeerClaim, credential: string, wallTime: number): boolean {
	if (!Number.isFinite(claim.issuedAt) || Math.abs(wallTime - claim.issuedAt) > credentialValidityMs) {
		return false;
	}

	const expected = Buffer.from(createPeerCredential(secret, claim));
	const received = Buffer.from(credential);
	return expected.length === received.length && timingSafeEqual(expected, received);
}
