/**
Network links between entries: one bidirectional stream for each pair.

@packageDocumentation
*/
export {decodeFrame, encodeFrame} from './frame-codec.js';
export {createPeerNetwork} from './peer-network.js';
export {type PeerNetwork, type PeerNetworkOptions} from './peer-network-options.js';
export {PeerAuthenticationError, PeerFrameError, PeerListenError} from './peer-errors.js';
export {createPeerCredential, verifyPeerCredential} from './peer-credential.js';
