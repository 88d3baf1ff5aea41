import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {type AuthorityView} from '../authority/index.js';
import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {type JobEventOf, type Machine, type MachineOrder} from '../model/index.js';
import {type FleetState, type OpenOrder} from './fleet-state.js';

/** Time in ms before the end of the lease from which no order is sent; a call's way to the machine service and back. */
const leaseMarginMs = 400;
/** Time in ms after which an unanswered order is sent again; the service says so if it is done already. */
const orderAgainMs = 1200;
/** Pause in ms before an order that was turned down for the moment is sent again. */
const busyPauseMs = 500;

/** Time in ms after which a machine counts as back though the list never showed it away; several times what an order takes. */
const backLimitMs = 8000;

/** Whether this entry may give orders to machines now. @internal */
export function mayOrder({fleet, authority}: {readonly fleet: FleetState} & AuthorityView, now: number): boolean {
	return fleet.token !== undefined && !authority.isStopping && now >= fleet.mayOrderFrom && now < authority.validUntil - leaseMarginMs;
}

/** Sends an order, unless one is out for the machine. @internal */
export function orderMachine(
	state: {readonly fleet: FleetState} & AuthorityView,
	machine: Machine,
	order: {readonly order: MachineOrder; readonly pool: string; readonly wave: number},
	context: DecisionContext,
): JobOutput[] {
	const {fleet, authority} = state;
	const open = fleet.orders.get(machine.name);
	if (open !== undefined && open.phase !== 'again') {
		return [];
	}

	if (open !== undefined && context.now < open.sentAt + busyPauseMs) {
		return [];
	}

	const sent: OpenOrder = {
		...order, machine: machine.name, sentAt: context.now, endpointId: machine.endpointId, phase: 'sent', wasSeenAway: false,
	};
	fleet.orders.set(machine.name, sent);
	return [
		emitLog('info', 'machine ordered', {
			machine: machine.name, ...order, from: machine.pool, endpoint: machine.endpointId, token: fleet.token, listAgeMs: Math.round(context.now - (fleet.listedAt ?? 0)),
		}),
		emitEffect({
			kind: 'order-machine', ...order, machine: machine.name, token: fleet.token!, validUntil: authority.validUntil - leaseMarginMs,
		}),
	];
}

/** Whether a machine is away because of an order, or may be. @internal */
export function isAway(fleet: FleetState, machine: string): boolean {
	return fleet.orders.has(machine);
}

type AnswerHandler = (fleet: FleetState, open: OpenOrder, context: DecisionContext) => JobOutput[];

const orderAgain: AnswerHandler = (_fleet, open, context) => {
	open.phase = 'again';
	open.sentAt = context.now;
	return [];
};

/** The order makes no sense for the machine; it is not given again. */
const giveUp: AnswerHandler = (fleet, open) => {
	fleet.orders.delete(open.machine);
	fleet.waves.get(open.wave)?.maintained.add(open.machine);
	if (open.order === 'move') {
		fleet.immovable.add(open.machine);
	}

	return [];
};

const answerHandlers: Readonly<Record<JobEventOf<'machine-order-answered'>['result'], AnswerHandler>> = {
	accepted(fleet, open, context) {
		open.phase = 'accepted';
		open.sentAt = context.now;
		const wave = fleet.waves.get(open.wave);
		if (open.order === 'maintain' && wave !== undefined) {
			wave.maintained.add(open.machine);
			wave.isBehind = true;
		}

		return [];
	},
	fenced(fleet, open) {
		fleet.orders.delete(open.machine);
		return fleet.token === undefined ? [] : [{kind: 'first', event: {kind: 'claim-superseded', name: 'fleet', token: fleet.token}}];
	},
	busy: orderAgain,
	limited: orderAgain,
	unknown: orderAgain,
	'not-in-wave': giveUp,
	invalid: giveUp,
};

/** Takes the machine service's answer to an order. @internal */
export function settleOrder(fleet: FleetState, {machine, order, result}: JobEventOf<'machine-order-answered'>, context: DecisionContext): JobOutput[] {
	const open = fleet.orders.get(machine);
	if (open?.order !== order) {
		return [];
	}

	return [
		emitLog('info', 'machine order answered', {
			machine, order, result, pool: open.pool, wave: open.wave, tookMs: Math.round(context.now - open.sentAt),
		}),
		emitCount(`machine_orders_total{order="${order}",result="${result}"}`),
		...answerHandlers[result](fleet, open, context),
	];
}

/** Notes which machines are back, and sends orders that got no answer again. @internal */
export function followMachines(fleet: FleetState, machines: readonly Machine[], context: DecisionContext): void {
	for (const machine of machines) {
		const open = fleet.orders.get(machine.name);
		const before = fleet.machines.get(machine.name);
		if (before?.pool !== machine.pool || before.endpointId !== machine.endpointId) {
			fleet.settledAt.set(machine.name, context.now);
		}

		if (open?.phase !== 'accepted') {
			continue;
		}

		open.wasSeenAway ||= machine.state !== 'up';
		const isBack = machine.state === 'up' && (open.wasSeenAway || machine.endpointId !== open.endpointId);
		if (isBack || context.now > open.sentAt + backLimitMs) {
			fleet.orders.delete(machine.name);
		}
	}

	const listed = new Set(machines.map(machine => machine.name));
	for (const open of fleet.orders.values()) {
		if (!listed.has(open.machine)) {
			fleet.orders.delete(open.machine);
		}
	}
}

/** Orders without an answer may be sent again after a while. @internal */
export function checkOrders(fleet: FleetState, now: number): void {
	for (const open of fleet.orders.values()) {
		if (open.phase === 'sent' && now > open.sentAt + orderAgainMs) {
			open.phase = 'again';
		}
	}
}
