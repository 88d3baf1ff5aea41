import {describe, expect, it} from 'vitest';
import {type Permit, type PoolDeclaration} from '@pistachiogauge/model';
import {checkMove, checkPermit} from './permit.js';
import {countOutOfService, type OutOfServiceReason, type PoolView} from './pool-view.js';

const declaration: PoolDeclaration = {
	budget: 2, maintenancePeriodDays: 35, isSpare: false, minInstances: 3, slotsPerInstance: 8,
};

type ViewOptions = {
	readonly out?: Readonly<Record<string, OutOfServiceReason>>;
	readonly permits?: Readonly<Record<string, Partial<Permit>>>;
	readonly budget?: number;
	readonly members?: readonly string[];
	readonly isStoreReached?: boolean;
	readonly isDeclared?: boolean;
};

function createView({out = {}, permits = {}, budget = 2, members = ['a', 'b', 'c', 'd', 'e'], isStoreReached = true, isDeclared = true}: ViewOptions): PoolView {
	const fullPermits = Object.fromEntries(Object.entries(permits).map(([id, permit]) => [id, {
		reason: 'operator-drain', stage: 'draining', since: 0, by: 'ana', ...permit,
	} as const]));
	return {
		pool: 'badge-desk',
		declaration: isDeclared ? {...declaration, budget} : undefined,
		record: {
			ownerEpoch: 1, owner: 'x', permits: fullPermits, maintained: {},
		},
		members: members.map(id => ({
			id, listed: undefined, outOfServiceReason: out[id] ?? (permits[id] === undefined ? undefined : 'draining'), maintainedAt: 0,
		})),
		isStoreReached,
	};
}

// Guards against a planned stop beyond the budget: every reason to be out of service has to count.
const permitCases: Array<{name: string; view: ViewOptions; id?: string; expected: RegExp | 'granted'}> = [
	{name: 'no instance is out of service', view: {}, expected: 'granted'},
	{name: 'one failure leaves one of two', view: {out: {b: 'failed'}}, expected: 'granted'},
	{name: 'failures use up the budget', view: {out: {b: 'failed', c: 'failed'}}, expected: /budget is 2: b failed, c failed/u},
	{name: 'leaving instances use up the budget', view: {out: {b: 'leaving', c: 'leaving'}}, expected: /budget is 2/u},
	{name: 'unknown instances use up the budget', view: {out: {b: 'unknown', c: 'unknown'}}, expected: /budget is 2/u},
	{name: 'rebooting instances use up the budget', view: {out: {b: 'rebooting', c: 'rebooting'}}, expected: /budget is 2/u},
	{name: 'permits use up the budget', view: {permits: {b: {}, c: {}}}, expected: /budget is 2/u},
	{name: 'a permit of an instance that is not a member counts', view: {permits: {gone: {}, b: {}}}, expected: /budget is 2/u},
	{name: 'a failed instance adds nothing', view: {out: {a: 'failed', b: 'failed'}}, expected: 'granted'},
	{name: 'a failed instance gets no permit while the budget is exceeded', view: {out: {a: 'failed', b: 'failed', c: 'failed'}}, expected: /budget is 2/u},
	{name: 'a second permit for one instance', view: {permits: {a: {reason: 'move'}}}, expected: /out of service already: move by ana/u},
	{name: 'a budget of 0', view: {budget: 0}, expected: /budget is 0/u},
	{name: 'the store is not reached', view: {isStoreReached: false}, expected: /store is not reached/u},
	{name: 'a pool that the bundle does not declare', view: {isDeclared: false}, expected: /does not declare/u},
	{
		name: 'an instance of another pool', view: {}, id: 'z', expected: /not in pool/u,
	},
];

// Guards against moves that empty a pool or take many instances out of service at once.
const moveCases: Array<{name: string; view: ViewOptions; expected: RegExp | 'granted'}> = [
	{name: 'within all limits', view: {}, expected: 'granted'},
	{name: 'the pool would fall below its minimum size', view: {members: ['a', 'b', 'c']}, expected: /keeps at least 3/u},
	{name: 'a move in flight counts against the minimum', view: {members: ['a', 'b', 'c', 'd'], permits: {b: {reason: 'move'}}}, expected: /keeps at least 3/u},
	{name: 'two moves are in flight', view: {budget: 9, permits: {b: {reason: 'move'}, c: {reason: 'move'}}}, expected: /limit is 2/u},
	{name: 'the budget is used up', view: {out: {b: 'failed', c: 'unknown'}}, expected: /budget is 2/u},
];

function expectDecision(decision: ReturnType<typeof checkPermit>, expected: RegExp | 'granted'): void {
	if (expected === 'granted') {
		expect(decision).toEqual({kind: 'granted'});
		return;
	}

	expect(decision).toEqual({kind: 'refused', reason: expect.stringMatching(expected) as string});
}

describe('checkPermit', () => {
	it.each(permitCases)('$name', ({view, id = 'a', expected}) => {
		expectDecision(checkPermit(createView(view), id), expected);
	});
});

describe('checkMove', () => {
	it.each(moveCases)('$name', ({view, expected}) => {
		expectDecision(checkMove(createView(view), 'a'), expected);
	});
});

describe('countOutOfService', () => {
	it('counts an instance with a permit once', () => {
		expect(countOutOfService(createView({out: {a: 'failed', b: 'unknown'}, permits: {a: {}, gone: {}}}))).toBe(3);
	});
});
