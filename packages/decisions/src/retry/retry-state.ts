import {type ServiceName} from '@pistachiogauge/model';

/** State of the retry filter. @public */
export type RetryState = {
	/** Retries that each service may still spend. */
	readonly tokens: Map<ServiceName, number>;
};

/** @internal */
export function createRetryState(): RetryState {
	return {tokens: new Map()};
}
