import {type RandomSource} from '@pistachiogauge/chain';
import {type JobEvent} from '@pistachiogauge/jobs';
import {type EventQueue} from '../virtual/event-queue.js';
import {type VirtualSinks} from './create-virtual-sinks.js';
import {type EventDelivery} from './event-delivery.js';
import {type VirtualJobsEntry} from './virtual-jobs-entry.js';
import {type VirtualNetwork} from './virtual-network.js';
import {type OrderSender, type VirtualTaskEndpoint} from './virtual-task-endpoint.js';

export type OrderSinkTools = {
	readonly queue: EventQueue;
	readonly random: RandomSource;
	readonly network: VirtualNetwork;
	readonly endpoints: ReadonlyMap<string, VirtualTaskEndpoint>;
	readonly delivery: EventDelivery;
	readonly chooseDelayMs: () => number;
	readonly describeSender: (entry: VirtualJobsEntry, pool: string, token: number) => OrderSender;
	/** Share of orders to endpoints that get no answer and take effect seconds later. */
	readonly getLateOrderShare: () => number;
};

type Order = {
	readonly endpointId: string;
	/** Time after which the entry gives up. */
	readonly timeoutMs: number;
	/** Event of an order without an answer. */
	readonly lost: JobEvent;
	readonly run: (endpoint: VirtualTaskEndpoint, answer: (event: JobEvent) => void) => void;
};

const orderTimeoutMs = 700;
/** Bounds of the delay of an order that takes effect late. */
const lateOrderMs = {min: 2000, max: 12_000} as const;

/** Creates the sinks for orders to endpoints. */
export function createOrderSinks({
	queue, random, network, endpoints, delivery, chooseDelayMs, describeSender, getLateOrderShare,
}: OrderSinkTools): Pick<VirtualSinks, 'poll-endpoint' | 'start-task' | 'stop-task'> {
	function sendOrder(entry: VirtualJobsEntry, {
		endpointId, timeoutMs, lost, run,
	}: Order): void {
		const {incarnation} = entry;
		let isFinished = false;
		const finish = (event: JobEvent) => {
			if (!isFinished) {
				isFinished = true;
				delivery.deliver(entry, event, incarnation);
			}
		};

		const sendAnswer = (event: JobEvent) => {
			if (endpoints.get(endpointId)?.isReachable === true && network.canDeliver(endpointId, entry.node)) {
				queue.add(chooseDelayMs(), () => {
					finish(event);
				});
			}
		};

		queue.add(timeoutMs, () => {
			finish(lost);
		});
		const isLate = random.getFraction() < getLateOrderShare();
		queue.add(chooseDelayMs(), () => {
			const endpoint = endpoints.get(endpointId);
			if (endpoint?.isReachable !== true || !network.canDeliver(entry.node, endpointId)) {
				return;
			}

			if (!isLate) {
				run(endpoint, sendAnswer);
				return;
			}

			// The process that has received the order carries it out, unless it ends before.
			queue.add(lateOrderMs.min + (random.getFraction() * (lateOrderMs.max - lateOrderMs.min)), () => {
				if (endpoint.isUp) {
					run(endpoint, () => undefined);
				}
			});
		});
	}

	return {
		'poll-endpoint'(entry, effect) {
			const {endpointId, token} = effect.target;
			sendOrder(entry, {
				endpointId,
				timeoutMs: effect.waitMs + orderTimeoutMs,
				lost: {
					kind: 'poll-refused', endpointId, token, refusal: 'no-answer',
				},
				run(endpoint, answer) {
					endpoint.poll(effect, describeSender(entry, endpoint.registration.pool, token), answer);
				},
			});
		},
		'start-task'(entry, effect) {
			const {target: {endpointId, token}, taskId, run} = effect;
			const refused = {
				kind: 'start-refused', endpointId, token, taskId, run,
			} as const;
			sendOrder(entry, {
				endpointId,
				timeoutMs: orderTimeoutMs,
				lost: {...refused, refusal: 'no-answer'},
				run(endpoint, answer) {
					const result = endpoint.startTask(effect, describeSender(entry, endpoint.registration.pool, token));
					answer(typeof result === 'number'
						? {
							kind: 'start-answered', endpointId, token, taskId, run, clockMs: result,
						}
						: {...refused, refusal: result});
				},
			});
		},
		'stop-task'(entry, effect) {
			const {target: {endpointId, token}, taskId, run} = effect;
			const stopped = {
				kind: 'stop-answered', endpointId, token, taskId, run,
			} as const;
			sendOrder(entry, {
				endpointId,
				timeoutMs: orderTimeoutMs,
				lost: {...stopped, refusal: 'no-answer'},
				run(endpoint, answer) {
					answer({...stopped, refusal: endpoint.stopTask(effect)});
				},
			});
		},
	};
}
