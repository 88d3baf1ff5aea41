import {type InstanceId, type PoolName} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getServingInstances, listPoolInstances} from '../fleet/index.js';
import {getTrustStage, type InstanceHealth, type TrustStage} from './health-state.js';

/** Weight kept by earlier attempts at each new one: about the last ten count. */
const recordDecay = 0.9;
/** Attempts needed for a judgement; with the decay reached at the fifth one. */
const minSeen = 4;
const minFailedShare = 0.5;
/** An instance is judged only if it fails this many times as often as the better half of its peers. */
const peerFactor = 3;
const successesToTrust = 3;
const probesToTrial = 2;
const firstPauseMs = 100;
const maxLimitedPauseMs = 2000;
const firstProbePauseMs = 1000;
const maxProbePauseMs = 30_000;

/** @internal */
export function getHealth(state: EntryState, instanceId: InstanceId, pool: PoolName): InstanceHealth {
	const known = state.health.instances.get(instanceId);
	if (known?.pool === pool) {
		return known;
	}

	const created: InstanceHealth = {
		pool, stage: 'trusted', seen: 0, failed: 0, successesInRow: 0, nextTryAt: 0, pauseMs: firstPauseMs, timeoutsInRow: 0, unjudgedTimeouts: 0, probeUntil: 0,
	};
	state.health.instances.set(instanceId, created);
	return created;
}

/** Records an answered attempt. @internal */
export function recordSuccess(health: InstanceHealth): void {
	health.seen = (health.seen * recordDecay) + 1;
	health.failed *= recordDecay;
	health.timeoutsInRow = 0;
	if (health.stage !== 'limited' && health.stage !== 'trial') {
		return;
	}

	health.successesInRow += 1;
	if (health.successesInRow >= successesToTrust) {
		health.stage = 'trusted';
		health.seen = 0;
		health.failed = 0;
		health.pauseMs = firstPauseMs;
	}
}

/** Records a failed attempt and judges the instance. @internal */
export function recordFailure(state: EntryState, instanceId: InstanceId, health: InstanceHealth, context: DecisionContext): Output[] {
	health.seen = (health.seen * recordDecay) + 1;
	health.failed = (health.failed * recordDecay) + 1;
	return failureHandlers[health.stage](state, instanceId, health, context);
}

/** Takes note of a probe of an instance that was taken out. @internal */
export function recordProbe(health: InstanceHealth, isHealthy: boolean, context: DecisionContext): void {
	// The fleet filter probes more often than the pause after a relapse allows.
	if (context.now < health.nextTryAt) {
		return;
	}

	health.successesInRow = isHealthy ? health.successesInRow + 1 : 0;
	health.nextTryAt = context.now + (isHealthy ? firstProbePauseMs : health.pauseMs);
	if (health.successesInRow >= probesToTrial) {
		health.stage = 'trial';
		health.successesInRow = 0;
	}
}

type FailureHandler = (state: EntryState, instanceId: InstanceId, health: InstanceHealth, context: DecisionContext) => Output[];

const failureHandlers: Readonly<Record<TrustStage, FailureHandler>> = {
	trusted: (state, instanceId, health, context) => isWorseThanPeers(state, instanceId, health) ? setInstancePause(state, instanceId, health, context) : [],
	limited(state, instanceId, health, context) {
		if (mayTakeOut(state, instanceId, health.pool)) {
			return setInstancePause(state, instanceId, health, context);
		}

		limitInstance(health, context);
		return [];
	},
	// Attempts that were under way when the instance was taken out.
	distrusted: () => [],
	// An endpoint that answers probes and fails requests is probed at longer intervals.
	trial: setInstancePause,
};

function setInstancePause(state: EntryState, instanceId: InstanceId, health: InstanceHealth, context: DecisionContext): Output[] {
	const former = health.stage;
	if (mayTakeOut(state, instanceId, health.pool)) {
		health.pauseMs = former === 'trial' ? Math.min(maxProbePauseMs, health.pauseMs * 2) : firstProbePauseMs;
		health.stage = 'distrusted';
		health.nextTryAt = context.now + health.pauseMs;
		health.successesInRow = 0;
	} else {
		health.stage = 'limited';
		health.pauseMs = firstPauseMs;
		limitInstance(health, context);
	}

	return [
		emitEffect({kind: 'count', metric: `instances_${health.stage}_total`, by: 1}),
		emitEffect({
			kind: 'log', level: 'warn', message: 'instance fails more often than its peers', fields: {instance: instanceId, pool: health.pool, stage: health.stage},
		}),
	];
}

function limitInstance(health: InstanceHealth, context: DecisionContext): void {
	health.nextTryAt = context.now + health.pauseMs;
	health.pauseMs = Math.min(maxLimitedPauseMs, health.pauseMs * 2);
	health.successesInRow = 0;
}

/** Judged against the better half, so that a failed rack does not hide behind its own members. */
function isWorseThanPeers(state: EntryState, instanceId: InstanceId, health: InstanceHealth): boolean {
	const share = health.failed / health.seen;
	if (health.seen < minSeen || share < minFailedShare) {
		return false;
	}

	const peerShares: number[] = [];
	for (const [id, peer] of state.health.instances) {
		if (id !== instanceId && peer.pool === health.pool && peer.stage === 'trusted' && peer.seen >= 1) {
			peerShares.push(peer.failed / peer.seen);
		}
	}

	const better = peerShares.sort((left, right) => left - right).slice(0, Math.ceil(peerShares.length / 2));
	const total = better.reduce((sum, peerShare) => sum + peerShare, 0);
	return better.length > 0 && share >= peerFactor * total / better.length;
}

/** Whether the pool's budget allows one more instance out. An instance that fails its probes is out already. */
function mayTakeOut(state: EntryState, instanceId: InstanceId, pool: PoolName): boolean {
	const evidence = state.fleet.owned.get(pool)?.observations;
	if (evidence?.get(instanceId)?.isHealthy === false) {
		return true;
	}

	const serving = new Set(getServingInstances(state, pool).map(instance => instance.id));
	let out = 0;
	for (const [id] of listPoolInstances(state, pool)) {
		const isServing = serving.has(id) && evidence?.get(id)?.isHealthy === true && getTrustStage(state, id) !== 'distrusted';
		if (id !== instanceId && !isServing) {
			out += 1;
		}
	}

	return out < (state.bundle.current?.pools[pool]?.budget ?? 0);
}
