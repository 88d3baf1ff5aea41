import {
	type InstanceId, type OperatorCommand, type OperatorCommandName, type PoolName, type PoolRecord,
} from '@pistachiogauge/model';
import {restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getInstance, type OwnedPool, type PoolCall} from './fleet-state.js';
import {chooseLentInstance} from './move-policy.js';
import {
	checkMove, checkPermit, setPermit, type PermitDecision,
} from './permit.js';
import {describePool} from './pool-status.js';
import {createPoolView, type PoolView} from './pool-view.js';
import {createAuditEvent, refuseCall, startWrite} from './pool-write.js';
import {
	createWave, describePlan, findWaveHoldReason, planWave,
} from './wave.js';

/** What a call for an owned pool leads to. */
type CallDecision =
	| {readonly kind: 'answer'; readonly body: unknown}
	| {readonly kind: 'refuse'; readonly status: 404 | 409 | 503; readonly reason: string}
	| {readonly kind: 'done'; readonly body: unknown; readonly detail: string}
	| {readonly kind: 'change'; readonly record: PoolRecord; readonly body: unknown; readonly detail: string};

type CallSetting = {
	readonly state: EntryState;
	readonly owned: OwnedPool;
	readonly view: PoolView;
	readonly operator: string;
	readonly context: DecisionContext;
};

type CallWork<Name extends OperatorCommandName = OperatorCommandName> = CallSetting & {
	readonly command: Extract<OperatorCommand, {command: Name}>;
};

type CallTable = {
	readonly [Name in OperatorCommandName]?: (work: CallWork<Name>) => CallDecision;
};

type DrainCall = {
	readonly instance: InstanceId;
	readonly decision: PermitDecision;
	readonly reason: 'operator-drain' | 'move';
	readonly targetPool?: string;
};

const callHandlers: CallTable = {
	'pool-status': ({state, view, context}) => ({kind: 'answer', body: describePool(state, view, context)}),
	drain: work => hasMember(work.view, work.command.instance)
		? createStop(work, {instance: work.command.instance, decision: checkPermit(work.view, work.command.instance), reason: 'operator-drain'})
		: refuseUnknown(work.command),
	undrain: work => hasMember(work.view, work.command.instance) ? endDrain(work) : refuseUnknown(work.command),
	retire: work => hasMember(work.view, work.command.instance) ? removeInstanceRecord(work) : refuseUnknown(work.command),
	move: work => hasMember(work.view, work.command.instance) ? createMove(work, work.command.instance, work.command.targetPool) : refuseUnknown(work.command),
	lend(work) {
		if (work.view.declaration?.isSpare !== true) {
			return {kind: 'refuse', status: 409, reason: `pool ${work.view.pool} does not lend instances`};
		}

		const instance = chooseLentInstance(work.view, work.command.targetPool);
		return instance === undefined
			? {kind: 'refuse', status: 409, reason: `pool ${work.view.pool} has no instance in service to lend`}
			: createMove(work, instance, work.command.targetPool);
	},
	'wave-plan'({view, context}) {
		const plan = planWave(view, getOpenWave(view) ?? createWave(context.wallTime, ''));
		return {
			kind: 'answer', body: {
				pool: view.pool, budget: view.declaration?.budget ?? 0, instances: plan.length, steps: describePlan(plan), hold: findWaveHoldReason(view),
			},
		};
	},
	'wave-start': startWave,
	'wave-pause'({view}) {
		const wave = getOpenWave(view);
		return wave?.state === 'running'
			? createChange({...view.record, wave: {...wave, state: 'paused'}}, {outcome: 'paused', wave: wave.id}, wave.id)
			: {kind: 'refuse', status: 409, reason: `no wave runs in pool ${view.pool}`};
	},
	'wave-status'({view}) {
		const {wave} = view.record;
		const plan = wave === undefined || wave.state === 'done' ? [] : planWave(view, wave);
		const inProgress = Object.entries(view.record.permits).filter(([, permit]) => permit.reason === 'maintenance').map(([id, permit]) => ({id, stage: permit.stage}));
		return {
			kind: 'answer', body: {
				pool: view.pool, wave, remaining: plan.length, inProgress, hold: wave?.state === 'running' ? findWaveHoldReason(view) : undefined,
			},
		};
	},
};

/** Whether a command concerns one pool and is carried out by its owner. @internal */
export function isPoolCommand(command: OperatorCommand): command is Extract<OperatorCommand, {pool: string; command: keyof typeof callHandlers}> {
	return Object.hasOwn(callHandlers, command.command);
}

/** Carries out the calls that wait at a pool, until one of them needs a write. @internal */
export function runCalls(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	const outputs: Output[] = [];
	while (owned.pendingWrite === undefined) {
		const call = owned.calls.shift();
		if (call === undefined) {
			break;
		}

		outputs.push(...runCall(state, pool, call, context));
	}

	return outputs;
}

function runCall(state: EntryState, pool: PoolName, call: PoolCall, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	const handler = callHandlers[call.command.command] as ((work: CallWork) => CallDecision) | undefined;
	const view = createPoolView(state, pool, owned.record!, context);
	const decision = handler?.({
		state, owned, view, operator: call.operator, command: call.command, context,
	});
	return decision === undefined ? [] : settleCall(state, pool, call, decision, context);
}

function settleCall(state: EntryState, pool: PoolName, call: PoolCall, decision: CallDecision, context: DecisionContext): Output[] {
	if (decision.kind === 'refuse') {
		return refuseCall(call, decision.status, decision.reason);
	}

	if (decision.kind === 'change') {
		return startWrite(state, pool, {record: decision.record, calls: [{call, body: decision.body, detail: decision.detail}]}, context);
	}

	const answer = restartEvent({
		kind: 'operator-answered', callId: call.callId, status: 200, body: decision.body,
	});
	return decision.kind === 'done' ? [createAuditEvent(call, 'done', decision.detail), answer] : [answer];
}

function createStop({view, operator, context}: CallSetting, call: DrainCall): CallDecision {
	const {
		instance, decision, reason, targetPool,
	} = call;
	if (decision.kind === 'refused') {
		return {kind: 'refuse', status: view.isStoreReached ? 409 : 503, reason: decision.reason};
	}

	const record = setPermit(view.record, instance, {
		reason, stage: 'draining', since: context.wallTime, by: operator, targetPool,
	});
	return createChange(record, {outcome: 'draining', instance, targetPool}, targetPool === undefined ? '' : `instance ${instance} to pool ${targetPool}`);
}

function createMove(work: CallSetting, instance: InstanceId, targetPool: PoolName): CallDecision {
	const {state, view} = work;
	if (state.bundle.current?.pools[targetPool] === undefined) {
		return {kind: 'refuse', status: 404, reason: `unknown target pool ${targetPool}`};
	}

	if (targetPool === view.pool) {
		return {kind: 'refuse', status: 409, reason: `${instance} is in pool ${targetPool} already`};
	}

	return createStop(work, {
		instance, decision: checkMove(view, instance), reason: 'move', targetPool,
	});
}

/** Ends a drain, or takes back a maintenance or move that has not passed its last safe point. */
function endDrain({view, command}: CallWork<'undrain'>): CallDecision {
	const permit = view.record.permits[command.instance];
	if (permit === undefined) {
		return {kind: 'refuse', status: 409, reason: `${command.instance} is not drained`};
	}

	if (!view.isStoreReached) {
		return {kind: 'refuse', status: 503, reason: 'the store is not reached'};
	}

	const isReversible = permit.stage === 'draining' || (permit.stage === 'stopped' && permit.reason === 'operator-drain');
	if (!isReversible) {
		// The write of a stopped instance's new pool may be under way; taking the move back could leave it in two pools.
		return {kind: 'refuse', status: 409, reason: `${command.instance} is ${permit.stage} for ${permit.reason}; it returns by itself`};
	}

	return createChange(setPermit(view.record, command.instance, {...permit, stage: 'returning'}), {outcome: 'returning', instance: command.instance}, '');
}

function removeInstanceRecord({state, view, command}: CallWork<'retire'>): CallDecision {
	const instance = getInstance(state, command.instance);
	if (instance.listed !== undefined) {
		return {kind: 'refuse', status: 409, reason: `the instance list shows ${command.instance} as ${instance.listed.state}; only an instance that is gone can be retired`};
	}

	if (!view.isStoreReached) {
		return {kind: 'refuse', status: 503, reason: 'the store is not reached'};
	}

	instance.wasLeaving = true;
	instance.unlistedAt = Number.NEGATIVE_INFINITY;
	return {kind: 'done', body: {outcome: 'retired', instance: command.instance}, detail: ''};
}

function startWave({view, operator, context}: CallWork<'wave-start'>): CallDecision {
	const wave = getOpenWave(view);
	if (wave?.state === 'running') {
		return {kind: 'refuse', status: 409, reason: `${wave.id} runs in pool ${view.pool} already`};
	}

	if (view.declaration === undefined || view.declaration.budget === 0) {
		return {kind: 'refuse', status: 409, reason: `the budget of pool ${view.pool} is 0; nothing may be stopped`};
	}

	if (!view.isStoreReached) {
		return {kind: 'refuse', status: 503, reason: 'the store is not reached; no planned stop begins until it answers'};
	}

	const started = wave === undefined ? createWave(context.wallTime, operator) : {...wave, state: 'running' as const};
	return createChange({...view.record, wave: started}, {outcome: 'running', wave: started.id, instances: planWave(view, started).length}, started.id);
}

function getOpenWave({record}: PoolView): PoolRecord['wave'] {
	return record.wave?.state === 'done' ? undefined : record.wave;
}

function createChange(record: PoolRecord, body: unknown, detail: string): CallDecision {
	return {
		kind: 'change', record, body, detail,
	};
}

function hasMember(view: PoolView, id: InstanceId): boolean {
	return view.members.some(member => member.id === id);
}

function refuseUnknown(command: {readonly pool: string; readonly instance: string}): CallDecision {
	return {kind: 'refuse', status: 404, reason: `there is no instance ${command.instance} in pool ${command.pool}`};
}
