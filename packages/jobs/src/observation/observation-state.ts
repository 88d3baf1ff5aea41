/** What is known of an endpoint's work, apart from its leases. @public */
export type EndpointRecord = {
	/** Failures in a row with no success between. */
	failuresInRow: number;
	/** No starts before this time in monotonic ms. */
	avoidUntil: number;
	/** Mean of measured against expected durations, 1 for as expected. */
	slowness: number;
};

/** What has been learned from runs. @public */
export type ObservationState = {
	readonly endpoints: Map<string, EndpointRecord>;
	/** Measured against estimated durations of tasks, by queue. */
	readonly estimateFactors: Map<string, number>;
	/** Endpoint on which a task failed or stood still last, by task. */
	readonly failedOn: Map<string, string>;
};

/** What other filters may ask about observations. @public */
export type ObservationView = {
	readonly observation: {
		readonly endpoints: ReadonlyMap<string, Readonly<EndpointRecord>>;
		readonly estimateFactors: ReadonlyMap<string, number>;
		readonly failedOn: ReadonlyMap<string, string>;
	};
};

/** @public */
export function createObservationState(): ObservationState {
	return {endpoints: new Map(), estimateFactors: new Map(), failedOn: new Map()};
}

/** The record of an endpoint; one without a record is as good as any. @internal */
export function getRecord(state: ObservationState, endpointId: string): EndpointRecord {
	const known = state.endpoints.get(endpointId);
	if (known !== undefined) {
		return known;
	}

	const record: EndpointRecord = {failuresInRow: 0, avoidUntil: 0, slowness: 1};
	state.endpoints.set(endpointId, record);
	return record;
}
