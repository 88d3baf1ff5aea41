import {setTimeout as delay} from 'node:timers/promises';
import {type JobEffect} from '@pistachiogauge/jobs';
import {encodeWaveStatus, type StoreTransaction} from '@pistachiogauge/platform';
import {type SinkTable} from '@pistachiogauge/pipeline';
import {type CallRunner} from './create-order-sinks.js';
import {type GuardedWriter} from './guard-writes.js';
import {encodeRecord, recordKeys} from './job-records.js';
import {type JobSinkDependencies} from './job-sink-dependencies.js';
import {type OrderJournal} from './order-journal.js';
import {createRecordWriter, retryPauseMs} from './record-writer.js';
import {writeResults} from './write-results.js';

/** Effects whose sinks write the records that the holder of the fleet claim and the owners of pools exchange. */
type FleetRecordEffect = 'request-evacuation' | 'withdraw-evacuation' | 'confirm-evacuation' | 'carry-over-orders' | 'write-demand-history' | 'write-wave-status';

type FleetSinkTools = {
	readonly runCall: CallRunner;
	readonly orderJournal: OrderJournal;
	readonly writeGuarded: GuardedWriter;
	/** Conditions under which a transaction is applied only while this entry holds the fleet claim. */
	readonly createFleetConditions: () => StoreTransaction['conditions'];
};

/** Creates the sinks that write the records of the fleet. @internal */
export function createFleetSinks({log, pushEvent}: Pick<JobSinkDependencies, 'log' | 'pushEvent'>, {runCall, orderJournal, writeGuarded, createFleetConditions}: FleetSinkTools): Pick<SinkTable<JobEffect>, FleetRecordEffect> {
	const writeRecord = createRecordWriter(writeGuarded, log);
	return {
		'request-evacuation'({request}) {
			const key = `${recordKeys.evacuationPrefix}${request.pool}/${request.endpointId}`;
			runCall('request-evacuation', async () => writeRecord(key, {conditions: createFleetConditions(), puts: [{key, value: encodeRecord(request)}]}));
		},
		'withdraw-evacuation'({pool, endpointId}) {
			const key = `${recordKeys.evacuationPrefix}${pool}/${endpointId}`;
			runCall('withdraw-evacuation', async () => writeRecord(key, {
				conditions: createFleetConditions(),
				puts: [],
				deletes: [key, `${recordKeys.evacuatedPrefix}${pool}/${endpointId}`],
			}));
		},
		'confirm-evacuation'({token, evacuated: {requestId, pool, endpointId}}) {
			const key = `${recordKeys.evacuatedPrefix}${pool}/${endpointId}`;
			runCall('confirm-evacuation', async () => writeRecord(key, {
				conditions: [{key: `${recordKeys.claimPrefix}pool/${pool}`, revision: token}],
				puts: [{key, value: encodeRecord({requestId})}],
			}));
		},
		'carry-over-orders'() {
			runCall('carry-over-orders', async () => {
				await orderJournal.writeRecord();
			});
		},
		'write-demand-history'({history}) {
			runCall('write-demand-history', async () => {
				const result = await writeGuarded(recordKeys.demandHistoryKey, {
					conditions: createFleetConditions(),
					puts: [{key: recordKeys.demandHistoryKey, value: encodeRecord({history})}],
				});
				if (result.kind !== 'applied') {
					await delay(retryPauseMs);
				}

				pushEvent({kind: 'demand-history-written', result: writeResults[result.kind]});
			}, {kind: 'demand-history-written', result: 'unknown'});
		},
		'write-wave-status'({number, status, maintained}) {
			runCall('write-wave-status', async () => {
				const key = `${recordKeys.wavePrefix}${number}`;
				const result = await writeGuarded(key, {
					conditions: createFleetConditions(),
					puts: [encodeWaveStatus(number, status), {key, value: encodeRecord({maintained, isDone: status === 'done'})}],
				});
				if (result.kind !== 'applied') {
					await delay(retryPauseMs);
				}

				pushEvent({kind: 'wave-status-written', number, result: writeResults[result.kind]});
			}, {kind: 'wave-status-written', number, result: 'unknown'});
		},
	};
}
