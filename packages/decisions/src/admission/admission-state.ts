import {type RequestId} from '@pistachiogauge/model';
import {type ServiceTimeHistogram} from './service-times.js';

/** State of the admission filter. @public */
export type AdmissionState = {
	/** Quota key (pool and team) of each request that is queued or running here. */
	readonly quotaKeyByRequest: Map<RequestId, string>;
	/** Number of queued and running requests by quota key. */
	readonly inFlightByQuotaKey: Map<string, number>;
	/** Observed service times by service and class, and by service, class and team. */
	readonly serviceTimes: Map<string, ServiceTimeHistogram>;
};

/** @internal */
export function createAdmissionState(): AdmissionState {
	return {quotaKeyByRequest: new Map(), inFlightByQuotaKey: new Map(), serviceTimes: new Map()};
}
