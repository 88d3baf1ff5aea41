import {type InstanceId, type PoolName} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getServingInstances, listPoolInstances} from '../fleet/index.js';
import {getTrustStage, type InstanceHealth, type TrustStage} from './health-state.js';

/** Weight that earlier attempts keep at each new one, so that about the last ten count. */
const attemptDecay = 0.9;
/** Decayed count of attempts from which on an instance is compared with its peers; reached at the fifth attempt. */
const minAttemptCount = 4;
const minFailureRate = 0.5;
/** An instance is ejected or limited only if it fails at least this many times as often as the better half of its peers. */
const peerFailureRateFactor = 3;
const successesUntilTrusted = 3;
const healthyProbesUntilTrial = 2;
const initialBackoffMs = 100;
const maxLimitedBackoffMs = 2000;
const initialProbeBackoffMs = 1000;
const maxProbeBackoffMs = 30_000;

/** @internal */
export function getOrCreateHealth(state: EntryState, instanceId: InstanceId, pool: PoolName): InstanceHealth {
	const existing = state.health.instances.get(instanceId);
	if (existing?.pool === pool) {
		return existing;
	}

	const created: InstanceHealth = {
		pool,
		stage: 'trusted',
		attemptCount: 0,
		failureCount: 0,
		consecutiveSuccesses: 0,
		backoffUntil: 0,
		backoffMs: initialBackoffMs,
		consecutiveTimeouts: 0,
		unattributedTimeouts: 0,
		probeDeadlineAt: 0,
	};
	state.health.instances.set(instanceId, created);
	return created;
}

/** Records a successful attempt. After several in a row, an instance that is limited or in trial is trusted again. @internal */
export function recordSuccess(health: InstanceHealth): void {
	health.attemptCount = (health.attemptCount * attemptDecay) + 1;
	health.failureCount *= attemptDecay;
	health.consecutiveTimeouts = 0;
	if (health.stage !== 'limited' && health.stage !== 'trial') {
		return;
	}

	health.consecutiveSuccesses += 1;
	if (health.consecutiveSuccesses >= successesUntilTrusted) {
		health.stage = 'trusted';
		health.attemptCount = 0;
		health.failureCount = 0;
		health.backoffMs = initialBackoffMs;
	}
}

/** Records a failed attempt and ejects or limits the instance if necessary. @internal */
export function recordFailure(state: EntryState, instanceId: InstanceId, health: InstanceHealth, context: DecisionContext): Output[] {
	health.attemptCount = (health.attemptCount * attemptDecay) + 1;
	health.failureCount = (health.failureCount * attemptDecay) + 1;
	return failureHandlers[health.stage](state, instanceId, health, context);
}

/** Records the result of a probe of an ejected instance. @internal */
export function recordProbeResult(health: InstanceHealth, isHealthy: boolean, context: DecisionContext): void {
	// The fleet filter also probes, more often than the backoff after a failed trial allows. A result during the backoff is ignored, so that the next trial does not begin too early.
	if (context.now < health.backoffUntil) {
		return;
	}

	health.consecutiveSuccesses = isHealthy ? health.consecutiveSuccesses + 1 : 0;
	health.backoffUntil = context.now + (isHealthy ? initialProbeBackoffMs : health.backoffMs);
	if (health.consecutiveSuccesses >= healthyProbesUntilTrial) {
		health.stage = 'trial';
		health.consecutiveSuccesses = 0;
	}
}

type FailureHandler = (state: EntryState, instanceId: InstanceId, health: InstanceHealth, context: DecisionContext) => Output[];

const failureHandlers: Readonly<Record<TrustStage, FailureHandler>> = {
	trusted: (state, instanceId, health, context) => isWorseThanPeers(state, instanceId, health) ? ejectOrLimitInstance(state, instanceId, health, context) : [],
	limited(state, instanceId, health, context) {
		if (mayEjectInstance(state, instanceId, health.pool)) {
			return ejectOrLimitInstance(state, instanceId, health, context);
		}

		startLimitedBackoff(health, context);
		return [];
	},
	// Attempts that were running when the instance was ejected; their failures do not change its stage.
	distrusted: () => [],
	// Each failed trial doubles the backoff, so an endpoint that answers probes but fails requests is probed at ever longer intervals.
	trial: ejectOrLimitInstance,
};

function ejectOrLimitInstance(state: EntryState, instanceId: InstanceId, health: InstanceHealth, context: DecisionContext): Output[] {
	const previousStage = health.stage;
	if (mayEjectInstance(state, instanceId, health.pool)) {
		health.backoffMs = previousStage === 'trial' ? Math.min(maxProbeBackoffMs, health.backoffMs * 2) : initialProbeBackoffMs;
		health.stage = 'distrusted';
		health.backoffUntil = context.now + health.backoffMs;
		health.consecutiveSuccesses = 0;
	} else {
		health.stage = 'limited';
		health.backoffMs = initialBackoffMs;
		startLimitedBackoff(health, context);
	}

	return [
		emitEffect({kind: 'count', metric: `instances_${health.stage}_total`, by: 1}),
		emitEffect({
			kind: 'log', level: 'warn', message: 'instance limited or ejected after failed attempts', fields: {instance: instanceId, pool: health.pool, stage: health.stage},
		}),
	];
}

function startLimitedBackoff(health: InstanceHealth, context: DecisionContext): void {
	health.backoffUntil = context.now + health.backoffMs;
	health.backoffMs = Math.min(maxLimitedBackoffMs, health.backoffMs * 2);
	health.consecutiveSuccesses = 0;
}

/** Compares with the better half of the peers, so that the instances of a failed rack do not raise the rate they are compared with. */
function isWorseThanPeers(state: EntryState, instanceId: InstanceId, health: InstanceHealth): boolean {
	const failureRate = health.failureCount / health.attemptCount;
	if (health.attemptCount < minAttemptCount || failureRate < minFailureRate) {
		return false;
	}

	const peerFailureRates: number[] = [];
	for (const [id, peer] of state.health.instances) {
		if (id !== instanceId && peer.pool === health.pool && peer.stage === 'trusted' && peer.attemptCount >= 1) {
			peerFailureRates.push(peer.failureCount / peer.attemptCount);
		}
	}

	const betterHalf = peerFailureRates.sort((left, right) => left - right).slice(0, Math.ceil(peerFailureRates.length / 2));
	const totalFailureRate = betterHalf.reduce((sum, peerFailureRate) => sum + peerFailureRate, 0);
	return betterHalf.length > 0 && failureRate >= peerFailureRateFactor * totalFailureRate / betterHalf.length;
}

/** Whether the pool's budget allows the instance's ejection. An instance that fails its probes is out of service already. */
function mayEjectInstance(state: EntryState, instanceId: InstanceId, pool: PoolName): boolean {
	const observations = state.fleet.owned.get(pool)?.observations;
	if (observations?.get(instanceId)?.isHealthy === false) {
		return true;
	}

	const serving = new Set(getServingInstances(state, pool).map(instance => instance.id));
	let outOfServiceCount = 0;
	for (const [id] of listPoolInstances(state, pool)) {
		const isServing = serving.has(id) && observations?.get(id)?.isHealthy === true && getTrustStage(state, id) !== 'distrusted';
		if (id !== instanceId && !isServing) {
			outOfServiceCount += 1;
		}
	}

	return outOfServiceCount < (state.bundle.current?.pools[pool]?.budget ?? 0);
}
