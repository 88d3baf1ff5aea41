import {randomInt, randomUUID} from 'node:crypto';
import {createRandomSource, type DecisionContext} from '@pistachiogauge/chain';
import {
	applyJobEvent, createJobsState, findQueue, type JobEffect, type JobEvent,
} from '@pistachiogauge/jobs';
import {createPipeline} from '@pistachiogauge/pipeline';
import {
	createEndpointOrders, createHttpCaller, createIngress, createMachineService, createStoreClient, type CallerRequest, type HttpCaller, type PlatformSettings,
} from '@pistachiogauge/platform';
import {createLineWriter, createLogger, createMetrics} from '@pistachiogauge/telemetry';
import {createJobSinks} from './create-job-sinks.js';
import {followOperator, followShared, type FollowContext} from './follow-records.js';
import {serveMetrics} from './serve-metrics.js';
import {createSession} from './session.js';

/** An entry on the operators' platform. @public */
export type JobsProcess = {
	start(): Promise<void>;
	/** Hands over what it owns, answers what it has read, and ends. @returns When all is done. */
	stop(): Promise<void>;
	/** Notes that the settings file has changed. */
	reload(): void;
};

/** Time in ms between two looks at what is due. */
const tickMs = 25;
/** Time in ms between two log lines on the load of the process. */
const loadLogMs = 1000;
/** Time in ms without an answer of the store after which it counts as out of reach: longer than a watch waits. */
const storeSilentMs = 1600;
/** Time in ms for which new connections are still taken after SIGTERM: the balancer looks once a second and needs two misses. */
const balancerMs = 2200;
/** Time in ms that is left for the end of the process after the last request. */
const endMs = 700;
/** Bytes of log lines that may wait for a slow reader. */
const logBufferBytes = 4_000_000;
/** Lines of log a second; four times what the busiest pool's owner writes. */
const logLinesPerSecond = 4000;
/** Calls to the store at a time: a watch for each prefix and some that are answered at once. */
const storeConnections = 24;
/** Connections to the service for advice, which serves one call of an entry at a time. */
const adviceConnections = 2;

const defaultLimits = {
	headerBytes: 16_384, bodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

/** Wires an entry on the platform: sources of events, the decisions on jobs, and the sinks of their effects. @public */
export function createJobsProcess(settings: PlatformSettings): JobsProcess {
	const {node} = settings;
	const incarnation = randomUUID().slice(0, 8);
	const lines = createLineWriter({
		descriptor: process.stdout.fd, bufferBytes: logBufferBytes, linesPerSecond: logLinesPerSecond, getNow: () => performance.now(),
	});
	const log = createLogger('info', {entry: node, incarnation}, line => {
		lines.writeLine(line);
	});
	const metrics = createMetrics();
	const count = (metric: string) => {
		metrics.addCount(metric);
	};

	const state = createJobsState({node, incarnation, orderLeaseMs: settings.orderLeaseMs});
	const random = createRandomSource(randomInt(2 ** 31));
	const connections = new Map([[settings.storeAddress, storeConnections]]);
	if (settings.adviceAddress !== undefined) {
		connections.set(settings.adviceAddress, adviceConnections);
	}

	const http = createHttpCaller({connections});
	let storeAnsweredAt = Number.NEGATIVE_INFINITY;
	const store = createStoreClient(observeAnswers(http, settings.storeAddress, () => {
		storeAnsweredAt = performance.now();
	}), settings.storeAddress, count);
	const pushEvent = (event: JobEvent) => {
		pipeline.pushEvent(event);
	};

	const session = createSession({
		store,
		node,
		incarnation,
		weight: settings.cpuShare,
		leaseMinMs: settings.leaseMinMs,
		opened() {
			pushEvent({kind: 'session-opened'});
		},
		renewed(validUntil) {
			pushEvent({kind: 'session-renewed', validUntil});
		},
		lost(reason) {
			log('warn', 'lease lost', {reason});
			pushEvent({kind: 'session-lost'});
		},
		failed(error) {
			log('debug', 'lease not renewed', {error: String(error)});
		},
	});
	const follow: FollowContext = {
		store,
		pushEvent(event) {
			pushEvent(event);
			if (event.kind === 'configuration-changed') {
				ingress.applyLimits(event.configuration.limits);
			}
		},
		log,
		node,
		incarnation,
		loseRegistration() {
			session.reopen('the registration has vanished');
		},
	};
	const isStoreReached = () => performance.now() < storeAnsweredAt + storeSilentMs;
	const ingress = createIngress({
		address: settings.frontAddress,
		readyAddress: settings.readyAddress,
		getLimits: () => state.configuration.current?.limits ?? defaultLimits,
		isReady: () => state.configuration.current !== undefined && isStoreReached() && !state.authority.isStopping,
		createRequestId: () => randomUUID(),
		receiveRequest,
		report(message, fields) {
			log('info', message, fields);
		},
	});

	function receiveRequest({requestId, action, host, path, spec}: CallerRequest): void {
		const {current} = state.configuration;
		const match = current === undefined ? undefined : findQueue(current, host, path);
		pushEvent({
			kind: 'caller-requested', requestId, action, queue: match?.queue.name ?? '', jobId: match?.remainingPath ?? '', spec,
		});
	}

	const sinks = createJobSinks({
		state,
		store,
		session,
		http,
		ingress,
		orders: createEndpointOrders(http, count),
		machines: settings.machineServiceAddress === undefined ? undefined : createMachineService(http, {address: settings.machineServiceAddress, node}, count),
		adviceAddress: settings.adviceAddress,
		follow,
		metrics,
		log,
		pushEvent,
		node,
		incarnation,
	});
	const pipeline = createPipeline<JobEvent, JobEffect>({
		applyEvent(event) {
			eventCount += 1;
			const context: DecisionContext = {now: performance.now(), wallTime: Date.now(), random};
			return applyJobEvent(state, event, context);
		},
		sinks,
		reportFailure(stage, error) {
			count('stage_failures_total');
			log('error', 'stage failed', {stage, error: String(error)});
		},
	});

	let ticking: NodeJS.Timeout | undefined;
	let stopMetrics: (() => void) | undefined;
	let wasReached = false;
	let tickedAt = performance.now();
	let loadLoggedAt = tickedAt;
	let usage = process.cpuUsage();
	let longestDelayMs = 0;
	let eventCount = 0;

	/** A line a second that tells a busy loop or a pause from a slow partner. */
	function logLoad(): void {
		const {user, system} = process.cpuUsage(usage);
		log('info', 'process load', {
			overMs: Math.round(tickedAt - loadLoggedAt), processorMs: Math.round((user + system) / 1000), longestDelayMs: Math.round(longestDelayMs), events: eventCount, claims: [...state.authority.heldClaims.keys()],
		});
		usage = process.cpuUsage();
		loadLoggedAt = tickedAt;
		longestDelayMs = 0;
		eventCount = 0;
	}

	function tick(): void {
		const lateMs = performance.now() - tickedAt - tickMs;
		tickedAt += lateMs + tickMs;
		metrics.recordValue('tick_delay_ms', Math.max(0, lateMs));
		longestDelayMs = Math.max(longestDelayMs, lateMs);
		if (tickedAt > loadLoggedAt + loadLogMs) {
			logLoad();
		}

		if (isStoreReached() !== wasReached) {
			wasReached = !wasReached;
			pushEvent({kind: wasReached ? 'store-reached' : 'store-lost'});
		}

		pushEvent({kind: 'tick'});
	}

	return {
		async start() {
			log('info', 'entry starts', {
				front: settings.frontAddress, ready: settings.readyAddress, store: settings.storeAddress, zone: settings.zone, cpuShare: settings.cpuShare,
			});
			followOperator(follow);
			followShared(follow);
			session.start();
			ticking = setInterval(tick, tickMs);
			setInterval(() => {
				http.closeIdle();
			}, 5000).unref();
			await ingress.start();
			if (settings.controlAddress !== undefined) {
				stopMetrics = await serveMetrics(settings.controlAddress, () => {
					metrics.setGauge('log_lines_dropped', lines.getDroppedCount());
					metrics.setGauge('process_rss_bytes', process.memoryUsage.rss());
					metrics.setGauge('configuration_version', state.configuration.current?.version ?? 0);
					metrics.setGauge('claims_held', state.authority.heldClaims.size);
					metrics.setGauge('requests_open', ingress.getOpenCount());
					return metrics.formatMetrics();
				});
			}
		},
		async stop() {
			log('info', 'entry stops', {claims: state.authority.heldClaims.size, open: ingress.getOpenCount()});
			pushEvent({kind: 'shutdown-requested'});
			await new Promise(resolve => {
				setTimeout(resolve, balancerMs);
			});
			await ingress.stop(Math.max(0, settings.graceMs - balancerMs - (2 * endMs)));
			clearInterval(ticking);
			stopMetrics?.();
			log('info', 'entry stopped', {open: ingress.getOpenCount()});
			await lines.flush(endMs);
		},
		reload() {
			log('info', 'settings file has changed; addresses are taken at the next start', {});
		},
	};
}

/** Tells of each answer from an address. An answer that turns the entry away is none: it cannot work with it. */
function observeAnswers(http: HttpCaller, address: string, answered: () => void): HttpCaller {
	return {
		...http,
		async sendCall(call) {
			const answer = await http.sendCall(call);
			if (call.address === address && answer.status !== 429 && answer.status !== 503) {
				answered();
			}

			return answer;
		},
	};
}
