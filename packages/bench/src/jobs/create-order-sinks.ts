import {type RandomSource} from '@pistachiogauge/chain';
import {type JobEvent} from '@pistachiogauge/jobs';
import {type EventQueue} from '../virtual/event-queue.js';
import {type VirtualSinks} from './create-virtual-sinks.js';
import {type EventDelivery} from './event-delivery.js';
import {
	chooseBetween, drawRoute, type EndpointOrder, type OrderDisturbance, type OrderRoute, type OrderRouter,
} from './order-routes.js';
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
	readonly describeSender: (entry: VirtualJobsEntry, pool: string, incarnation: string) => Omit<OrderSender, 'isLate'>;
	/** Share of orders to endpoints that get no answer and take effect seconds later. */
	readonly getLateOrderShare: () => number;
	/** By endpoint id. */
	readonly orderDisturbances: ReadonlyMap<string, OrderDisturbance>;
	readonly routeOrder: OrderRouter;
	readonly logFault: (text: string) => void;
};

type Order = {
	readonly effect: EndpointOrder;
	/** Time after which the entry gives up. */
	readonly timeoutMs: number;
	/** Event of an order without an answer. */
	readonly lost: JobEvent;
	readonly run: (endpoint: VirtualTaskEndpoint, answer: (event: JobEvent) => void, isLate: boolean) => void;
};

const orderTimeoutMs = 700;
/** Bounds of the delay after which an order looks again for a process of its endpoint; orders that wait for one reach it in any order. */
const processLookupMs = {min: 1, max: 300} as const;
/** Orders to a machine that does not answer reach the next process on it. */
const connectsOnReturn: OrderRoute = {kind: 'slow', delayMs: 0, answerDelayMs: 0};
/** Time for which an order waits for a process that carries it out. */
const processWaitMs = 15_000;

/** Creates the sinks for orders to endpoints. */
export function createOrderSinks({
	queue, random, network, endpoints, delivery, chooseDelayMs, describeSender, getLateOrderShare, orderDisturbances, routeOrder, logFault,
}: OrderSinkTools): Pick<VirtualSinks, 'poll-endpoint' | 'start-task' | 'stop-task'> {
	/** Carries an order out in the process that runs under the endpoint's id after the delay, or in the next one. */
	function carryOutLater(endpointId: string, delayMs: number, run: (endpoint: VirtualTaskEndpoint) => void, lostAt = queue.now + delayMs + processWaitMs): void {
		queue.add(delayMs, () => {
			const endpoint = endpoints.get(endpointId);
			if (endpoint?.isUp === true) {
				run(endpoint);
			} else if (queue.now < lostAt) {
				carryOutLater(endpointId, chooseBetween(random, processLookupMs), run, lostAt);
			}
		});
	}

	function sendOrder(entry: VirtualJobsEntry, {
		effect, timeoutMs, lost, run,
	}: Order): void {
		const {endpointId} = effect.target;
		const {incarnation} = entry;
		let isFinished = false;
		const finish = (event: JobEvent) => {
			if (!isFinished) {
				isFinished = true;
				delivery.deliver(entry, event, incarnation);
			}
		};

		const createAnswer = (addedMs: number) => (event: JobEvent) => {
			if (endpoints.get(endpointId)?.isReachable === true && network.canDeliver(endpointId, entry.node)) {
				queue.add(chooseDelayMs() + addedMs, () => {
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

			const route = !endpoint.isUp && endpoint.isDark ? connectsOnReturn : routeOrder(effect) ?? drawRoute(random, isLate ? 'late' : orderDisturbances.get(endpointId));
			const byRoute: Readonly<Record<OrderRoute['kind'], () => void>> = {
				usual() {
					run(endpoint, createAnswer(0), false);
				},
				late() {
					const arrivedAt = queue.now;
					carryOutLater(endpointId, delayMs, process => {
						const task = 'taskId' in effect ? ` of ${effect.taskId} run ${effect.run}` : '';
						const isOther = process === endpoint ? '' : ' by a later process';
						logFault(`${effect.kind}${task} for ${endpointId} is carried out ${Math.round(queue.now - arrivedAt)} ms late${isOther}`);
						run(process, () => undefined, true);
					});
				},
				slow() {
					carryOutLater(endpointId, delayMs, process => {
						run(process, createAnswer(answerDelayMs), false);
					});
				},
			};
			const {delayMs, answerDelayMs} = {delayMs: 0, answerDelayMs: 0, ...route};
			byRoute[route.kind]();
		});
	}

	return {
		'poll-endpoint'(entry, effect) {
			const {endpointId, token, generation} = effect.target;
			const {incarnation} = entry;
			sendOrder(entry, {
				effect,
				timeoutMs: effect.waitMs + orderTimeoutMs,
				lost: {
					kind: 'poll-refused', endpointId, token, generation, refusal: 'no-answer',
				},
				run(endpoint, answer, isLate) {
					endpoint.poll(effect, {...describeSender(entry, endpoint.registration.pool, incarnation), isLate}, answer);
				},
			});
		},
		'start-task'(entry, effect) {
			const {target: {endpointId, token}, taskId, run} = effect;
			const {incarnation} = entry;
			const refused = {
				kind: 'start-refused', endpointId, token, taskId, run,
			} as const;
			sendOrder(entry, {
				effect,
				timeoutMs: orderTimeoutMs,
				lost: {...refused, refusal: 'no-answer'},
				run(endpoint, answer, isLate) {
					const result = endpoint.startTask(effect, {...describeSender(entry, endpoint.registration.pool, incarnation), isLate});
					answer(typeof result === 'number'
						? {
							kind: 'start-answered', endpointId, token, taskId, run, clockMs: result,
						}
						: {...refused, refusal: result});
				},
			});
		},
		'stop-task'(entry, effect) {
			const {target: {endpointId, token, generation}, taskId, run} = effect;
			const stopped = {
				kind: 'stop-answered', endpointId, token, generation, taskId, run,
			} as const;
			sendOrder(entry, {
				effect,
				timeoutMs: orderTimeoutMs,
				lost: {...stopped, refusal: 'no-answer'},
				run(endpoint, answer) {
					answer({...stopped, refusal: endpoint.stopTask(effect)});
				},
			});
		},
	};
}
