/**
Client of the platform's key-value service over its JSON gateway.

@packageDocumentation
*/
export {createStoreClient, type StoreClient, type StoreClientOptions} from './store-client.js';
export {StoreError} from './store-error.js';
