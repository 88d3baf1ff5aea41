import {type JobEventOf} from '@pistachiogauge/jobs';
import {type StoreCaller} from './call-store.js';
import {type VirtualSinks} from './create-virtual-sinks.js';
import {type EventDelivery} from './event-delivery.js';
import {type VirtualAdmissionRecords} from './virtual-admission-records.js';
import {type VirtualJobStore} from './virtual-job-store.js';

export type AdmissionSinkTools = {
	readonly delivery: EventDelivery;
	readonly callStore: StoreCaller;
	readonly store: VirtualJobStore;
	readonly admissionRecords: VirtualAdmissionRecords;
};

/** Creates the sinks for the admission records of pools. */
export function createAdmissionSinks({
	delivery, callStore, store, admissionRecords,
}: AdmissionSinkTools): Pick<VirtualSinks, 'read-admission' | 'write-admission'> {
	return {
		'read-admission'(entry, {requestId, pool, jobId}) {
			const deliverResult = (found: JobEventOf<'admission-read'>['found']) => {
				delivery.deliver(entry, {kind: 'admission-read', requestId, found});
			};

			callStore(entry, {
				isWrite: false,
				run() {
					admissionRecords.callCounts.read += 1;
					return admissionRecords.getRecord(pool);
				},
				onAnswer(admission) {
					callStore(entry, {
						isWrite: false,
						run: () => store.getLocation(jobId),
						onAnswer(location) {
							deliverResult({admission, isJobStored: location !== undefined, location});
						},
						onFailure() {
							deliverResult(undefined);
						},
					});
				},
				onFailure() {
					deliverResult(undefined);
				},
			});
		},
		'write-admission'(entry, effect) {
			const {pool, requestId} = effect;
			const deliverResult = (result: JobEventOf<'admission-written'>['result'], admission: JobEventOf<'admission-written'>['admission']) => {
				delivery.deliver(entry, {
					kind: 'admission-written', pool, requestId, result, admission,
				});
			};

			callStore(entry, {
				isWrite: true,
				run: () => admissionRecords.writeRecord(effect),
				onAnswer(admission) {
					deliverResult(admission === undefined ? 'conflict' : 'applied', admission);
				},
				onFailure(failure) {
					deliverResult(failure, undefined);
				},
			});
		},
	};
}
