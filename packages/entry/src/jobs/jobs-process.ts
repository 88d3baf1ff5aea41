import {randomBytes, randomInt, randomUUID} from 'node:crypto';
import {getHeapStatistics} from 'node:v8';
import {createRandomSource, type DecisionContext} from '@pistachiogauge/chain';
import {
	applyJobEvent, canCheckKeys, checkCallerRequest, createJobsState, explainPlacement, findQueue, summarizeAccounts, type CallerAnswer, type CallerOrigin, type JobEffect, type JobEvent, type RelayedRequest,
} from '@pistachiogauge/jobs';
import {createPipeline} from '@pistachiogauge/pipeline';
import {
	createEndpointOrderClient, createHttpClient, createIngress, createMachineServiceClient, createStoreClient, isJobId, type CallerRequestHead, type HttpClient, type PlatformSettings,
} from '@pistachiogauge/platform';
import {createLineWriter, createLogger, createMetrics} from '@pistachiogauge/telemetry';
import {containErrors} from '../contain-errors.js';
import {createAccountGauges} from './account-gauges.js';
import {createConfigurationDecoder} from './configuration-decoder.js';
import {createConfigurationReader} from './confirm-configuration.js';
import {createJobSinks} from './create-job-sinks.js';
import {followConfigurationAndWaves, followMembersAndClaims, type FollowContext} from './follow-records.js';
import {createPauseMeter} from './pause-meter.js';
import {createPeerServer} from './peer-server.js';
import {readClocks} from './read-clocks.js';
import {createIgnoredItemReporter} from './report-ignored-items.js';
import {createSession} from './session.js';

/** A process that runs an entry on the operators' platform. @public */
export type JobsProcess = {
	start(): Promise<void>;
	/** Gives up the entry's claims, answers the open requests and resolves when the shutdown is complete. */
	stop(): Promise<void>;
	/** Logs that changed settings apply only after a restart. */
	handleReloadSignal(): void;
};

/** Interval of the `tick` event, on which the decisions check what is due. */
const tickIntervalMs = 25;
/** Interval of the `process load` log line. */
const loadLogIntervalMs = 1000;
/** Time without a response after which the store counts as unreachable; longer than a watch waits. */
const storeSilenceLimitMs = 1600;
/** Time for which new connections are still accepted after SIGTERM: the load balancer checks readiness once a second and needs two failed checks. */
const balancerDrainMs = 2200;
/** Time that is kept for the end of the process after the last request, including the flush of the log. */
const exitReserveMs = 700;
/** Size of the buffer for log lines that a slow reader has not yet taken. */
const logBufferBytes = 4_000_000;
/** Maximum rate of log lines: four times what the owner of the busiest pool writes. */
const logLinesPerSecond = 4000;
/** One connection for the watch of each prefix and some for short requests. */
const storeConnectionLimit = 24;
/** The advice service handles only one request of an entry at a time. */
const adviceConnectionLimit = 2;

/** Part of the heap that jobs may take, so that there is room for those of another entry's pools after a takeover, and for all else. */
const maxJobHeapShare = 0.15;

const relaySecretBytes = 32;

const defaultLimits = {
	headerBytes: 16_384, bodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

/** Connects the parts of an entry on the platform: the event sources, the decisions on jobs and the sinks of their effects. @public */
export function createJobsProcess(settings: PlatformSettings): JobsProcess {
	const {node} = settings;
	const incarnation = randomUUID().slice(0, 8);
	const relaySecret = randomBytes(relaySecretBytes).toString('base64url');
	const lineWriter = createLineWriter({
		descriptor: process.stdout.fd, bufferBytes: logBufferBytes, linesPerSecond: logLinesPerSecond, getNow: () => performance.now(),
	});
	const log = createLogger('info', {entry: node, incarnation}, line => {
		lineWriter.writeLine(line);
	});
	const metrics = createMetrics();
	const setAccountGauges = createAccountGauges(metrics);
	const count = (metric: string) => {
		metrics.addCount(metric);
	};

	const strictRevokeMs = settings.isRevocationStrict ? settings.revokeMs : undefined;
	const {stopMs, checkpointMs, restoreMs} = settings;
	const state = createJobsState({
		node, incarnation, orderLeaseMs: settings.orderLeaseMs, strictRevokeMs, placement: {preemptionCosts: {stopMs, checkpointMs, restoreMs}}, maxJobBytes: maxJobHeapShare * getHeapStatistics().heap_size_limit,
	});
	const random = createRandomSource(randomInt(2 ** 31));
	const measurePause = createPauseMeter(readClocks());
	const connectionLimits = new Map([[settings.storeAddress, storeConnectionLimit]]);
	if (settings.adviceAddress !== undefined) {
		connectionLimits.set(settings.adviceAddress, adviceConnectionLimit);
	}

	const http = createHttpClient({connectionLimits});
	let lastStoreResponseAt = Number.NEGATIVE_INFINITY;
	const store = createStoreClient(observeStoreResponses(http, settings.storeAddress, () => {
		lastStoreResponseAt = performance.now();
	}), settings.storeAddress, count);
	const pushEvent = (event: JobEvent) => {
		pipeline.pushEvent(event);
	};

	const session = createSession({
		store,
		node,
		incarnation,
		weight: settings.cpuShare,
		peerServer: settings.controlAddress === undefined ? undefined : {address: settings.controlAddress, secret: relaySecret},
		leaseMinMs: settings.leaseMinMs,
		handleOpened() {
			pushEvent({kind: 'session-opened'});
		},
		handleRenewed(validUntil, wallValidUntil) {
			pushEvent({kind: 'session-renewed', validUntil, wallValidUntil});
		},
		handleLost(reason) {
			log('warn', 'lease of store session lost', {reason});
			pushEvent({kind: 'session-lost'});
		},
		handleError(error) {
			log('debug', 'opening or renewing lease of store session failed, retrying', {error: String(error)});
		},
	});
	const followContext: FollowContext = {
		store,
		pushEvent(event) {
			pushEvent(event);
			if (event.kind === 'configuration-changed') {
				ingress.applyLimits(event.configuration.limits);
				configurationReader.handleConfigurationChanged();
			}
		},
		log,
		reportIgnoredItem: createIgnoredItemReporter({log, count, getNow: () => performance.now()}),
		node,
		incarnation,
		handleRegistrationLost() {
			session.reopen('the registration record is missing or belongs to another incarnation');
		},
	};
	const decodeConfiguration = createConfigurationDecoder(log);
	const configurationReader = createConfigurationReader({
		store,
		decodeItem: decodeConfiguration,
		strictRevokeMs,
		getConfiguration: () => state.configuration.current,
		getClocks: readClocks,
		pushEvent: followContext.pushEvent,
		reportIgnoredItem: followContext.reportIgnoredItem,
		log,
	});
	const isReady = () => state.configuration.current !== undefined && isStoreReached() && canCheckKeys(state, readClocks()) && !state.authority.isStopping;
	/** An entry that takes no relayed requests sends none. */
	const canRelay = settings.controlAddress !== undefined;
	const isStoreReached = () => performance.now() < lastStoreResponseAt + storeSilenceLimitMs;
	const ingress = createIngress({
		address: settings.callerAddress,
		readinessAddress: settings.readinessAddress,
		getLimits: () => state.configuration.current?.limits ?? defaultLimits,
		isReady,
		createRequestId: () => randomUUID(),
		checkRequest,
		receiveRequest({requestId, answerBy, ...request}) {
			const {host, path} = request;
			receiveRequest(requestId, request, canRelay ? {host, path, answerBy} : undefined);
		},
		logInfo(message, fields) {
			log('info', message, fields);
		},
	});

	function findTarget({host, path}: Pick<CallerRequestHead, 'host' | 'path'>): {readonly queue: string; readonly jobId: string} {
		const {current} = state.configuration;
		const match = current === undefined ? undefined : findQueue(current, host, path);
		return {queue: match?.queue.name ?? '', jobId: match?.remainingPath ?? ''};
	}

	function checkRequest(head: CallerRequestHead): CallerAnswer | undefined {
		const {requestId, action, keyHash} = head;
		const target = findTarget(head);
		const rejection = checkCallerRequest(state, {action, keyHash, ...target}, readClocks());
		if (rejection?.reason === 'configuration-age' && canRelay) {
			// Another entry may know a newer configuration, so the request is read and relayed.
			return undefined;
		}

		if (rejection !== undefined) {
			pushEvent({
				kind: 'caller-rejected', requestId, action, ...target, ...rejection,
			});
		}

		return rejection?.answer;
	}

	/** Handles a request from a caller or from a peer, which has no origin. */
	function receiveRequest(requestId: string, request: RelayedRequest, origin?: CallerOrigin): void {
		const {action, spec, keyHash} = request;
		const {queue, jobId} = findTarget(request);
		pushEvent({
			kind: 'caller-requested', requestId, action, queue, jobId, spec: isJobId(jobId) ? spec : undefined, keyHash, origin,
		});
	}

	const peerServer = settings.controlAddress === undefined
		? undefined
		: createPeerServer({
			address: settings.controlAddress,
			secret: relaySecret,
			isReady,
			receiveRequest({requestId, request}) {
				receiveRequest(requestId, request);
			},
			explainPlacement: question => explainPlacement(state, question, readClocks()),
			formatMetrics() {
				metrics.setGauge('log_lines_dropped', lineWriter.getDroppedCount());
				metrics.setGauge('process_rss_bytes', process.memoryUsage.rss());
				metrics.setGauge('configuration_version', state.configuration.current?.version ?? 0);
				metrics.setGauge('claims_held', state.authority.heldClaims.size);
				metrics.setGauge('requests_open', ingress.countOpenRequests());
				setAccountGauges(summarizeAccounts(state));
				return metrics.formatMetrics();
			},
			log,
			count,
		});

	const sinks = createJobSinks({
		state,
		store,
		session,
		http,
		ingress,
		peerServer,
		endpoints: createEndpointOrderClient(http, count),
		machineService: settings.machineServiceAddress === undefined ? undefined : createMachineServiceClient(http, {address: settings.machineServiceAddress, node}, count),
		adviceAddress: settings.adviceAddress,
		followContext,
		metrics,
		log,
		pushEvent,
		node,
		incarnation,
	});
	const pipeline = createPipeline<JobEvent, JobEffect>({
		applyEvent(event) {
			eventCount += 1;
			const context: DecisionContext = {...readClocks(), random};
			const pausedMs = measurePause(context);
			return pausedMs === undefined
				? applyJobEvent(state, event, context)
				: [...applyJobEvent(state, {kind: 'process-resumed', pausedMs}, context), ...applyJobEvent(state, event, context)];
		},
		sinks,
		reportFailure(stage, error) {
			count('stage_failures_total');
			log('error', 'pipeline stage failed', {stage, error: String(error)});
		},
	});

	let tickTimer: NodeJS.Timeout | undefined;
	let wasStoreReached = false;
	let lastTickAt = performance.now();
	let lastLoadLogAt = lastTickAt;
	let cpuUsageAtLastLog = process.cpuUsage();
	let longestDelayMs = 0;
	let eventCount = 0;

	/** Logs the load once a second, so that a busy or paused event loop can be told from a slow remote service. */
	function logLoad(): void {
		const {user, system} = process.cpuUsage(cpuUsageAtLastLog);
		log('info', 'process load', {
			overMs: Math.round(lastTickAt - lastLoadLogAt), processorMs: Math.round((user + system) / 1000), longestDelayMs: Math.round(longestDelayMs), events: eventCount, claims: [...state.authority.heldClaims.keys()],
		});
		cpuUsageAtLastLog = process.cpuUsage();
		lastLoadLogAt = lastTickAt;
		longestDelayMs = 0;
		eventCount = 0;
	}

	function tick(): void {
		const delayMs = performance.now() - lastTickAt - tickIntervalMs;
		lastTickAt += delayMs + tickIntervalMs;
		metrics.recordValue('tick_delay_ms', Math.max(0, delayMs));
		longestDelayMs = Math.max(longestDelayMs, delayMs);
		if (lastTickAt > lastLoadLogAt + loadLogIntervalMs) {
			logLoad();
		}

		if (isStoreReached() !== wasStoreReached) {
			wasStoreReached = !wasStoreReached;
			pushEvent({kind: wasStoreReached ? 'store-reached' : 'store-lost'});
		}

		pushEvent({kind: 'tick'});
	}

	return {
		async start() {
			containErrors(process, {log, count});
			log('info', 'entry starts', {
				front: settings.callerAddress, ready: settings.readinessAddress, store: settings.storeAddress, zone: settings.zone, cpuShare: settings.cpuShare,
			});
			followConfigurationAndWaves(followContext, decodeConfiguration);
			followMembersAndClaims(followContext);
			session.start();
			tickTimer = setInterval(tick, tickIntervalMs);
			setInterval(() => {
				http.closeIdleConnections();
			}, 5000).unref();
			await ingress.start();
			await peerServer?.start();
		},
		async stop() {
			log('info', 'entry stops', {claims: state.authority.heldClaims.size, open: ingress.countOpenRequests()});
			pushEvent({kind: 'shutdown-requested'});
			await new Promise(resolve => {
				setTimeout(resolve, balancerDrainMs);
			});
			await ingress.stop(Math.max(0, settings.graceMs - balancerDrainMs - (2 * exitReserveMs)));
			clearInterval(tickTimer);
			configurationReader.stop();
			peerServer?.stop();
			log('info', 'entry stopped', {open: ingress.countOpenRequests()});
			await lineWriter.flush(exitReserveMs);
		},
		handleReloadSignal() {
			log('info', 'reload signal received; changed settings apply only after a restart', {});
		},
	};
}

/** Wraps a client so that each response from an address is reported. A 429 or 503 does not count, as the entry cannot work with it. */
function observeStoreResponses(http: HttpClient, address: string, handleResponse: () => void): HttpClient {
	return {
		...http,
		async sendRequest(request) {
			const response = await http.sendRequest(request);
			if (request.address === address && response.status !== 429 && response.status !== 503) {
				handleResponse();
			}

			return response;
		},
	};
}
