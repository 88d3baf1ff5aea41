import {type ServiceName} from '@pistachiogauge/model';
import {type EntryState} from '../entry-state.js';

/** State of the retry filter. @public */
export type RetryState = {
	/** Retries that each service may still spend. */
	readonly tokens: Map<ServiceName, number>;
};

/** Attempts of one request, the first included. @internal */
export const maxAttempts = 3;

/** Retries that a service may spend before its requests have earned any: an owner may take over in the middle of a failure. */
const initialTokens = 10;

/** Retries that a service may spend now. @internal */
export function getRetryTokens(state: EntryState, service: ServiceName): number {
	return state.retry.tokens.get(service) ?? initialTokens;
}

/** @internal */
export function createRetryState(): RetryState {
	return {tokens: new Map()};
}

/** Whether an endpoint says with this status that it did not execute the request. @internal */
export function isNotExecutedStatus(state: EntryState, service: ServiceName, status: number): boolean {
	return state.bundle.current?.services[service]?.notExecutedStatuses.includes(status) ?? false;
}
