import {type ServiceName} from '@pistachiogauge/model';
import {type EntryState} from '../entry-state.js';

/** State of the retry filter. @public */
export type RetryState = {
	/** Retry tokens of each service; each retry uses one. */
	readonly tokens: Map<ServiceName, number>;
};

/** Maximum number of attempts of one request, including the first. @internal */
export const maxAttempts = 3;

/** Retry tokens that a service has at a new owner; enough for some retries, since the takeover may happen during an outage of instances. */
const initialTokens = 10;

/** Returns the number of retry tokens that a service has left, which may be fractional. @internal */
export function getRetryTokens(state: EntryState, service: ServiceName): number {
	return state.retry.tokens.get(service) ?? initialTokens;
}

/** @internal */
export function createRetryState(): RetryState {
	return {tokens: new Map()};
}

/** Whether an answer with this status means that the endpoint did not execute the request. @internal */
export function isNotExecutedStatus(state: EntryState, service: ServiceName, status: number): boolean {
	return state.bundle.current?.services[service]?.notExecutedStatuses.includes(status) ?? false;
}
