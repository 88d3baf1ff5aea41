import {
	computeResources, hasComponent, noResources, type PoolShare, type ResourceName, type Resources,
} from '../model/index.js';

/** What the owner of a pool knows of an account when it decides on the pool's share. @internal */
export type ShareInput = {
	/** 0 in a component for no limit. */
	readonly cap: Resources;
	/** The pool's entry in the account's record. */
	readonly own: PoolShare | undefined;
	readonly pool: string;
	/** The entries of the other pools, by name. */
	readonly others: ReadonlyArray<readonly [name: string, share: PoolShare]>;
	/** What the pool's first waiting task or gang takes, and since when it waits, in Unix ms. */
	readonly unit: {readonly resources: Resources; readonly since: number} | undefined;
	/** What is known to run in the pool, or to have been started there. */
	readonly running: Resources;
	/** What may be running in the pool. */
	readonly possible: Resources;
	/** `possible`, and what the tasks would take that wait only because of the share. */
	readonly wanted: Resources;
	/** Maximum of `wanted` over the last seconds. */
	readonly peak: Resources;
	/** Whether the share may grow beyond what is running. */
	readonly mayTake: boolean;
	/** Whether the share may become smaller. */
	readonly mayRelease: boolean;
};

/** @internal */
export type ShareDecision = {
	readonly share: Resources;
	readonly wanted: Resources;
	/** To be recorded, as it is more than the pool's part of the cap. */
	readonly unit: ShareInput['unit'];
	/** Up to this much may be running from now on, beside what runs already; less than the share while other pools are due a part of it that is in use. */
	readonly limit: Resources;
	/** Whether the share becomes smaller in a component because another pool wants it. */
	readonly isYielding: boolean;
};

type Component = Readonly<Record<'cap' | 'share' | 'running' | 'possible' | 'wanted' | 'peak', number>> & Pick<ShareInput, 'mayTake' | 'mayRelease'> & {
	readonly others: ReadonlyArray<{readonly share: number; readonly part: number}>;
	/** What the pool is due of the cap. */
	readonly part: number;
};

type ComponentDecision = {readonly share: number; readonly limit: number; readonly isYielding: boolean};

/** Idle share is given back without a request once less than this part of the cap is free. */
const scarceFreePart = 0.25;
/** Part of the cap that a pool keeps beyond its peak demand when it gives back idle share. */
const keptPart = 0.05;
/** Multiple of its peak demand that a pool keeps. */
const keptFactor = 1.5;

/**
Decides on a pool's share of an account's cap.

What runs already is always covered, as after a cap was introduced. Beyond that the share only grows into what the record shows as free, so that the sum of the shares stays within the cap. If the pools want more than the cap, it is divided evenly among those that want more than their part (max-min fairness); a pool beyond its part starts nothing until it is back to it.

@internal
*/
export function decideShare(input: ShareInput): ShareDecision {
	const decisions = new Map<ResourceName, ComponentDecision>();
	const {parts, evenParts} = computeParts(input);
	const share = computeResources(name => {
		const decision = decideComponent(selectComponent(input, parts, name));
		decisions.set(name, decision);
		return decision.share;
	});
	const evenPart = evenParts.get(input.pool)!;
	return {
		share,
		// More than the cap cannot be met, and each change costs a write.
		wanted: computeResources(name => Math.min(input.cap[name], Math.ceil(input.wanted[name]))),
		unit: input.unit !== undefined && isBeyond(input.unit.resources, evenPart, input.cap) ? input.unit : undefined,
		limit: computeResources(name => decisions.get(name)!.limit),
		isYielding: [...decisions.values()].some(({isYielding}) => isYielding),
	};
}

function selectComponent({own, others, ...input}: ShareInput, parts: ReadonlyMap<string, Resources>, name: ResourceName): Component {
	return {
		...input,
		cap: input.cap[name],
		share: (own?.share ?? noResources)[name],
		others: others.map(([pool, {share}]) => ({share: share[name], part: Math.floor(parts.get(pool)![name])})),
		part: Math.floor(parts.get(input.pool)![name]),
		running: Math.ceil(input.running[name]),
		possible: Math.ceil(input.possible[name]),
		wanted: Math.ceil(input.wanted[name]),
		peak: Math.ceil(input.peak[name]),
	};
}

/**
Computes what each pool is due of the cap: what it wants, or an even part if all pools want more than there is.

A task or gang may take more than the even part of its pool. Of the pools with such a unit, the one that has waited longest is due as much as the unit takes, and the others nothing meanwhile, as they could not use it; otherwise each would wait with an idle part for ever.
*/
function computeParts({pool, cap, wanted, unit, others}: ShareInput): {readonly parts: ReadonlyMap<string, Resources>; readonly evenParts: ReadonlyMap<string, Resources>} {
	const demands = new Map<string, Resources>([[pool, wanted], ...others.map(([name, share]) => [name, share.wanted] as const)]);
	const units = others.flatMap(([name, share]) => share.unit === undefined ? [] : [{name, resources: share.unit, since: share.unitSince ?? 0}]);
	if (unit !== undefined) {
		units.push({name: pool, ...unit});
	}

	const evenParts = divideEvenly(cap, cap, demands);
	const stuck = units.filter(({name, resources}) => isBeyond(resources, evenParts.get(name)!, cap) && !isBeyond(resources, cap, cap))
		.sort((one, other) => one.since - other.since || (one.name < other.name ? -1 : 1));
	const [first] = stuck;
	if (first === undefined) {
		return {parts: evenParts, evenParts};
	}

	for (const {name} of stuck) {
		demands.delete(name);
	}

	const parts = divideEvenly(computeResources(name => cap[name] - first.resources[name]), cap, demands);
	for (const {name} of stuck) {
		parts.set(name, name === first.name ? first.resources : noResources);
	}

	return {parts, evenParts};
}

function divideEvenly(available: Resources, cap: Resources, demands: ReadonlyMap<string, Resources>): Map<string, Resources> {
	const levels = computeResources(name => cap[name] === 0 ? Number.POSITIVE_INFINITY : computeLevel(available[name], [...demands.values()].map(demand => demand[name])));
	return new Map([...demands].map(([pool, demand]) => [pool, computeResources(name => Math.min(demand[name], levels[name]))]));
}

/** Whether a unit is larger than a part in a component with a limit. */
function isBeyond(unit: Resources, part: Resources, cap: Resources): boolean {
	return hasComponent(name => cap[name] > 0 && unit[name] > Math.floor(part[name]));
}

function decideComponent(component: Component): ComponentDecision {
	const {
		cap, running, possible, wanted, others, part, mayTake, mayRelease,
	} = component;
	if (cap === 0) {
		return {share: 0, limit: Number.POSITIVE_INFINITY, isYielding: false};
	}

	const share = Math.max(component.share, running);
	const othersShare = others.reduce((sum, other) => sum + other.share, 0);
	const free = cap - othersShare - share;
	if (free < 0) {
		// The cap was lowered or is new: nothing is started beyond it, and what becomes idle is given back.
		const released = mayRelease ? Math.max(Math.min(possible, share), share + free) : share;
		return {share: Math.max(released, running), limit: Math.max(0, cap - othersShare), isYielding: released < share};
	}

	const othersNeed = others.reduce((sum, other) => sum + Math.max(0, other.part - other.share), 0);
	if (othersNeed > free && share > part && mayRelease) {
		const target = Math.max(part, share - (othersNeed - free));
		return {share: Math.max(target, Math.min(share, possible)), limit: target, isYielding: true};
	}

	if (wanted > share) {
		const taken = mayTake
			? computeTaken({
				wanted: wanted - share, due: part - share, free, othersNeed,
			})
			: 0;
		return {share: share + taken, limit: share + taken, isYielding: false};
	}

	return {share: mayRelease ? releaseIdleShare(component, share, free) : share, limit: share, isYielding: false};
}

/** Computes how much is taken of what is free: what is wanted, and half of the rest so that growing demand needs few writes, unless others wait for it. */
function computeTaken({wanted, due, free, othersNeed}: {readonly wanted: number; readonly due: number; readonly free: number; readonly othersNeed: number}): number {
	if (othersNeed > 0 || wanted >= free) {
		return Math.max(0, Math.min(wanted, free, Math.max(due, free - othersNeed)));
	}

	return wanted + Math.floor((free - wanted) / 2);
}

/** Gives back what was not wanted for seconds while little of the cap is free for other pools, so that they need not wait for it. */
function releaseIdleShare({cap, peak, wanted}: Component, share: number, free: number): number {
	const kept = peak === 0 ? 0 : Math.ceil((keptFactor * Math.max(peak, wanted)) + (keptPart * cap));
	// Giving back small amounts is not worth a write.
	return free < scarceFreePart * cap && share > kept + (keptPart * cap) ? kept : share;
}

/** Computes the level up to which all demands can be met together; infinite if that is all of them. @internal */
export function computeLevel(cap: number, demands: readonly number[]): number {
	let left = cap;
	const ascending = [...demands].sort((one, other) => one - other);
	for (const [index, demand] of ascending.entries()) {
		const level = left / (ascending.length - index);
		if (demand > level) {
			return level;
		}

		left -= demand;
	}

	return Number.POSITIVE_INFINITY;
}
