import {type RandomSource} from '@pistachiogauge/chain';
import {
	type CallerAnswer, type Endpoint, type JobEffect, type JobEffectOf, type JobEvent, type Machine, type Member,
} from '@pistachiogauge/jobs';
import {type EventQueue} from '../virtual/event-queue.js';
import {startWallTime} from '../virtual/virtual-clock.js';
import {type JobInvariantChecker} from './job-invariant-checker.js';
import {type VirtualJobsEntry} from './virtual-jobs-entry.js';
import {type VirtualTaskEndpoint} from './virtual-task-endpoint.js';
import {type VirtualJobStore} from './virtual-job-store.js';
import {type VirtualNetwork} from './virtual-network.js';

/** Sinks for the effects that have one in the simulation; each is also given the entry whose effect it is. */
export type VirtualSinks = {readonly [Kind in JobEffect['kind']]?: (entry: VirtualJobsEntry, effect: JobEffectOf<Kind>) => void};

export type VirtualSinkTools = {
	readonly queue: EventQueue;
	readonly random: RandomSource;
	readonly store: VirtualJobStore;
	readonly network: VirtualNetwork;
	readonly endpoints: ReadonlyMap<string, VirtualTaskEndpoint>;
	readonly checker: JobInvariantChecker;
	/** Answers to callers by request, filled by the sinks. */
	readonly answers: Map<string, CallerAnswer>;
	/** Receives each line of the entries' logs. */
	readonly onLine: ((line: string) => void) | undefined;
	/** Upper bound in ms of the delay of one call. */
	readonly maxCallDelayMs: number;
	readonly chooseDelayMs: () => number;
	/** Share of orders to endpoints that get no answer and take effect seconds later. */
	readonly getLateOrderShare: () => number;
	readonly isStoreAvailable: (entry: VirtualJobsEntry) => boolean;
	readonly getMember: (entry: VirtualJobsEntry) => Member;
	readonly listEndpoints: () => Endpoint[];
	/** Delivers an event at once if the entry still runs in the given incarnation. */
	readonly deliver: (entry: VirtualJobsEntry, event: JobEvent, incarnation: string) => void;
	readonly deliverLater: (entry: VirtualJobsEntry, event: JobEvent, delayMs?: number) => void;
	/** Delivers changes of the store to all entries that reach it. */
	readonly publish: (changes: readonly JobEvent[]) => void;
};

const callTimeoutMs = 700;

/** Creates the sinks that carry out the effects of the simulation's entries on the virtual store, endpoints and callers. */
export function createVirtualSinks({
	queue, random, store, network, endpoints, checker, answers, onLine, maxCallDelayMs, chooseDelayMs, getLateOrderShare, isStoreAvailable, getMember, listEndpoints, deliver, deliverLater, publish,
}: VirtualSinkTools): VirtualSinks {
	/** Runs a call to the store after a delay; gives the `failed` answer if the store cannot be reached. */
	function callStore(entry: VirtualJobsEntry, failed: JobEvent | undefined, run: () => JobEvent | undefined): void {
		queue.add(chooseDelayMs(), () => {
			const answer = isStoreAvailable(entry) ? run() : failed;
			if (answer !== undefined) {
				deliverLater(entry, answer);
			}
		});
	}

	/** Tells an entry that the store has carried out a call that it sent at the given time under its claim. */
	function confirmClaim(entry: VirtualJobsEntry, name: string, token: number, sentAt: number): void {
		deliverLater(entry, {
			kind: 'claim-confirmed', name, token, requestedAt: {now: sentAt, wallTime: startWallTime + sentAt},
		}, maxCallDelayMs);
	}

	/** Makes a call on condition that the claim holds, and tells the entry whether it does. */
	function checkClaim(entry: VirtualJobsEntry, name: string, token: number): void {
		const sentAt = queue.now;
		callStore(entry, undefined, () => {
			if (store.claims.get(name)?.token !== token) {
				return {kind: 'claim-superseded', name, token};
			}

			confirmClaim(entry, name, token, sentAt);
			return undefined;
		});
	}

	/** Sends an order to an endpoint; a late order gets no answer and takes effect seconds later. */
	function callEndpoint(entry: VirtualJobsEntry, endpointId: string, lost: JobEvent, run: (endpoint: VirtualTaskEndpoint) => JobEvent | undefined): void {
		const isLate = random.getFraction() < getLateOrderShare();
		queue.add(isLate ? 2000 + (random.getFraction() * 10_000) : chooseDelayMs(), () => {
			const endpoint = endpoints.get(endpointId);
			const isArriving = endpoint !== undefined && (isLate || endpoint.isReachable) && network.canDeliver(entry.node, endpointId);
			const result = isArriving ? run(endpoint) : lost;
			const answer = result === undefined || network.canDeliver(endpointId, entry.node) ? result : lost;
			if (!isLate && answer !== undefined) {
				deliverLater(entry, answer, answer === lost ? callTimeoutMs : chooseDelayMs());
			}
		});
		if (isLate) {
			deliverLater(entry, lost, callTimeoutMs);
		}
	}

	return {
		claim(entry, effect) {
			const sentAt = queue.now;
			callStore(entry, {
				kind: 'claim-answered', name: effect.name, result: 'refused', token: 0,
			}, () => {
				if (!entry.isRegistered) {
					return {
						kind: 'claim-answered', name: effect.name, result: 'refused', token: 0,
					};
				}

				const {answer, changes} = store.claim(effect, getMember(entry));
				publish(changes);
				if (answer.kind === 'claim-answered' && answer.result === 'applied') {
					confirmClaim(entry, effect.name, answer.token, sentAt);
				}

				return answer;
			});
		},
		'load-pool'(entry, {pool, token}) {
			deliverLater(entry, {kind: 'endpoints-listed', endpoints: listEndpoints()});
			callStore(entry, {kind: 'pool-load-failed', pool, token}, () => {
				// Changes recorded while the answer is in transit arrive through the watch after it.
				queue.add(2 * maxCallDelayMs, () => {
					for (const event of store.listInbox(pool)) {
						deliverLater(entry, event);
					}
				});
				return store.loadPool(pool, token);
			});
		},
		'store-job'(entry, {requestId, job}) {
			callStore(entry, {kind: 'job-stored', requestId, result: 'refused'}, () => {
				const {isNew, changes} = store.storeJob(job);
				publish(changes);
				return {kind: 'job-stored', requestId, result: isNew ? 'applied' : 'conflict'};
			});
		},
		'read-progress'(entry, {requestId, jobId}) {
			callStore(entry, {
				kind: 'progress-read', requestId, result: 'failed', progress: undefined,
			}, () => {
				const progress = store.getProgress(jobId);
				return {
					kind: 'progress-read', requestId, result: progress === undefined ? 'absent' : 'found', progress,
				};
			});
		},
		'store-cancel'(entry, {requestId, pool, jobId}) {
			callStore(entry, {kind: 'cancel-stored', requestId, result: 'refused'}, () => {
				publish(store.storeCancel(pool, jobId));
				return {kind: 'cancel-stored', requestId, result: 'applied'};
			});
		},
		'save-progress'(entry, effect) {
			const sentAt = queue.now;
			callStore(entry, {
				kind: 'progress-saved', pool: effect.pool, token: effect.token, saveId: effect.saveId, result: 'unknown', revision: 0, presentRevisions: undefined, isClaimLost: false,
			}, () => {
				const answer = store.saveProgress(effect);
				if (answer.kind === 'progress-saved' && answer.result === 'applied') {
					confirmClaim(entry, `pool/${effect.pool}`, effect.token, sentAt);
				}

				return answer;
			});
		},
		'publish-report'(entry, {token, report}) {
			checkClaim(entry, `pool/${report.pool}`, token);
		},
		'confirm-claim'(entry, {name, token}) {
			checkClaim(entry, name, token);
		},
		'poll-endpoint'(entry, effect) {
			const {endpointId, token} = effect.target;
			const {incarnation} = entry;
			callEndpoint(entry, endpointId, {
				kind: 'poll-refused', endpointId, token, refusal: 'no-answer',
			}, endpoint => {
				endpoint.poll(effect, event => {
					const isAnswerDelivered = endpoint.isReachable && network.canDeliver(endpointId, entry.node);
					queue.add(isAnswerDelivered ? chooseDelayMs() : callTimeoutMs, () => {
						deliver(entry, isAnswerDelivered
							? event
							: {
								kind: 'poll-refused', endpointId, token, refusal: 'no-answer',
							}, incarnation);
					});
				});
				return undefined;
			});
		},
		'start-task'(entry, effect) {
			const {endpointId, token} = effect.target;
			const refused = {
				kind: 'start-refused', endpointId, token, taskId: effect.taskId, run: effect.run,
			} as const;
			callEndpoint(entry, endpointId, {...refused, refusal: 'no-answer'}, endpoint => {
				const answer = endpoint.startTask(effect, entry.node);
				return typeof answer === 'number'
					? {
						kind: 'start-answered', endpointId, token, taskId: effect.taskId, run: effect.run, clockMs: answer,
					}
					: {...refused, refusal: answer};
			});
		},
		'stop-task'(entry, effect) {
			const {endpointId, token} = effect.target;
			const stopped = {
				kind: 'stop-answered', endpointId, token, taskId: effect.taskId, run: effect.run,
			} as const;
			callEndpoint(entry, endpointId, {...stopped, refusal: 'no-answer'}, endpoint => ({...stopped, refusal: endpoint.stopTask(effect)}));
		},
		'list-machines'(entry) {
			const machines: Machine[] = listEndpoints().map(endpoint => ({
				name: `machine-of-${endpoint.id}`, pool: endpoint.pool, state: 'up', zone: endpoint.zone, labels: endpoint.labels, capacity: endpoint.capacity, endpointId: endpoint.id,
			}));
			deliverLater(entry, {kind: 'machines-listed', machines});
		},
		'answer-caller'(_entry, {requestId, answer}) {
			answers.set(requestId, answer);
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
