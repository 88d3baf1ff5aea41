import {appendItems, emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {type AuthorityView} from '../authority/index.js';
import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {type JobEventOf, type Machine, type MachineOrder} from '../model/index.js';
import {maxReportAgeMs, type FleetState, type OpenOrder} from './fleet-state.js';

/** No order is sent this close to the end of the lease; covers a round trip to the machine service. */
const leaseMarginMs = 400;
/** Unanswered orders are sent again after this time; the service tells if the order has already been carried out. */
const orderAnswerTimeoutMs = 1200;
/** Delay before an order that was temporarily refused is sent again. */
const orderRetryDelayMs = 500;
/** A move that the service has not accepted within this time is given up. */
const moveAttemptsMs = 3000;
/** Bounds of the pause after an order that was given up, or an evacuation that was withdrawn; the longest is of the order of a burst of demand. */
const minOrderPauseMs = 2000;
const maxOrderPauseMs = 16_000;

/** An accepted order counts as complete after this time even if the machine list never showed the machine as unavailable; several times the duration of an order. */
const orderCompletionTimeoutMs = 8000;

/** Whether this entry may send orders to machines now, except to those for which `mayBeOrderedElsewhere` holds. @internal */
export function canOrderMachines({fleet, authority}: {readonly fleet: FleetState} & AuthorityView, {now, wallTime}: Pick<DecisionContext, 'now' | 'wallTime'>): boolean {
	return fleet.token !== undefined && !authority.isStopping && (now >= fleet.ordersAllowedFrom || fleet.inheritedOrders !== undefined)
		&& now < authority.validUntil - leaseMarginMs && wallTime < authority.wallValidUntil - leaseMarginMs;
}

/** Whether the previous holder may have ordered a machine so recently that it must not be ordered yet. @internal */
export function mayBeOrderedElsewhere({ordersAllowedFrom, inheritedOrders}: FleetState, machine: string, now: number): boolean {
	return now < ordersAllowedFrom && inheritedOrders?.has(machine) !== false;
}

/** Whether the previous holder, which may be an earlier process of this entry, may have ordered a machine so recently that the machine list does not show it yet. @internal */
export function mayBeInherited({inheritedUntil, inheritedOrders}: FleetState, machine: string, now: number): boolean {
	return now < inheritedUntil && inheritedOrders?.has(machine) !== false;
}

/** Sends an order, unless one for the same machine is open that has not been refused, or another one that may still be carried out. @internal */
export function orderMachine(
	state: {readonly fleet: FleetState} & AuthorityView,
	machine: Machine,
	order: {readonly order: MachineOrder; readonly pool: string; readonly wave: number},
	context: DecisionContext,
): JobOutput[] {
	const {fleet, authority} = state;
	const openOrder = fleet.orders.get(machine.name);
	if ((openOrder !== undefined && openOrder.phase !== 'retry') || mayBeOrderedElsewhere(fleet, machine.name, context.now)) {
		return [];
	}

	if (openOrder !== undefined && context.now < openOrder.sentAt + orderRetryDelayMs) {
		return [];
	}

	const repeated = openOrder?.order === order.order && openOrder.wave === order.wave ? openOrder : undefined;
	if (openOrder !== undefined && repeated === undefined && !isSettled(fleet, openOrder)) {
		return [];
	}

	const sent: OpenOrder = {
		...order,
		machine: machine.name,
		sentAt: context.now,
		firstAttemptAt: repeated?.firstAttemptAt ?? context.now,
		lastAttemptAt: context.now,
		isUncertain: repeated?.isUncertain ?? false,
		endpointId: machine.endpointId,
		phase: 'sent',
		wasSeenUnavailable: false,
	};
	fleet.orders.set(machine.name, sent);
	return [
		emitLog('info', 'machine order sent', {
			machine: machine.name, ...order, from: machine.pool, endpoint: machine.endpointId, token: fleet.token, listAgeMs: Math.round(context.now - (fleet.listedAt ?? 0)),
		}),
		emitEffect({
			kind: 'order-machine',
			...order,
			machine: machine.name,
			token: fleet.token!,
			validUntil: authority.validUntil - leaseMarginMs,
			wallValidUntil: authority.wallValidUntil - leaseMarginMs,
		}),
	];
}

/** Sends moves again whose outcome is unknown or that the service could not take, until they are given up. The service tells if a move has already been carried out. @internal */
export function retryMoves(state: {readonly fleet: FleetState} & AuthorityView, context: DecisionContext): JobOutput[] {
	const {fleet} = state;
	const outputs: JobOutput[] = [];
	for (const openOrder of fleet.orders.values()) {
		const machine = fleet.machines.get(openOrder.machine);
		const {order, phase, pool} = openOrder;
		if (order === 'move' && phase === 'retry' && machine?.state === 'up' && !isPointless(fleet, openOrder, context.now)) {
			appendItems(outputs, orderMachine(state, machine, {order, pool, wave: 0}, context));
		}
	}

	return outputs;
}

/** Whether a maintenance order of a machine may have been carried out, or may still be. A move does not take the machine down for maintenance. @internal */
export function mayBeMaintained(fleet: FleetState, machine: string): boolean {
	const openOrder = fleet.orders.get(machine);
	return openOrder?.order === 'maintain' && (openOrder.phase !== 'retry' || !isSettled(fleet, openOrder));
}

/** Whether a machine is unavailable because of an order, or may be. @internal */
export function hasOpenOrder(fleet: FleetState, machine: string): boolean {
	return fleet.orders.has(machine);
}

type AnswerHandler = (fleet: FleetState, openOrder: OpenOrder, context: DecisionContext) => JobOutput[];

const scheduleRetry: AnswerHandler = (_fleet, openOrder, context) => {
	openOrder.phase = 'retry';
	openOrder.sentAt = context.now;
	return [];
};

/** Drops an order that does not apply to the machine; it is not sent again. */
const dropOrder: AnswerHandler = (fleet, openOrder) => {
	fleet.orders.delete(openOrder.machine);
	fleet.waves.get(openOrder.wave)?.maintained.add(openOrder.machine);
	if (openOrder.order === 'move') {
		fleet.immovableMachines.add(openOrder.machine);
	}

	return [];
};

const answerHandlers: Readonly<Record<JobEventOf<'machine-order-answered'>['result'], AnswerHandler>> = {
	accepted(fleet, openOrder, context) {
		acceptOrder(fleet, openOrder, context.now);
		return [];
	},
	fenced(fleet, openOrder) {
		fleet.orders.delete(openOrder.machine);
		return fleet.token === undefined ? [] : [{kind: 'first', event: {kind: 'claim-superseded', name: 'fleet', token: fleet.token}}];
	},
	busy: scheduleRetry,
	limited: scheduleRetry,
	unknown(fleet, openOrder, context) {
		openOrder.isUncertain = true;
		return scheduleRetry(fleet, openOrder, context);
	},
	'not-in-wave': dropOrder,
	invalid: dropOrder,
};

/** Handles the machine service's answer to an order. @internal */
export function handleOrderAnswer(fleet: FleetState, {machine, order, result}: JobEventOf<'machine-order-answered'>, context: DecisionContext): JobOutput[] {
	const openOrder = fleet.orders.get(machine);
	if (openOrder?.order !== order) {
		return [];
	}

	return [
		emitLog('info', 'machine order answered', {
			machine, order, result, pool: openOrder.pool, wave: openOrder.wave, tookMs: Math.round(context.now - openOrder.sentAt),
		}),
		emitCount(`machine_orders_total{order="${order}",result="${result}"}`),
		...answerHandlers[result](fleet, openOrder, context),
	];
}

/** Records which machines have joined their pool and which orders are complete, according to a new machine list. @internal */
export function updateFromMachineList(fleet: FleetState, machines: readonly Machine[], context: DecisionContext): void {
	for (const machine of machines) {
		const openOrder = fleet.orders.get(machine.name);
		const before = fleet.machines.get(machine.name);
		const hasMoved = before?.pool !== machine.pool || before.endpointId !== machine.endpointId;
		// The first list of a new holder does not tell when machines joined their pools; most did so long ago.
		if (hasMoved && fleet.listedAt !== undefined) {
			fleet.joinedPoolAt.set(machine.name, context.now);
		}

		if (openOrder === undefined) {
			continue;
		}

		const listValidAt = fleet.listValidAt ?? context.now;
		if (openOrder.phase !== 'accepted' && isShownAsCarriedOut(openOrder, machine)) {
			acceptOrder(fleet, openOrder, listValidAt);
		}

		// A list that was requested earlier may show the machine as it was before the order.
		if (openOrder.phase !== 'accepted' || listValidAt < openOrder.sentAt) {
			continue;
		}

		openOrder.wasSeenUnavailable ||= machine.state !== 'up';
		const isBack = machine.state === 'up' && (openOrder.wasSeenUnavailable || machine.endpointId !== openOrder.endpointId);
		if (isBack || context.now > openOrder.sentAt + orderCompletionTimeoutMs) {
			fleet.orders.delete(machine.name);
		}
	}

	const listed = new Set(machines.map(machine => machine.name));
	for (const openOrder of fleet.orders.values()) {
		if (!listed.has(openOrder.machine)) {
			fleet.orders.delete(openOrder.machine);
		}
	}
}

/** Whether the machine list shows that an order was carried out although its answer was lost. */
function isShownAsCarriedOut({order, pool}: OpenOrder, machine: Machine): boolean {
	return order === 'move' ? machine.pool === pool : machine.state === 'maintenance';
}

/** @param at - When the order had certainly been carried out, in monotonic ms. */
function acceptOrder(fleet: FleetState, openOrder: OpenOrder, at: number): void {
	fleet.pausedMachines.delete(openOrder.machine);
	openOrder.phase = 'accepted';
	openOrder.sentAt = at;
	const wave = fleet.waves.get(openOrder.wave);
	if (openOrder.order === 'maintain' && wave !== undefined) {
		wave.maintained.add(openOrder.machine);
		wave.hasUnwrittenStatus = true;
	}
}

/** Lets orders that were not answered in time be sent again. @internal */
export function expireOrders(fleet: FleetState, now: number): void {
	for (const openOrder of fleet.orders.values()) {
		if (openOrder.phase === 'sent' && now > openOrder.sentAt + orderAnswerTimeoutMs) {
			openOrder.phase = 'retry';
			openOrder.isUncertain = true;
		}
	}
}

/** Whether tasks that fit nowhere else wait for an endpoint, by the report of its pool's owner. @internal */
export function isEndpointNeeded(fleet: FleetState, pool: string, endpointId: string, now: number): boolean {
	const known = fleet.reports.get(pool);
	return known !== undefined && now <= known.seenAt + maxReportAgeMs && known.report.neededEndpoints.includes(endpointId);
}

/** Whether an order must not be sent again: the machine's endpoint is needed where it is, or the service has not accepted a move for too long, or the machine has another endpoint, which has not been evacuated. */
function isPointless(fleet: FleetState, {machine: name, order, endpointId, firstAttemptAt}: OpenOrder, now: number): boolean {
	const machine = fleet.machines.get(name);
	const isNeeded = machine !== undefined && endpointId !== undefined && isEndpointNeeded(fleet, machine.pool, endpointId, now);
	return isNeeded || (order === 'move' && (now > firstAttemptAt + moveAttemptsMs || machine?.endpointId !== endpointId));
}

/** Whether it is certain that an order has not been carried out and will not be: each attempt was refused, or a list that was read after the last one shows the machine unchanged, or in its pool with another endpoint. */
function isSettled({machines, listValidAt = 0}: FleetState, {machine: name, order, endpointId, isUncertain, lastAttemptAt}: OpenOrder): boolean {
	const machine = machines.get(name);
	return !isUncertain || (listValidAt > lastAttemptAt + orderAnswerTimeoutMs && machine?.state === 'up' && (order === 'move' || machine.endpointId === endpointId));
}

/** Gives up orders that the service does not accept, so that their machines can be used where they are. @internal */
export function giveUpOrders(fleet: FleetState, {now}: DecisionContext): JobOutput[] {
	const outputs: JobOutput[] = [];
	for (const openOrder of fleet.orders.values()) {
		const {machine, order, pool, endpointId, firstAttemptAt} = openOrder;
		if (openOrder.phase !== 'retry' || !isPointless(fleet, openOrder, now) || !isSettled(fleet, openOrder)) {
			continue;
		}

		fleet.orders.delete(machine);
		pauseOrders(fleet, machine, now);
		outputs.push(emitLog('warn', 'machine order given up', {
			machine, order, pool, endpoint: endpointId, ageMs: Math.round(now - firstAttemptAt), pausedMs: Math.round(fleet.pausedMachines.get(machine)!.pausedUntil - now),
		}));
	}

	return outputs;
}

/** Prepares no other order of a machine for a while, a longer one each time. @internal */
export function pauseOrders({pausedMachines}: FleetState, machine: string, now: number): void {
	const count = (pausedMachines.get(machine)?.count ?? 0) + 1;
	pausedMachines.set(machine, {count, pausedUntil: now + Math.min(maxOrderPauseMs, minOrderPauseMs * (2 ** (count - 1)))});
}

/** Whether a machine may be prepared for an order: the service does not refuse it for good, and has not just failed to accept one. @internal */
export function canPrepareOrder({pausedMachines, immovableMachines}: FleetState, machine: string, now: number): boolean {
	return !immovableMachines.has(machine) && now >= (pausedMachines.get(machine)?.pausedUntil ?? 0);
}
