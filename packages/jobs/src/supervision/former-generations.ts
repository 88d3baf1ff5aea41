import {getLateOrderExpiry} from './lease-clock.js';
import {type SupervisedEndpoint, type SupervisedPool} from './supervision-state.js';

/** Keeps the generation of an endpoint whose supervision ends: if it returns, its last orders may still be on their way. @internal */
export function recordFormerGeneration({formerGenerations}: SupervisedPool, {id, generation}: SupervisedEndpoint, now: number): void {
	for (const [formerId, {endsAt}] of formerGenerations) {
		if (now > endsAt) {
			formerGenerations.delete(formerId);
		}
	}

	formerGenerations.set(id, {generation, endsAt: getLateOrderExpiry(now)});
}

/** Returns a generation above that of all orders that were sent to an endpoint and may still be on their way. @internal */
export function getNextGeneration({formerGenerations}: SupervisedPool, endpointId: string): number {
	return (formerGenerations.get(endpointId)?.generation ?? -1) + 1;
}
