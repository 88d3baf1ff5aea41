import {type RequestId} from '@pistachiogauge/model';
import {type ServiceTimeRecord} from './service-times.js';

/** State of the admission filter. @public */
export type AdmissionState = {
	/** Pool and team of each request that is queued or running here. */
	readonly teamByRequest: Map<RequestId, string>;
	/** Requests in flight by pool and team. */
	readonly inFlightByTeam: Map<string, number>;
	/** Observed run times by service and class. */
	readonly serviceTimes: Map<string, ServiceTimeRecord>;
};

/** @internal */
export function createAdmissionState(): AdmissionState {
	return {teamByRequest: new Map(), inFlightByTeam: new Map(), serviceTimes: new Map()};
}
