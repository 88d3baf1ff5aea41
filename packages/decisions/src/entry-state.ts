import {type EntryConfig} from '@pistachiogauge/model';
import {createAdmissionState, type AdmissionState} from './admission/index.js';
import {createAuditState, type AuditState} from './audit/index.js';
import {createBundleState, type BundleState} from './bundle/index.js';
import {createDispatchState, type DispatchState} from './dispatch/index.js';
import {createFleetState, type FleetState} from './fleet/index.js';
import {createHealthState, type HealthState} from './health/index.js';
import {createIdempotencyState, type IdempotencyState} from './idempotency/index.js';
import {createInvariantsState, type InvariantsState} from './invariants/index.js';
import {createMembershipState, type MembershipState} from './membership/index.js';
import {createReplyState, type ReplyState} from './reply/index.js';
import {createRetryState, type RetryState} from './retry/index.js';
import {createTasksState, type TasksState} from './tasks/index.js';
import {createRoutingState, type RoutingState} from './routing/index.js';

/**
The whole state of an entry. Each filter writes only the part with its own name and reads the others.

@public
*/
export type EntryState = {
	readonly config: EntryConfig;
	readonly membership: MembershipState;
	readonly bundle: BundleState;
	readonly fleet: FleetState;
	readonly routing: RoutingState;
	readonly tasks: TasksState;
	readonly idempotency: IdempotencyState;
	readonly admission: AdmissionState;
	readonly dispatch: DispatchState;
	readonly health: HealthState;
	readonly retry: RetryState;
	readonly reply: ReplyState;
	readonly audit: AuditState;
	readonly invariants: InvariantsState;
};

/** Creates the state of an entry that has just started. @public */
export function createEntryState(config: EntryConfig): EntryState {
	return {
		config,
		membership: createMembershipState(),
		bundle: createBundleState(),
		fleet: createFleetState(),
		routing: createRoutingState(),
		tasks: createTasksState(),
		idempotency: createIdempotencyState(),
		admission: createAdmissionState(),
		dispatch: createDispatchState(),
		health: createHealthState(),
		retry: createRetryState(),
		reply: createReplyState(),
		audit: createAuditState(),
		invariants: createInvariantsState(),
	};
}
