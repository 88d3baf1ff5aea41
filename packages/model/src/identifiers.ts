/** Identifier of one incarnation of an entry process; it changes with every restart. @public */
export type EntryId = string;

/** Name of a pool of instances. @public */
export type PoolName = string;

/** Name of a service, as used in request paths. @public */
export type ServiceName = string;

/** Identifier of an instance in the platform's instance list. @public */
export type InstanceId = string;

/** Identifier of a caller's request, unique across all entries. @public */
export type RequestId = string;

/** Identifier of one attempt to run a request at an endpoint. @public */
export type AttemptId = string;

/** Name of an availability zone. @public */
export type ZoneName = string;
