import {createHash} from 'node:crypto';
import {type InstanceId, type ServiceRequest} from '@pistachiogauge/model';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getTrustStage} from './health-state.js';

/** Failures of one job: requests with the same service, method, path and body. */
export type JobRecord = {
	readonly instances: Set<InstanceId>;
	/** Monotonic time until which the job is refused. */
	refusedUntil: number;
};

/** Jobs remembered; the one whose last failure is oldest is forgotten first. */
const maxJobs = 1000;
/** Distinct workers that must have failed a job before it is refused. */
const minFailedInstances = 3;
/** Of these, workers that must be trusted, so that a failed rack is not taken for a failing job. */
const minTrustedInstances = 2;
/** After this time a refused job is tried once more; its cause may have been removed. */
const refusalMs = 60_000;

/** Records that a job failed on an instance. @internal */
export function recordJobFailure(state: EntryState, request: ServiceRequest, instanceId: InstanceId, context: DecisionContext): void {
	const {jobs} = state.health;
	const fingerprint = computeJobFingerprint(request);
	const record: JobRecord = jobs.get(fingerprint) ?? {instances: new Set(), refusedUntil: 0};
	jobs.delete(fingerprint);
	jobs.set(fingerprint, record);
	if (record.instances.size < minFailedInstances) {
		record.instances.add(instanceId);
	}

	record.refusedUntil = context.now + refusalMs;
	if (jobs.size > maxJobs) {
		const [oldest] = jobs.keys();
		jobs.delete(oldest!);
	}
}

/** Forgets the failures of a job that has succeeded. @internal */
export function dropJobFailures(state: EntryState, request: ServiceRequest): void {
	if (state.health.jobs.size > 0) {
		state.health.jobs.delete(computeJobFingerprint(request));
	}
}

/** Whether a job has failed on so many workers that another attempt would only cost a slot. @internal */
export function isJobRefused(state: EntryState, request: ServiceRequest, context: DecisionContext): boolean {
	if (state.health.jobs.size === 0) {
		return false;
	}

	const record = state.health.jobs.get(computeJobFingerprint(request));
	if (record === undefined || record.instances.size < minFailedInstances) {
		return false;
	}

	const trusted = [...record.instances].filter(id => getTrustStage(state, id) === 'trusted');
	if (trusted.length < minTrustedInstances) {
		return false;
	}

	if (context.now >= record.refusedUntil) {
		record.refusedUntil = context.now + refusalMs;
		return false;
	}

	return true;
}

function computeJobFingerprint(request: ServiceRequest): string {
	return createHash('sha256').update(`${request.service}\n${request.method}\n${request.path}\n`).update(request.body).digest('base64');
}
