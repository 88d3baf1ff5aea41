/**
HTTP server for callers and operators, and HTTP client for endpoints.

@packageDocumentation
*/
export {createCallerServer, type CallerServer, type CallerServerOptions} from './caller-server.js';
export {createEndpointClient, type EndpointClient, type EndpointClientOptions} from './endpoint-client.js';
export {HttpRequestError, ListenError} from './http-errors.js';
export {listen} from './listen.js';
export {discardBody, readBody} from './read-body.js';
export {parseServiceRequest} from './service-request.js';
export {
	operatorHeaders, signOperatorCall, verifyOperatorCall, type OperatorCallPayload,
} from './operator-signature.js';
