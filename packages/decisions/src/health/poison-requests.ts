import {createHash} from 'node:crypto';
import {type InstanceId, type ServiceRequest} from '@pistachiogauge/model';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getTrustStage} from './health-state.js';

/** Failures of identical requests: those with the same service, method, path and body. */
export type RequestFailures = {
	readonly failedInstances: Set<InstanceId>;
	/** Monotonic time until which such requests are rejected. */
	rejectedUntil: number;
};

/** Limit on memory; the fingerprint with the oldest last failure is deleted first. */
const maxFingerprints = 1000;
/** Distinct instances at which a request must have failed before it is rejected. */
const minFailedInstances = 3;
/** Number of these instances that must be trusted, so that the failure of a rack is not attributed to the request. */
const minTrustedInstances = 2;
/** After this time a rejected request is tried once more; the cause may have been fixed. */
const rejectionPeriodMs = 60_000;

/** Records that a request failed at an instance. @internal */
export function recordRequestFailure(state: EntryState, request: ServiceRequest, instanceId: InstanceId, context: DecisionContext): void {
	const {failuresByFingerprint} = state.health;
	const fingerprint = computeRequestFingerprint(request);
	const failures: RequestFailures = failuresByFingerprint.get(fingerprint) ?? {failedInstances: new Set(), rejectedUntil: 0};
	failuresByFingerprint.delete(fingerprint);
	failuresByFingerprint.set(fingerprint, failures);
	if (failures.failedInstances.size < minFailedInstances) {
		failures.failedInstances.add(instanceId);
	}

	failures.rejectedUntil = context.now + rejectionPeriodMs;
	if (failuresByFingerprint.size > maxFingerprints) {
		const [oldest] = failuresByFingerprint.keys();
		failuresByFingerprint.delete(oldest!);
	}
}

/** Clears the failures of a request that has succeeded, so that identical requests are not rejected. @internal */
export function clearRequestFailures(state: EntryState, request: ServiceRequest): void {
	if (state.health.failuresByFingerprint.size > 0) {
		state.health.failuresByFingerprint.delete(computeRequestFingerprint(request));
	}
}

/** Whether a request has failed at so many instances that another attempt would only waste a slot. Lets one request through after each rejection period. @internal */
export function isPoisonRequest(state: EntryState, request: ServiceRequest, context: DecisionContext): boolean {
	if (state.health.failuresByFingerprint.size === 0) {
		return false;
	}

	const failures = state.health.failuresByFingerprint.get(computeRequestFingerprint(request));
	if (failures === undefined || failures.failedInstances.size < minFailedInstances) {
		return false;
	}

	const trustedInstances = [...failures.failedInstances].filter(id => getTrustStage(state, id) === 'trusted');
	if (trustedInstances.length < minTrustedInstances) {
		return false;
	}

	if (context.now >= failures.rejectedUntil) {
		failures.rejectedUntil = context.now + rejectionPeriodMs;
		return false;
	}

	return true;
}

function computeRequestFingerprint(request: ServiceRequest): string {
	return createHash('sha256').update(`${request.service}\n${request.method}\n${request.path}\n`).update(request.body).digest('base64');
}
