import {getLateOrderExpiry} from './lease-clock.js';
import {type SupervisedEndpoint, type SupervisedPool} from './supervision-state.js';

/** Keeps what is known of an endpoint whose supervision ends: if it returns, its last orders may still be on their way. @internal */
export function recordFormerEndpoint({formerEndpoints}: SupervisedPool, {id, generation, startedAt, recordedProcess}: SupervisedEndpoint, now: number): void {
	for (const [formerId, {ordersEndAt}] of formerEndpoints) {
		if (now > ordersEndAt) {
			formerEndpoints.delete(formerId);
		}
	}

	formerEndpoints.set(id, {generation, startedAt: startedAt ?? recordedProcess, ordersEndAt: getLateOrderExpiry(now)});
}
