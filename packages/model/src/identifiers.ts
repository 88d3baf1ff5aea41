/** Identifier of one incarnation of an entry process. A restarted process gets a new one. @public */
export type EntryId = string;

/** Name of a pool of instances. @public */
export type PoolName = string;

/** Name of a service, as it stands in request paths. @public */
export type ServiceName = string;

/** Identifier of an instance (a worker) as the platform's instance list gives it. @public */
export type InstanceId = string;

/** Identifier of one caller request, unique over all entries. @public */
export type RequestId = string;

/** Identifier of one attempt to run a request at an endpoint. @public */
export type AttemptId = string;

/** Name of an availability zone. @public */
export type ZoneName = string;
