import {type Bundle, type SignedBundle} from './bundle.js';
import {type EntryId, type ZoneName} from './identifiers.js';

/** Time limits of an entry, all in milliseconds. @public */
export type EntryTimings = {
	/** Interval between heartbeats to every other member. */
	readonly heartbeatMs: number;
	/** How long a voucher holds, counted from the moment it was asked for. */
	readonly voucherMs: number;
	/** Added to the voucher time before moved pools change hands; covers clock drift. */
	readonly driftMs: number;
	/** Silence after which a member is suspected. */
	readonly suspectMs: number;
	/** Allowed difference between a caller's clock and an entry's. */
	readonly clockSkewMs: number;
	/** How long outcomes of non-idempotent requests are kept. */
	readonly keyRetentionMs: number;
	/** Time limit for an endpoint's answer when the caller names no deadline. */
	readonly defaultDeadlineMs: number;
};

/** Outcome of reading a signed bundle. @public */
export type BundleVerification =
	| {readonly kind: 'valid'; readonly bundle: Bundle}
	| {readonly kind: 'invalid'; readonly reason: string};

/** What the decisions know about the process that they run in. @public */
export type EntryConfig = {
	readonly id: EntryId;
	readonly zone: ZoneName;
	/** IP number and port of the peer listener. */
	readonly peerAddress: string;
	readonly timings: EntryTimings;
	/** Checks the signature of a bundle and parses its text; returns the reason when either fails. */
	readonly verifyBundle: (bundle: SignedBundle) => BundleVerification;
};

/** @public */
export const defaultTimings: EntryTimings = {
	heartbeatMs: 250,
	voucherMs: 1000,
	driftMs: 100,
	suspectMs: 1000,
	clockSkewMs: 5000,
	keyRetentionMs: 86_400_000,
	defaultDeadlineMs: 10_000,
};
