/** A frame from another entry does not fit its schema. @public */
export class PeerFrameError extends Error {
	override readonly name = 'PeerFrameError';
}

/** The other side of a link has not proved that it knows the shared secret. @public */
export class PeerAuthenticationError extends Error {
	override readonly name = 'PeerAuthenticationError';
}

/** The listener for other entries could not be opened. The message names the address. @public */
export class PeerListenError extends Error {
	override readonly name = 'PeerListenError';
}
