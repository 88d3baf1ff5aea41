import {type RequestId} from '@pistachiogauge/model';

/** State of the admission filter. @public */
export type AdmissionState = {
	/** Team of each request that is queued or running here. */
	readonly teamByRequest: Map<RequestId, string>;
	readonly inFlightByTeam: Map<string, number>;
};

/** @internal */
export function createAdmissionState(): AdmissionState {
	return {teamByRequest: new Map(), inFlightByTeam: new Map()};
}
