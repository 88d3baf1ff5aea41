import {type CallerServer, type EndpointClient} from '@pistachiogauge/http';
import {type Effect} from '@pistachiogauge/model';
import {type PeerNetwork} from '@pistachiogauge/peer';
import {type SinkTable} from '@pistachiogauge/pipeline';
import {type StoreClient} from '@pistachiogauge/store';
import {type Logger, type Metrics} from '@pistachiogauge/telemetry';
import {type InstanceListClient} from './instance-list-client.js';
import {type RequestObserver} from './request-observer.js';

/** What the sinks need to carry out effects. @internal */
export type SinkDependencies = {
	readonly callers: CallerServer;
	readonly endpoints: EndpointClient;
	readonly peers: PeerNetwork;
	readonly store: StoreClient;
	readonly instances: InstanceListClient;
	readonly observer: RequestObserver;
	readonly metrics: Metrics;
	readonly log: Logger;
	readonly stop: (exitCode: 0 | 1) => void;
};

/** Creates the table of sinks, which carry out the effects of each kind. @internal */
export function createSinks({callers, endpoints, peers, store, instances, observer, metrics, log, stop}: SinkDependencies): SinkTable<Effect> {
	return {
		'answer-caller'({requestId, result}) {
			observer.observeResult(requestId, result);
			callers.answerCaller(requestId, result);
		},
		'send-endpoint': endpoints.sendAttempt,
		'probe-endpoint': endpoints.probeEndpoint,
		'reboot-instance': instances.rebootInstance,
		'send-peer'(effect) {
			observer.observeMessage(effect);
			peers.sendMessage(effect.to, effect.message);
		},
		'open-link'({entryId, address}) {
			peers.openLink(entryId, address);
		},
		'close-link'({entryId}) {
			peers.closeLink(entryId);
		},
		'read-store': store.runOperation,
		'write-store': store.runOperation,
		'delete-store': store.runOperation,
		'answer-operator'({callId, status, body}) {
			callers.answerOperator(callId, status, body);
		},
		'set-readiness'({isReady}) {
			log('info', isReady ? 'entry ready for callers' : 'entry not ready for callers');
			callers.setReadiness(isReady);
		},
		'stop-process'({exitCode}) {
			stop(exitCode);
		},
		count({metric, by}) {
			metrics.addCount(metric, by);
		},
		observe({metric, value}) {
			metrics.recordValue(metric, value);
		},
		log({level, message, fields}) {
			log(level, message, fields);
		},
		'handler-failed'({filter, eventKind, error}) {
			metrics.addCount('handler_failures_total');
			log('error', 'event handler failed', {filter, event: eventKind, error: error instanceof Error ? error.stack ?? error.message : String(error)});
		},
	};
}
