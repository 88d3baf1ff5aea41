import {type AccountsView} from '../accounts/index.js';
import {type AdmissionReason, type AdmissionView} from '../admission/index.js';
import {type ConfigurationView} from '../configuration/index.js';
import {type LedgerView} from '../ledger/ledger-state.js';
import {
	type CallerAction, type CallerOrigin, type JobEventOf, type JobLocation, type JobRecord, type Queue,
} from '../model/index.js';
import {createEarlyCancellations} from './early-cancellations.js';

/** A caller's request that may be relayed. @public */
export type RelayableRequest = JobEventOf<'caller-requested'> & {readonly origin: CallerOrigin};

/** A caller's request whose answer waits for the store. @public */
export type PendingRequest = {
	readonly action: CallerAction;
	readonly queue: Queue;
	readonly jobId: string;
	/** Name of the caller's account; undefined for a caller of a public queue without a key. */
	readonly account: string | undefined;
	/** The account is not known, as the configuration was too old to look up the request's key. */
	readonly isKeyUnchecked: boolean;
	readonly configurationVersion: number;
	readonly receivedAt: number;
	/** Where the records of the job are, once they were not found in the queue's pool. */
	location?: JobLocation | undefined;
	/** Number of waiting jobs by the reports of pools, until those in the other pools have been counted. */
	reportedWaiting?: number | undefined;
	/** The request itself, if it may be relayed. */
	readonly relayable?: RelayableRequest | undefined;
};

/** What this entry has answered to the submission of a job. */
export type Submission = {readonly answer: 'accepted' | 'undecided'; readonly at: number};

/** A submission until it is answered. */
export type Admission = {
	readonly job: JobRecord;
	readonly location: JobLocation;
	/** Version of the configuration that the job's record is based on. */
	readonly configurationVersion: number;
	/** Why the submission is accepted or refused, as decided last. */
	reason: AdmissionReason;
	/** Number of times for which the admission record has changed meanwhile. */
	conflictCount: number;
};

/** Number of cancellations of jobs that were not stored, in the present interval. */
export type EarlyCancellations = {startedAt: number; count: number; readonly countsByAccount: Map<string, number>};

/** Lines about rejected requests in the present interval: callers without a valid key may send any number of requests. */
type RejectionLines = {startedAt: number; lineCount: number; unreportedCount: number};

/** @public */
export type IntakeState = {
	readonly pendingRequests: Map<string, PendingRequest>;
	/** Recent submissions that were not refused, by job. The same job may be submitted again, and must not be refused as not accepted then. */
	readonly recentSubmissions: Map<string, Submission>;
	/** By request. */
	readonly admissions: Map<string, Admission>;
	isStoreReached: boolean;
	readonly rejectionLines: RejectionLines;
	readonly earlyCancellations: EarlyCancellations;
};

export type State = {readonly intake: IntakeState} & AccountsView & AdmissionView & ConfigurationView & LedgerView;

/** @public */
export function createIntakeState(): IntakeState {
	return {
		pendingRequests: new Map(), recentSubmissions: new Map(), admissions: new Map(), isStoreReached: false, rejectionLines: {startedAt: 0, lineCount: 0, unreportedCount: 0}, earlyCancellations: createEarlyCancellations(),
	};
}
