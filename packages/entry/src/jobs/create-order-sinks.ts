import {setTimeout as delay} from 'node:timers/promises';
import {
	type JobEffect, type JobEvent, type JobEventOf, type OrderEffect,
} from '@pistachiogauge/jobs';
import {requestAdvice} from '@pistachiogauge/platform';
import {type SinkTable} from '@pistachiogauge/pipeline';
import {type JobSinkDependencies} from './job-sink-dependencies.js';
import {type OrderJournal} from './order-journal.js';
import {retryPauseMs} from './record-writer.js';

/** Runs a call that publishes its result as an event; `failureEvent` is published when the call throws. @internal */
export type CallRunner = (name: string, call: () => Promise<void>, failureEvent?: JobEvent) => void;

type OrderSinkDependencies = Pick<JobSinkDependencies, 'state' | 'endpoints' | 'machineService' | 'adviceAddress' | 'http' | 'pushEvent'> & {readonly orderJournal: OrderJournal};

/** Creates the sinks for orders to endpoints and machines, and for requests for advice. @internal */
export function createOrderSinks(dependencies: OrderSinkDependencies, runCall: CallRunner): Pick<SinkTable<JobEffect>, OrderEffect['kind']> {
	const {pushEvent} = dependencies;
	return {
		'poll-endpoint'(effect) {
			runCall('poll-endpoint', async () => {
				pushEvent(await dependencies.endpoints.pollEndpoint(effect));
			});
		},
		'start-task'(effect) {
			runCall('start-task', async () => {
				pushEvent(await dependencies.endpoints.startTask(effect));
			});
		},
		'stop-task'(effect) {
			runCall('stop-task', async () => {
				pushEvent(await dependencies.endpoints.stopTask(effect));
			});
		},
		'pace-task'(effect) {
			runCall('pace-task', async () => {
				pushEvent(await dependencies.endpoints.paceTask(effect));
			});
		},
		'ask-advice'(effect) {
			const {adviceAddress} = dependencies;
			runCall('ask-advice', async () => {
				pushEvent(adviceAddress === undefined
					? {
						kind: 'advice-answered', pool: effect.pool, stepId: effect.stepId, endpointIds: effect.endpointIds, tickets: undefined, validMs: 0, isComplete: false,
					}
					: await requestAdvice(dependencies.http, adviceAddress, effect));
			});
		},
		'list-machines'({requestedAt}) {
			runCall('list-machines', async () => {
				const machines = await dependencies.machineService?.listMachines();
				if (machines === undefined) {
					// The decisions ask again at once, and the service limits the calls of all entries together.
					await delay(retryPauseMs);
				}

				pushEvent(machines === undefined ? {kind: 'machine-list-failed', requestedAt} : {kind: 'machines-listed', requestedAt, machines});
			}, {kind: 'machine-list-failed', requestedAt});
		},
		'order-machine'(effect) {
			const {machine, order, token} = effect;
			const publishAnswer = (result: JobEventOf<'machine-order-answered'>['result']) => {
				// A refusal of an earlier claim's token says nothing about the present claim.
				const isFormerRefusal = result === 'fenced' && dependencies.state.fleet.token !== token;
				pushEvent({
					kind: 'machine-order-answered', machine, order, result: isFormerRefusal ? 'limited' : result,
				});
			};

			runCall('order-machine', async () => {
				const recorded = await dependencies.orderJournal.recordOrder(machine);
				// Without a record the next holder would not know of the order, so it is not sent; `limited` makes the decisions try it again.
				if (recorded !== 'applied' || dependencies.state.fleet.token !== token) {
					publishAnswer(recorded === 'conflict' ? 'fenced' : 'limited');
					return;
				}

				const {result} = await dependencies.machineService?.orderMachine(effect) ?? {result: 'invalid'};
				publishAnswer(result);
			});
		},
	};
}
