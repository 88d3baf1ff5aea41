/** A job that may be kept or displaced. @internal */
export type SelectableJob = {
	/** Work that may be done before the job without making it late, in thousandths of a core times ms. */
	readonly limit: number;
	/** Remaining work, in thousandths of a core times ms. */
	readonly work: number;
	/** Value for each unit of work. */
	readonly density: number;
	readonly account: string;
	/** Tiers are considered one after the other, the lowest first. */
	readonly tier: number;
	/** Position in the order in which kept jobs are served: a lower class comes first, and within it the lower limit. */
	readonly servingClass: number;
	/** Undefined for a job that is not guarded. */
	readonly guard: Guard | undefined;
};

/** Guard of a job of a size of which enough have to be kept. @internal */
export type Guard = {
	/** Whether the guard has kept this job in an earlier selection. */
	readonly wasKept: boolean;
	/** Whether more jobs of the same queue and size have to be kept. */
	isShort(): boolean;
	/** Records that the job is kept. @param isGuarded - Whether it is kept because its size is short. */
	addKept(isGuarded: boolean): void;
};

/** Work that an account has kept, relative to its weight. @internal */
export type AccountUse = {readonly weight: number; work: number};

/** @internal */
export type Selection<Item extends SelectableJob> = {
	/** In the order in which they are served. */
	readonly kept: readonly Item[];
	/** The first are those that would be kept next. */
	readonly displaced: readonly Item[];
};

/** Jobs of an account in a tier. */
type Candidates = {
	readonly use: AccountUse;
	/** Indexes of its jobs, the densest first. */
	readonly order: readonly number[];
	next: number;
	/** Indexes of its guarded jobs, in the order in which the guard keeps them. */
	readonly guarded: readonly number[];
};

/**
Selects the jobs that are kept, with the pool as a single machine.

The account with the least kept work for its weight comes next, so that capacity is shared by weight and what an account does not use goes to others. Of its jobs the one of a guarded group that is short comes first, else the densest. A job is kept if it fits among those kept before without making any of them late.

@param getUse - Returns the work that an account has running; the selection adds to it.
@internal
*/
export function chooseKeptJobs<Item extends SelectableJob>(items: readonly Item[], getUse: (account: string) => AccountUse): Selection<Item> {
	const sorted = [...items].sort((left, right) => left.servingClass - right.servingClass || left.limit - right.limit);
	if (areAllInTime(sorted)) {
		return {kept: sorted, displaced: []};
	}

	const schedule = createSchedule(sorted);
	const displaced: Item[] = [];
	const tiers = [...new Set(sorted.map(({tier}) => tier))].sort((left, right) => left - right);
	for (const tier of tiers) {
		const isTaken = new Uint8Array(sorted.length);
		let open = groupByAccount(sorted, tier, getUse);
		while (open.length > 0) {
			const candidates = findLeastServed(open);
			const index = takeNext(sorted, candidates, isTaken);
			if (index === undefined) {
				open = open.filter(other => other !== candidates);
				continue;
			}

			const item = sorted[index]!;
			const isShort = item.guard?.isShort() ?? false;
			if (schedule.insert(index)) {
				candidates.use.work += item.work;
				item.guard?.addKept(isShort);
			} else {
				displaced.push(item);
			}
		}
	}

	return {kept: sorted.filter((_, index) => schedule.isKept(index)), displaced};
}

function areAllInTime(sorted: readonly SelectableJob[]): boolean {
	let before = 0;
	for (const {limit, work} of sorted) {
		if (before > limit) {
			return false;
		}

		before += work;
	}

	return true;
}

/** Creates an empty schedule of the jobs in their serving order. An insertion takes time in proportion to their number. */
function createSchedule(sorted: readonly SelectableJob[]): {insert(index: number): boolean; isKept(index: number): boolean} {
	/** Work of the kept jobs before each job. */
	const before = new Float64Array(sorted.length);
	/** Work that can still be inserted before each kept job. */
	const room = new Float64Array(sorted.length).fill(Number.POSITIVE_INFINITY);
	return {
		insert(index) {
			const {limit, work} = sorted[index]!;
			if (before[index]! > limit) {
				return false;
			}

			for (let later = index + 1; later < room.length; later++) {
				if (work > room[later]!) {
					return false;
				}
			}

			room[index] = limit - before[index]!;
			for (let later = index + 1; later < room.length; later++) {
				before[later]! += work;
				room[later]! -= work;
			}

			return true;
		},
		isKept: index => room[index] !== Number.POSITIVE_INFINITY,
	};
}

function groupByAccount(sorted: readonly SelectableJob[], tier: number, getUse: (account: string) => AccountUse): Candidates[] {
	const groups = new Map<string, number[]>();
	for (const [index, item] of sorted.entries()) {
		if (item.tier === tier) {
			const group = groups.get(item.account) ?? [];
			groups.set(item.account, group);
			group.push(index);
		}
	}

	return [...groups].map(([account, indexes]) => {
		// Equally dense jobs are considered in their serving order, which the sort keeps.
		const order = indexes.sort((left, right) => sorted[right]!.density - sorted[left]!.density);
		const guarded = order.filter(index => sorted[index]!.guard !== undefined);
		// Otherwise jobs that the guard has kept before would give way to new ones that are a little smaller, and none would be served.
		const keptBefore = guarded.filter(index => sorted[index]!.guard!.wasKept);
		return {
			use: getUse(account), order, next: 0, guarded: [...keptBefore, ...guarded.filter(index => !sorted[index]!.guard!.wasKept)],
		};
	});
}

function findLeastServed(groups: readonly Candidates[]): Candidates {
	let least = groups[0]!;
	for (const group of groups) {
		if (group.use.work * least.use.weight < least.use.work * group.use.weight) {
			least = group;
		}
	}

	return least;
}

/** Takes the next job of an account. @returns Undefined if all are taken. */
function takeNext(sorted: readonly SelectableJob[], candidates: Candidates, isTaken: Uint8Array): number | undefined {
	for (const index of candidates.guarded) {
		if (isTaken[index] === 0 && sorted[index]!.guard!.isShort()) {
			isTaken[index] = 1;
			return index;
		}
	}

	while (candidates.next < candidates.order.length) {
		const index = candidates.order[candidates.next]!;
		candidates.next += 1;
		if (isTaken[index] === 0) {
			isTaken[index] = 1;
			return index;
		}
	}

	return undefined;
}
