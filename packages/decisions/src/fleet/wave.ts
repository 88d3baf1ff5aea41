import {type PoolRecord, type Wave} from '@pistachiogauge/model';
import {checkPermit, setPermit} from './permit.js';
import {listUnplannedOutages, type PoolMember, type PoolView} from './pool-view.js';

const dayMs = 86_400_000;
/** A wave starts automatically when an instance has used up this share of its maintenance period, so that the wave ends before the period does. */
const waveStartShare = 0.9;
/** A wave that started automatically also includes the instances that have used up this share of their period, since they would be due soon. */
const waveInclusionShare = 0.7;

/** One step of a wave's plan: the instances of one rack, stopped as the budget allows. @public */
export type WaveStep = {
	readonly zone: string;
	readonly rack: string;
	readonly instances: readonly string[];
};

/** Lists the instances that a wave has yet to maintain, ordered by zone and rack. @public */
export function planWave(view: PoolView, wave: Wave): PoolMember[] {
	const {done, dueBefore = wave.startedAt} = wave;
	return view.members
		.filter(member => !done.includes(member.id) && member.maintainedAt <= dueBefore && member.listed?.state !== 'leaving')
		.sort((left, right) => getLocationKey(left) < getLocationKey(right) ? -1 : 1);
}

/** Groups a plan by rack for display. @public */
export function describePlan(plan: readonly PoolMember[]): WaveStep[] {
	const steps = new Map<string, {zone: string; rack: string; instances: string[]}>();
	for (const {id, listed} of plan) {
		const zone = listed?.zone ?? 'unknown';
		const rack = listed?.rack ?? 'unknown';
		const step = steps.get(`${zone}\n${rack}`) ?? {zone, rack, instances: []};
		step.instances.push(id);
		steps.set(`${zone}\n${rack}`, step);
	}

	return [...steps.values()];
}

/** Creates a running wave over the whole pool. @internal */
export function createWave(wallTime: number, by: string): Wave {
	return {
		id: `wave-${wallTime}`, state: 'running', startedAt: wallTime, done: [], by,
	};
}

/** Finds the reason why a running wave is on hold; undefined when it continues. @public */
export function findWaveHoldReason(view: PoolView): string | undefined {
	const failures = listUnplannedOutages(view);
	if (failures.length > 0) {
		return `out of service without a permit: ${failures.map(member => `${member.id} ${member.outOfServiceReason}`).join(', ')}`;
	}

	return view.isStoreReached ? undefined : 'the store is not reached';
}

/**
Advances a pool's maintenance wave, which reboots the instances a few at a time: starts one when instances become due, adds permits while the budget allows, and ends it when all are maintained.

Failures put the wave on hold, because the instances of a wave tend to fail together.

@internal
*/
export function advanceWave(view: PoolView, wallTime: number): PoolRecord {
	const {record} = view;
	const wave = record.wave?.state === 'running' || record.wave?.state === 'paused' ? record.wave : createDueWave(view, wallTime);
	if (wave?.state !== 'running') {
		return record;
	}

	const plan = planWave(view, wave).filter(member => record.permits[member.id] === undefined);
	const isMaintaining = Object.values(record.permits).some(permit => permit.reason === 'maintenance');
	if (plan.length === 0 && !isMaintaining) {
		return {...record, wave: {...wave, state: 'done'}};
	}

	let next: PoolRecord = wave === record.wave ? record : {...record, wave};
	if (findWaveHoldReason(view) !== undefined) {
		return next;
	}

	for (const {id} of plan) {
		if (checkPermit(applyPermits(view, next), id).kind === 'refused') {
			break;
		}

		next = setPermit(next, id, {
			reason: 'maintenance', stage: 'draining', since: wallTime, by: wave.id,
		});
	}

	return next;
}

/** Creates a wave over the instances near the end of their maintenance period; undefined when there are none. */
function createDueWave(view: PoolView, wallTime: number): Wave | undefined {
	const periodMs = (view.declaration?.maintenancePeriodDays ?? 0) * dayMs;
	if (periodMs === 0 || !view.members.some(member => member.maintainedAt > 0 && wallTime - member.maintainedAt >= periodMs * waveStartShare)) {
		return undefined;
	}

	return {...createWave(wallTime, 'system'), dueBefore: wallTime - (periodMs * waveInclusionShare)};
}

/** Returns the view with the permits of a record that is not written yet. */
function applyPermits(view: PoolView, record: PoolRecord): PoolView {
	const members = view.members.map(member => member.outOfServiceReason === undefined && record.permits[member.id] !== undefined ? {...member, outOfServiceReason: 'draining' as const} : member);
	return {...view, record, members};
}

function getLocationKey({id, listed}: PoolMember): string {
	return `${listed?.zone ?? ''}\n${listed?.rack ?? ''}\n${id}`;
}
