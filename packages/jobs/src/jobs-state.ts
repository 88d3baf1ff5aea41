import {createAccountsState, type AccountsState} from './accounts/index.js';
import {createAdmissionState, type AdmissionState} from './admission/index.js';
import {createAuthorityState, type AuthorityState} from './authority/index.js';
import {createConfigurationState, type ConfigurationState} from './configuration/index.js';
import {createDirectoryState, type DirectoryState} from './directory/index.js';
import {createEvacuationState, type EvacuationState} from './evacuation/index.js';
import {createFleetState, type FleetState} from './fleet/index.js';
import {createIntakeState, type IntakeState} from './intake/index.js';
import {createLedgerState, type LedgerState} from './ledger/index.js';
import {createObservationState, type ObservationState} from './observation/index.js';
import {createPacingState, type PacingState} from './pacing/index.js';
import {createPlacementState, type PlacementOptions, type PlacementState} from './placement/index.js';
import {createQuotaState, type QuotaState} from './quota/index.js';
import {createRelayState, type RelayState} from './relay/index.js';
import {createReportingState, type ReportingState} from './reporting/index.js';
import {createSupervisionState, type SupervisionState} from './supervision/index.js';

/** The state of an entry concerning jobs, endpoints and machines, with a part for each filter. @public */
export type JobsState = {
	readonly authority: AuthorityState;
	readonly configuration: ConfigurationState;
	readonly accounts: AccountsState;
	readonly directory: DirectoryState;
	readonly admission: AdmissionState;
	readonly intake: IntakeState;
	readonly relay: RelayState;
	readonly supervision: SupervisionState;
	readonly ledger: LedgerState;
	readonly evacuation: EvacuationState;
	readonly observation: ObservationState;
	readonly placement: PlacementState;
	readonly quota: QuotaState;
	readonly reporting: ReportingState;
	readonly pacing: PacingState;
	readonly fleet: FleetState;
};

/** @public */
export type JobsOptions = {
	/** Name of the entry; stays the same across restarts. */
	readonly node: string;
	/** Unique to each start of the process. */
	readonly incarnation: string;
	/** Minimum time in ms between orders of two holders for the same machine. */
	readonly orderLeaseMs: number;
	/** Time in ms after which no entry may accept an API key that was removed from the configuration; undefined where revocation is not strict. */
	readonly strictRevokeMs?: number | undefined;
	readonly placement?: PlacementOptions;
	/** Bytes of heap that the jobs of this entry's pools may take before it accepts no more. */
	readonly maxJobBytes?: number | undefined;
};

/** @public */
export function createJobsState({
	node, incarnation, orderLeaseMs, strictRevokeMs, placement, maxJobBytes,
}: JobsOptions): JobsState {
	return {
		authority: createAuthorityState(node, incarnation),
		configuration: createConfigurationState(),
		accounts: createAccountsState(strictRevokeMs),
		directory: createDirectoryState(),
		admission: createAdmissionState(maxJobBytes),
		intake: createIntakeState(),
		relay: createRelayState(),
		supervision: createSupervisionState(),
		ledger: createLedgerState(),
		evacuation: createEvacuationState(),
		observation: createObservationState(),
		placement: createPlacementState(placement),
		quota: createQuotaState(),
		reporting: createReportingState(),
		pacing: createPacingState(),
		fleet: createFleetState(orderLeaseMs),
	};
}
