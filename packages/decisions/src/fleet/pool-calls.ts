import {appendItems} from '@pistachiogauge/chain';
import {
	type InstanceId, type OperatorCommand, type OperatorCommandName, type PoolName, type PoolRecord,
} from '@pistachiogauge/model';
import {restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getInstance, type OwnedPool, type PoolCall} from './fleet-state.js';
import {chooseInstanceToLend} from './move-policy.js';
import {
	checkMove, checkPermit, setPermit, type PermitDecision,
} from './permit.js';
import {describePool} from './pool-status.js';
import {createPoolView, type PoolView} from './pool-view.js';
import {createCallAuditEvent, rejectCall, startWrite} from './pool-write.js';
import {
	createWave, describePlan, findWaveHoldReason, planWave,
} from './wave.js';

/** Outcome of an operator call for an owned pool. */
type CallDecision =
	| {readonly kind: 'answer'; readonly body: unknown}
	| {readonly kind: 'refuse'; readonly status: 404 | 409 | 503; readonly reason: string}
	| {readonly kind: 'done'; readonly body: unknown; readonly detail: string}
	| {readonly kind: 'change'; readonly record: PoolRecord; readonly body: unknown; readonly detail: string};

type CallContext = {
	readonly state: EntryState;
	readonly owned: OwnedPool;
	readonly view: PoolView;
	readonly operator: string;
	readonly context: DecisionContext;
};

type CallRequest<Name extends OperatorCommandName = OperatorCommandName> = CallContext & {
	readonly command: Extract<OperatorCommand, {command: Name}>;
};

type CallHandlers = {
	readonly [Name in OperatorCommandName]?: (request: CallRequest<Name>) => CallDecision;
};

type DrainRequest = {
	readonly instance: InstanceId;
	readonly decision: PermitDecision;
	readonly reason: 'operator-drain' | 'move';
	readonly targetPool?: string;
};

const callHandlers: CallHandlers = {
	'pool-status': ({state, view, context}) => ({kind: 'answer', body: describePool(state, view, context)}),
	drain: request => hasMember(request.view, request.command.instance)
		? createDrain(request, {instance: request.command.instance, decision: checkPermit(request.view, request.command.instance), reason: 'operator-drain'})
		: rejectUnknownInstance(request.command),
	undrain: request => hasMember(request.view, request.command.instance) ? endDrain(request) : rejectUnknownInstance(request.command),
	retire: request => hasMember(request.view, request.command.instance) ? retireInstance(request) : rejectUnknownInstance(request.command),
	move: request => hasMember(request.view, request.command.instance) ? createMove(request, request.command.instance, request.command.targetPool) : rejectUnknownInstance(request.command),
	lend(request) {
		if (request.view.declaration?.isSpare !== true) {
			return {kind: 'refuse', status: 409, reason: `pool ${request.view.pool} does not lend instances`};
		}

		const instance = chooseInstanceToLend(request.view, request.command.targetPool);
		return instance === undefined
			? {kind: 'refuse', status: 409, reason: `pool ${request.view.pool} has no instance in service to lend`}
			: createMove(request, instance, request.command.targetPool);
	},
	'wave-plan'({view, context}) {
		const plan = planWave(view, getUnfinishedWave(view) ?? createWave(context.wallTime, ''));
		return {
			kind: 'answer', body: {
				pool: view.pool, budget: view.declaration?.budget ?? 0, instances: plan.length, steps: describePlan(plan), hold: findWaveHoldReason(view),
			},
		};
	},
	'wave-start': startWave,
	'wave-pause'({view}) {
		const wave = getUnfinishedWave(view);
		return wave?.state === 'running'
			? createRecordChange({...view.record, wave: {...wave, state: 'paused'}}, {outcome: 'paused', wave: wave.id}, wave.id)
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

/** Whether a command addresses one pool and is carried out by the pool's owner. @internal */
export function isPoolCommand(command: OperatorCommand): command is Extract<OperatorCommand, {pool: string; command: keyof typeof callHandlers}> {
	return Object.hasOwn(callHandlers, command.command);
}

/** Runs the queued operator calls of a pool until one of them starts a write of the pool record. @internal */
export function runCalls(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	const outputs: Output[] = [];
	while (owned.pendingWrite === undefined) {
		const call = owned.calls.shift();
		if (call === undefined) {
			break;
		}

		appendItems(outputs, runCall(state, pool, call, context));
	}

	return outputs;
}

function runCall(state: EntryState, pool: PoolName, call: PoolCall, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	const handler = callHandlers[call.command.command] as ((request: CallRequest) => CallDecision) | undefined;
	const view = createPoolView(state, pool, owned.record!, context);
	const decision = handler?.({
		state, owned, view, operator: call.operator, command: call.command, context,
	});
	return decision === undefined ? [] : applyCallDecision(state, pool, call, decision, context);
}

function applyCallDecision(state: EntryState, pool: PoolName, call: PoolCall, decision: CallDecision, context: DecisionContext): Output[] {
	if (decision.kind === 'refuse') {
		return rejectCall(call, decision.status, decision.reason);
	}

	if (decision.kind === 'change') {
		return startWrite(state, pool, {record: decision.record, calls: [{call, body: decision.body, detail: decision.detail}]}, context);
	}

	const answer = restartEvent({
		kind: 'operator-answered', callId: call.callId, status: 200, body: decision.body,
	});
	return decision.kind === 'done' ? [createCallAuditEvent(call, 'done', decision.detail), answer] : [answer];
}

/** Creates the permit that starts a drain, either for its own sake or as the first stage of a move. */
function createDrain({view, operator, context}: CallContext, call: DrainRequest): CallDecision {
	const {
		instance, decision, reason, targetPool,
	} = call;
	if (decision.kind === 'refused') {
		return {kind: 'refuse', status: view.isStoreReached ? 409 : 503, reason: decision.reason};
	}

	const record = setPermit(view.record, instance, {
		reason, stage: 'draining', since: context.wallTime, by: operator, targetPool,
	});
	return createRecordChange(record, {outcome: 'draining', instance, targetPool}, targetPool === undefined ? '' : `instance ${instance} to pool ${targetPool}`);
}

function createMove(request: CallContext, instance: InstanceId, targetPool: PoolName): CallDecision {
	const {state, view} = request;
	if (state.bundle.current?.pools[targetPool] === undefined) {
		return {kind: 'refuse', status: 404, reason: `unknown target pool ${targetPool}`};
	}

	if (targetPool === view.pool) {
		return {kind: 'refuse', status: 409, reason: `${instance} is in pool ${targetPool} already`};
	}

	return createDrain(request, {
		instance, decision: checkMove(view, instance), reason: 'move', targetPool,
	});
}

/** Ends a drain, or cancels a maintenance or move while that is still safe: before the instance has been stopped for it. */
function endDrain({view, command}: CallRequest<'undrain'>): CallDecision {
	const permit = view.record.permits[command.instance];
	if (permit === undefined) {
		return {kind: 'refuse', status: 409, reason: `${command.instance} is not drained`};
	}

	if (!view.isStoreReached) {
		return {kind: 'refuse', status: 503, reason: 'the store is not reached'};
	}

	const isReversible = permit.stage === 'draining' || (permit.stage === 'stopped' && permit.reason === 'operator-drain');
	if (!isReversible) {
		// The write that assigns a stopped instance to its new pool may be in flight; cancelling the move could leave the instance in two pools.
		return {kind: 'refuse', status: 409, reason: `${command.instance} is ${permit.stage} for ${permit.reason}; it returns by itself`};
	}

	return createRecordChange(setPermit(view.record, command.instance, {...permit, stage: 'returning'}), {outcome: 'returning', instance: command.instance}, '');
}

function retireInstance({state, view, command}: CallRequest<'retire'>): CallDecision {
	const instance = getInstance(state, command.instance);
	if (instance.listed !== undefined) {
		return {kind: 'refuse', status: 409, reason: `the instance list shows ${command.instance} as ${instance.listed.state}; only an instance that is gone can be retired`};
	}

	if (!view.isStoreReached) {
		return {kind: 'refuse', status: 503, reason: 'the store is not reached'};
	}

	// With these values the next update of the instance records marks the instance as having left, without the usual departure delay.
	instance.wasLeaving = true;
	instance.unlistedAt = Number.NEGATIVE_INFINITY;
	return {kind: 'done', body: {outcome: 'retired', instance: command.instance}, detail: ''};
}

function startWave({view, operator, context}: CallRequest<'wave-start'>): CallDecision {
	const wave = getUnfinishedWave(view);
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
	return createRecordChange({...view.record, wave: started}, {outcome: 'running', wave: started.id, instances: planWave(view, started).length}, started.id);
}

function getUnfinishedWave({record}: PoolView): PoolRecord['wave'] {
	return record.wave?.state === 'done' ? undefined : record.wave;
}

function createRecordChange(record: PoolRecord, body: unknown, detail: string): CallDecision {
	return {
		kind: 'change', record, body, detail,
	};
}

function hasMember(view: PoolView, id: InstanceId): boolean {
	return view.members.some(member => member.id === id);
}

function rejectUnknownInstance(command: {readonly pool: string; readonly instance: string}): CallDecision {
	return {kind: 'refuse', status: 404, reason: `there is no instance ${command.instance} in pool ${command.pool}`};
}
