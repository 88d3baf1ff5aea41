/** A frame from another entry does not conform to its schema. @public */
export class PeerFrameError extends Error {
	override readonly name = 'PeerFrameError';
}

/** The other entry of a link has not proved that it knows the shared secret. @public */
export class PeerAuthenticationError extends Error {
	override readonly name = 'PeerAuthenticationError';
}

/** The server for other entries could not listen; the message names the address. @public */
export class PeerListenError extends Error {
	override readonly name = 'PeerListenError';
}
