/** Health of an endpoint, as observed from its runs. @public */
export type EndpointHealth = {
	/** Number of consecutive failures. */
	failuresInRow: number;
	/** Monotonic ms before which no task is started there. */
	avoidUntil: number;
	/** Moving mean of the ratio of measured to expected durations; 1 is as expected. */
	slowness: number;
};

/** Observations from runs. @public */
export type ObservationState = {
	readonly endpoints: Map<string, EndpointHealth>;
	/** Moving mean of the ratio of measured to estimated task durations, by queue. */
	readonly estimateFactors: Map<string, number>;
	/** Endpoint on which each task last failed, stalled or was slow, by task. */
	readonly lastFailedEndpoints: Map<string, string>;
};

/** Read-only view of the observations for other filters. @public */
export type ObservationView = {
	readonly observation: {
		readonly endpoints: ReadonlyMap<string, Readonly<EndpointHealth>>;
		readonly estimateFactors: ReadonlyMap<string, number>;
		readonly lastFailedEndpoints: ReadonlyMap<string, string>;
	};
};

/** @public */
export function createObservationState(): ObservationState {
	return {endpoints: new Map(), estimateFactors: new Map(), lastFailedEndpoints: new Map()};
}

/** Returns the health of an endpoint; one without observations counts as healthy. @internal */
export function getEndpointHealth(state: ObservationState, endpointId: string): EndpointHealth {
	const known = state.endpoints.get(endpointId);
	if (known !== undefined) {
		return known;
	}

	const health: EndpointHealth = {failuresInRow: 0, avoidUntil: 0, slowness: 1};
	state.endpoints.set(endpointId, health);
	return health;
}
