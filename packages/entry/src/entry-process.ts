import {randomInt, randomUUID} from 'node:crypto';
import {
	applyEvent, createEntryState, createNotRunResult, createRandomSource, type DecisionContext,
} from '@pistachiogauge/decisions';
import {createCallerServer, createEndpointClient} from '@pistachiogauge/http';
import {type Effect, type EntryConfig, type InputEvent} from '@pistachiogauge/model';
import {createPeerNetwork} from '@pistachiogauge/peer';
import {createPipeline} from '@pistachiogauge/pipeline';
import {verifyBundle, type EntrySettings} from '@pistachiogauge/settings';
import {createStoreClient} from '@pistachiogauge/store';
import {createLogger, createMetrics} from '@pistachiogauge/telemetry';
import {containErrors} from './contain-errors.js';
import {createIdempotencyKey} from './create-idempotency-key.js';
import {createSinks} from './create-sinks.js';
import {createInstanceListClient} from './instance-list-client.js';
import {setProcessGauges} from './process-gauges.js';
import {createRequestObserver} from './request-observer.js';

/** @public */
export type EntryProcess = {
	/** Opens the listeners and joins the cluster. */
	start(): Promise<void>;
	/** Starts a graceful shutdown; `onStop` is called with the exit code when it is complete. */
	requestShutdown(): void;
};

const tickIntervalMs = 50;
/** A link that stays silent for this many times `suspectMs` is reopened. */
const linkIdleFactor = 2;

/** Connects the parts of an entry: the event sources, the decisions and the sinks of their effects. @public */
export function createEntryProcess(settings: EntrySettings, onStop: (exitCode: 0 | 1) => void): EntryProcess {
	const id = `${settings.name}.${randomUUID().slice(0, 8)}`;
	const config: EntryConfig = {
		id,
		zone: settings.zone,
		peerAddress: settings.peerAddress,
		timings: settings.timings,
		verifyBundle: bundle => verifyBundle(bundle, settings.operatorKeys),
	};
	const log = createLogger(settings.logLevel, {entry: id});
	const metrics = createMetrics();
	const state = createEntryState(config);
	const random = createRandomSource(randomInt(2 ** 31));
	const count = (metric: string, by = 1) => {
		metrics.addCount(metric, by);
	};

	const observer = createRequestObserver(metrics, log, () => performance.now(), tickIntervalMs);
	const pushEvent = (event: InputEvent) => {
		observer.observeEvent(event);
		pipeline.pushEvent(event);
	};

	const callers = createCallerServer({
		address: settings.callerAddress,
		bodyLimitBytes: settings.bodyLimitBytes,
		operatorKeys: settings.operatorKeys,
		getServiceDefaults(service) {
			const declaration = state.bundle.current?.services[service];
			return {requestClass: declaration?.defaultClass ?? 'normal', deadlineMs: declaration?.defaultDeadlineMs ?? settings.timings.defaultDeadlineMs};
		},
		createIdempotencyKey: () => createIdempotencyKey(Date.now()),
		createRefusal: createNotRunResult,
		getMetrics() {
			setProcessGauges(metrics, state);
			return metrics.formatMetrics();
		},
		pushEvent,
		log,
		count,
	});
	const endpoints = createEndpointClient({pushEvent, getNow: () => performance.now(), answerLimitBytes: settings.bodyLimitBytes});
	const peers = createPeerNetwork({
		id, address: settings.peerAddress, secret: settings.peerSecret, idleTimeoutMs: settings.timings.suspectMs * linkIdleFactor, pushEvent, log, count,
	});
	const store = createStoreClient({
		addresses: settings.storeAddresses, leaseSeconds: settings.leaseSeconds, pushEvent, count,
	});
	const instances = createInstanceListClient({
		address: settings.platformAddress, intervalMs: settings.listIntervalMs, pushEvent, count,
	});

	async function stopAll(exitCode: 0 | 1): Promise<void> {
		clearInterval(tickTimer);
		instances.stop();
		// Pending answers are sent first; requests that still arrive are refused as not run.
		await callers.stop();
		await Promise.allSettled([store.stop(), peers.stop(), endpoints.stop()]);
		onStop(exitCode);
	}

	const sinks = createSinks({
		callers,
		endpoints,
		peers,
		store,
		instances,
		observer,
		metrics,
		log,
		stop(exitCode) {
			void stopAll(exitCode);
		},
	});

	const pipeline = createPipeline<InputEvent, Effect>({
		applyEvent(event) {
			const context: DecisionContext = {now: performance.now(), wallTime: Date.now(), random};
			return applyEvent(state, event, context);
		},
		sinks,
		reportFailure(stage, error) {
			count('stage_failures_total');
			log('error', 'pipeline stage failed', {stage, error: String(error)});
		},
	});

	let tickTimer: NodeJS.Timeout;
	return {
		async start() {
			containErrors(process, {log, count});
			await callers.start();
			await peers.start();
			tickTimer = setInterval(() => {
				observer.observeTick(performance.now());
				pushEvent({kind: 'tick'});
			}, tickIntervalMs);
			store.start();
			instances.start();
			log('info', 'entry started', {callers: settings.callerAddress, peers: settings.peerAddress, zone: settings.zone});
		},
		requestShutdown() {
			log('info', 'shutdown requested');
			pushEvent({kind: 'shutdown-requested'});
		},
	};
}
