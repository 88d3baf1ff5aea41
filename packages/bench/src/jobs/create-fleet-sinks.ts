import {type JobEventOf} from '@pistachiogauge/jobs';
import {type EventQueue} from '../virtual/event-queue.js';
import {type StoreCaller} from './call-store.js';
import {type VirtualSinks} from './create-virtual-sinks.js';
import {type EventDelivery} from './event-delivery.js';
import {type VirtualFleetRecords} from './virtual-fleet-records.js';
import {type VirtualJobsEntry} from './virtual-jobs-entry.js';
import {type VirtualMachineService} from './virtual-machine-service.js';

export type FleetSinkTools = {
	readonly queue: EventQueue;
	readonly delivery: EventDelivery;
	readonly callStore: StoreCaller;
	readonly fleetRecords: VirtualFleetRecords;
	readonly machineService: VirtualMachineService;
	readonly chooseDelayMs: () => number;
};

/** Pause before a write of the fleet's records is tried again that was not answered. */
const retryMs = 300;
/** Time after which an order to a machine counts as unanswered. */
const orderTimeoutMs = 1000;

/** Creates the sinks for the fleet's records and machines. */
export function createFleetSinks({
	queue, delivery, callStore, fleetRecords, machineService, chooseDelayMs,
}: FleetSinkTools): Pick<VirtualSinks, 'request-evacuation' | 'withdraw-evacuation' | 'confirm-evacuation' | 'write-wave-status' | 'follow-fleet' | 'list-machines' | 'order-machine'> {
	/** The newest write of each entry and record; older ones are not tried again. */
	const latestWrites = new Map<string, () => boolean>();

	function writeUntilAnswered(entry: VirtualJobsEntry, key: string, run: () => boolean): void {
		const {incarnation} = entry;
		const writeKey = `${incarnation} ${key}`;
		latestWrites.set(writeKey, run);
		const attempt = () => {
			if (latestWrites.get(writeKey) !== run) {
				return;
			}

			callStore(entry, {
				isWrite: true,
				run,
				onAnswer: () => undefined,
				onFailure() {
					queue.add(retryMs, () => {
						delivery.runInProcess(entry, attempt, incarnation);
					});
				},
			});
		};

		attempt();
	}

	return {
		'request-evacuation'(entry, {request}) {
			const token = entry.state.fleet.token ?? 0;
			writeUntilAnswered(entry, `request ${request.endpointId}`, () => fleetRecords.requestEvacuation(request, token));
		},
		'withdraw-evacuation'(entry, {pool, endpointId}) {
			const token = entry.state.fleet.token ?? 0;
			writeUntilAnswered(entry, `request ${endpointId}`, () => fleetRecords.withdrawEvacuation(pool, endpointId, token));
		},
		'confirm-evacuation'(entry, {token, evacuated}) {
			writeUntilAnswered(entry, `confirmation ${evacuated.endpointId}`, () => fleetRecords.confirmEvacuation(evacuated, token));
		},
		'write-wave-status'(entry, {number, status, maintained}) {
			const token = entry.state.fleet.token ?? 0;
			const deliverResult = (result: JobEventOf<'wave-status-written'>['result']) => {
				delivery.deliver(entry, {kind: 'wave-status-written', number, result});
			};

			callStore(entry, {
				isWrite: true,
				run: () => fleetRecords.recordWaveProgress({number, maintained, isDone: status === 'done'}, token),
				onAnswer(isWritten) {
					deliverResult(isWritten ? 'applied' : 'conflict');
				},
				onFailure(failure) {
					queue.add(retryMs, () => {
						deliverResult(failure);
					});
				},
			});
		},
		'follow-fleet'(entry, {isFollowing}) {
			if (isFollowing) {
				callStore(entry, {
					isWrite: false,
					run: () => fleetRecords.listForFleet(),
					onAnswer(events) {
						for (const event of events) {
							delivery.deliver(entry, event);
						}
					},
					onFailure: () => undefined,
				});
			}
		},
		'list-machines'(entry, {requestedAt}) {
			queue.add(chooseDelayMs(), () => {
				delivery.deliverLater(entry, {kind: 'machines-listed', requestedAt, machines: machineService.listMachines()});
			});
		},
		'order-machine'(entry, {
			machine, order, pool, wave, validUntil,
		}) {
			const {incarnation} = entry;
			let isFinished = false;
			const finish = (result: JobEventOf<'machine-order-answered'>['result']) => {
				if (!isFinished) {
					isFinished = true;
					delivery.deliver(entry, {
						kind: 'machine-order-answered', machine, order, result,
					}, incarnation);
				}
			};

			queue.add(orderTimeoutMs, () => {
				finish('unknown');
			});
			queue.add(chooseDelayMs(), () => {
				const carryOut = {move: () => machineService.moveMachine(machine, pool), maintain: () => machineService.maintainMachine(machine, wave)}[order];
				const result = queue.now < validUntil ? carryOut() : 'limited';
				if (result !== undefined) {
					queue.add(chooseDelayMs(), () => {
						finish(result);
					});
				}
			});
		},
	};
}
