import {type JobEffect, type JobEvent, type OrderEffect} from '@pistachiogauge/jobs';
import {askAdvice} from '@pistachiogauge/platform';
import {type SinkTable} from '@pistachiogauge/pipeline';
import {type JobParts} from './job-parts.js';

/** Runs a call whose outcome is told by an event; `failed` is told when the call throws. @internal */
export type CallRunner = (name: string, call: () => Promise<void>, failed?: JobEvent) => void;

type OrderParts = Pick<JobParts, 'orders' | 'machines' | 'adviceAddress' | 'http' | 'pushEvent'>;

/** Carries out orders to endpoints and machines, and asks for advice. @internal */
export function createOrderSinks(parts: OrderParts, run: CallRunner): Pick<SinkTable<JobEffect>, OrderEffect['kind']> {
	const {pushEvent} = parts;
	return {
		'poll-endpoint'(effect) {
			run('poll-endpoint', async () => {
				pushEvent(await parts.orders.pollEndpoint(effect));
			});
		},
		'start-task'(effect) {
			run('start-task', async () => {
				pushEvent(await parts.orders.startTask(effect));
			});
		},
		'stop-task'(effect) {
			run('stop-task', async () => {
				pushEvent(await parts.orders.stopTask(effect));
			});
		},
		'pace-task'(effect) {
			run('pace-task', async () => {
				pushEvent(await parts.orders.paceTask(effect));
			});
		},
		'ask-advice'(effect) {
			const {adviceAddress} = parts;
			run('ask-advice', async () => {
				pushEvent(adviceAddress === undefined
					? {
						kind: 'advice-answered', pool: effect.pool, stepId: effect.stepId, tickets: undefined, validMs: 0,
					}
					: await askAdvice(parts.http, adviceAddress, effect));
			});
		},
		'list-machines'() {
			run('list-machines', async () => {
				const machines = await parts.machines?.listMachines();
				pushEvent(machines === undefined ? {kind: 'machine-list-failed'} : {kind: 'machines-listed', machines});
			}, {kind: 'machine-list-failed'});
		},
		'order-machine'(effect) {
			run('order-machine', async () => {
				pushEvent(parts.machines === undefined
					? {
						kind: 'machine-order-answered', machine: effect.machine, order: effect.order, result: 'invalid',
					}
					: await parts.machines.orderMachine(effect));
			});
		},
	};
}
