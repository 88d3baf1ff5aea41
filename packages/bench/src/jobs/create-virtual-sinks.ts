import {
	poolClaimPrefix, type CallerAnswer, type Clocks, type Endpoint, type JobEffect, type JobEffectOf, type JobEvent, type JobEventOf,
} from '@pistachiogauge/jobs';
import {type EventQueue} from '../virtual/event-queue.js';
import {startWallTime} from '../virtual/virtual-clock.js';
import {type StoreCaller, type StoreCallFailure} from './call-store.js';
import {createAdmissionSinks, type AdmissionSinkTools} from './create-admission-sinks.js';
import {createFleetSinks, type FleetSinkTools} from './create-fleet-sinks.js';
import {createShareSinks, type ShareSinkTools} from './create-share-sinks.js';
import {createOrderSinks, type OrderSinkTools} from './create-order-sinks.js';
import {type EventDelivery} from './event-delivery.js';
import {type JobInvariantChecker} from './job-invariant-checker.js';
import {type VirtualAdviceService} from './virtual-advice-service.js';
import {type VirtualJobsEntry} from './virtual-jobs-entry.js';
import {type VirtualJobStore} from './virtual-job-store.js';
import {type VirtualRelay} from './virtual-relay.js';

/** Sinks for the effects that have one in the simulation; each is also given the entry whose effect it is. */
export type VirtualSinks = {readonly [Kind in JobEffect['kind']]?: (entry: VirtualJobsEntry, effect: JobEffectOf<Kind>) => void};

export type VirtualSinkTools = OrderSinkTools & FleetSinkTools & ShareSinkTools & AdmissionSinkTools & {
	readonly queue: EventQueue;
	readonly store: VirtualJobStore;
	readonly checker: JobInvariantChecker;
	/** Answers to callers by request, filled by the sinks. */
	readonly answers: Map<string, CallerAnswer>;
	/** Receives each line of the entries' logs. */
	readonly onLine: ((line: string) => void) | undefined;
	readonly delivery: EventDelivery;
	readonly callStore: StoreCaller;
	readonly listEndpoints: () => Endpoint[];
	readonly advice: VirtualAdviceService;
	/** Whether an entry has reached the store, and its watches have delivered, for some seconds. */
	readonly isInTouch: (entry: VirtualJobsEntry) => boolean;
	readonly relay: VirtualRelay;
};

/** Time after which the inbox of a loaded pool is delivered again: changes recorded while the answer was on its way arrive through the watch after it. */
const inboxDelayMs = 12;

/** Creates the sinks that carry out the effects of the simulation's entries on the virtual store, endpoints and callers. */
export function createVirtualSinks(tools: VirtualSinkTools): VirtualSinks {
	const {
		queue, store, checker, answers, onLine, delivery, callStore, listEndpoints, advice, relay, fleetRecords, admissionRecords, isInTouch,
	} = tools;

	/** Calls the store and delivers the events that the answer or the failure gives. */
	function callAndDeliver<Answer>(entry: VirtualJobsEntry, call: {
		readonly isWrite: boolean;
		readonly run: () => Answer;
		/** `requestedAt`: both clocks of the entry before the call was sent. */
		readonly createEvents: (answer: Answer, requestedAt: Clocks) => readonly JobEvent[];
		readonly createFailure?: (failure: StoreCallFailure) => JobEvent;
	}): void {
		const requestedAt = {now: queue.now, wallTime: startWallTime + queue.now};
		callStore(entry, {
			isWrite: call.isWrite,
			run: call.run,
			onAnswer(answer) {
				for (const event of call.createEvents(answer, requestedAt)) {
					delivery.deliver(entry, event);
				}
			},
			onFailure(failure) {
				const event = call.createFailure?.(failure);
				if (event !== undefined) {
					delivery.deliver(entry, event);
				}
			},
		});
	}

	return {
		...createOrderSinks(tools),
		...createFleetSinks(tools),
		...createShareSinks(tools),
		...createAdmissionSinks(tools),
		claim(entry, effect) {
			const {name} = effect;
			const {node, incarnation} = entry;
			const createFailure = (result: StoreCallFailure) => ({
				kind: 'claim-answered', name, result, token: 0,
			} as const);
			const lease = entry.session?.getLease();
			if (lease === undefined) {
				delivery.deliverLater(entry, createFailure('refused'), 0);
				return;
			}

			callAndDeliver(entry, {
				isWrite: true,
				run: () => store.claim(effect, {node, incarnation, weight: 1}, lease),
				createEvents: (event, requestedAt) => event.result === 'applied' ? [event, createConfirmation(name, event.token, requestedAt)] : [event],
				createFailure,
			});
		},
		'load-pool'(entry, {pool, token}) {
			callAndDeliver(entry, {
				isWrite: false,
				run: () => ({endpoints: listEndpoints(), pool: store.loadPool(pool, token, fleetRecords.listEvacuatedIds(pool))}),
				createEvents(answer) {
					queue.add(inboxDelayMs, () => {
						for (const event of [...store.listInbox(pool), ...fleetRecords.listForPool(pool, entry.state.evacuation.requests.values())]) {
							delivery.deliverLater(entry, event);
						}
					});
					return [{kind: 'endpoints-listed', endpoints: answer.endpoints}, answer.pool];
				},
				createFailure: () => ({kind: 'pool-load-failed', pool, token}),
			});
		},
		'store-job'(entry, {
			requestId, job, location, admissionRevision,
		}) {
			callStore(entry, {
				isWrite: true,
				run(): Pick<JobEventOf<'job-stored'>, 'result' | 'location'> {
					const stored = store.getLocation(job.id);
					if (stored !== undefined) {
						return {result: 'conflict', location: stored};
					}

					if (store.isCancelledEarly(job.id, location)) {
						return {result: 'cancelled'};
					}

					if (admissionRevision !== undefined && admissionRecords.getRecord(job.pool).revision !== admissionRevision) {
						return {result: 'superseded'};
					}

					store.storeJob(job, location);
					return {result: 'applied'};
				},
				onAnswer(answer) {
					delivery.deliver(entry, {kind: 'job-stored', requestId, ...answer});
				},
				onFailure(failure) {
					if (failure === 'refused') {
						delivery.deliver(entry, {kind: 'job-stored', requestId, result: failure});
						return;
					}

					callAndDeliver(entry, {
						isWrite: false,
						run: () => store.getLocation(job.id),
						createEvents: stored => [{
							kind: 'job-stored', requestId, result: stored === undefined ? 'unknown' : 'conflict', location: stored,
						}],
						createFailure: () => ({kind: 'job-stored', requestId, result: 'unknown'}),
					});
				},
			});
		},
		'read-progress'(entry, {requestId, pool, jobId}) {
			callAndDeliver(entry, {
				isWrite: false,
				run: () => store.getProgressInPool(pool, jobId),
				createEvents: progress => [{
					kind: 'progress-read', requestId, result: progress === undefined ? 'absent' : 'found', progress,
				}],
				createFailure: () => ({
					kind: 'progress-read', requestId, result: 'failed', progress: undefined,
				}),
			});
		},
		'read-job-location'(entry, {requestId, jobId}) {
			callAndDeliver(entry, {
				isWrite: false,
				run: () => store.getLocation(jobId),
				createEvents: location => [{
					kind: 'job-location-read', requestId, result: location === undefined ? 'absent' : 'found', location,
				}],
				createFailure: () => ({
					kind: 'job-location-read', requestId, result: 'failed', location: undefined,
				}),
			});
		},
		'store-early-cancellation'(entry, {requestId, jobId, address}) {
			callAndDeliver(entry, {
				isWrite: true,
				run: () => store.storeEarlyCancellation(jobId, address),
				createEvents: isStored => [{kind: 'early-cancellation-stored', requestId, result: isStored ? 'applied' : 'conflict'}],
				createFailure: result => ({kind: 'early-cancellation-stored', requestId, result}),
			});
		},
		'store-cancelled-job'(entry, {requestId, jobId, location}) {
			callAndDeliver(entry, {
				isWrite: true,
				run: () => store.storeCancelledJob(jobId, location),
				createEvents: isStored => [{kind: 'cancelled-job-stored', requestId, result: isStored ? 'applied' : 'conflict'}],
				createFailure: result => ({kind: 'cancelled-job-stored', requestId, result}),
			});
		},
		'store-cancel'(entry, {requestId, pool, jobId}) {
			callAndDeliver(entry, {
				isWrite: true,
				run() {
					store.storeCancel(pool, jobId);
				},
				createEvents: () => [{kind: 'job-cancelled', pool, jobId}, {kind: 'cancel-stored', requestId, result: 'applied'}],
				createFailure: result => ({kind: 'cancel-stored', requestId, result}),
			});
		},
		'save-progress'(entry, effect) {
			const {pool, token, saveId} = effect;
			callAndDeliver(entry, {
				isWrite: true,
				run: () => store.saveProgress(effect),
				createEvents: (event, requestedAt) => event.result === 'applied' ? [createConfirmation(`${poolClaimPrefix}${pool}`, token, requestedAt), event] : [event],
				createFailure: result => ({
					kind: 'progress-saved', pool, token, saveId, result, revision: 0, presentRevisions: undefined, isClaimLost: false,
				}),
			});
		},
		'publish-report'(entry, {token, report}) {
			const name = `${poolClaimPrefix}${report.pool}`;
			callAndDeliver(entry, {
				isWrite: true,
				run() {
					const isHeld = store.publishReport(report.pool, token);
					if (isHeld) {
						fleetRecords.recordReport(report);
					}

					return isHeld;
				},
				createEvents: (isApplied, requestedAt) => [isApplied ? createConfirmation(name, token, requestedAt) : {kind: 'claim-superseded', name, token}],
			});
		},
		'confirm-claim'(entry, {name, token}) {
			callAndDeliver(entry, {
				isWrite: false,
				run: () => store.claims.get(name)?.token === token,
				createEvents: (isHeld, requestedAt) => [isHeld ? createConfirmation(name, token, requestedAt) : {kind: 'claim-superseded', name, token}],
			});
		},
		'ask-advice'(entry, effect) {
			const {incarnation} = entry;
			advice.ask(entry.node, effect, event => {
				delivery.deliver(entry, event, incarnation);
			});
		},
		'relay-request': relay.send,
		'answer-caller'(entry, {requestId, answer}) {
			if (relay.answerRequest(entry, requestId, answer)) {
				return;
			}

			answers.set(requestId, answer);
			checker.accounts.recordAnswer(requestId, answer.kind, isInTouch(entry));
			checker.recordAnswer(requestId, answer);
		},
		log(entry, {message, fields}) {
			onLine?.(`${queue.now.toFixed(1)} ${entry.node} ${message} ${JSON.stringify(fields)}`);
		},
		'handler-failed'(_entry, {filter, eventKind, error}) {
			checker.reportViolation('handler-failed', `${filter} on ${eventKind}: ${error instanceof Error ? error.stack : String(error)}`);
		},
	};
}

function createConfirmation(name: string, token: number, requestedAt: Clocks): JobEvent {
	return {
		kind: 'claim-confirmed', name, token, requestedAt,
	};
}
