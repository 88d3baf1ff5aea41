/**
Stand-ins for the platform, its key-value store and the endpoints, used by tests and the demo.

@packageDocumentation
*/
export {
	createEndpointStandin, type EndpointStandin, type EndpointStandinOptions, type EndpointFault,
} from './endpoint-standin.js';
export {createPlatformStandin, type PlatformStandin, type PlatformStandinOptions} from './platform-standin.js';
export {createStoreStandin, type StoreStandin, type StoreFaults} from './store-standin.js';
export {KeyValueStore, type StoredChange, type StoredPair} from './key-value-store.js';
