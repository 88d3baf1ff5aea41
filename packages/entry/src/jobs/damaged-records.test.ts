import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type JobEvent} from '@pistachiogauge/jobs';
import {parseJson, type StoreClient, type StoreItem} from '@pistachiogauge/platform';
import {followPool} from './follow-pool.js';
import {
	followEndpoints, followFleetRecords, followMembersAndClaims, type FollowContext, type StopFollowing,
} from './follow-records.js';

type Follower = {
	readonly name: string;
	readonly follow: (context: FollowContext) => StopFollowing;
	/** Keys under which a damaged record is put. */
	readonly damagedKeys: readonly string[];
	/** An intact record that comes after the damaged ones, and the kind of event that it gives. */
	readonly intact: readonly [key: string, value: unknown];
	readonly expected: JobEvent['kind'];
};

const report = {
	pool: 'desk', waiting: {}, backlogMillis: 0, hasWork: false, usedMillis: 0, neededMillis: 0, arrivingMillis: 0, endpointMinimum: 0,
};
const job = {
	id: 'job', queue: 'prints', pool: 'desk', priority: 0, attempts: 1, stretch: 1, latencyTargetMs: 1, acceptedAt: 0, spec: {
		payload: '', repeatCount: 0, startAtMs: 0, intervalMs: 0, steps: [{
			count: 1, room: {cpuMillis: 1, memoryMb: 1, gpus: 0}, estimateMs: 1, after: [], isCheckpointing: false, isGang: false, isSameRack: false, mayDuplicate: false, isLongRunning: false, image: '', isFiller: false,
		}],
	},
};

const followers: readonly Follower[] = [
	{
		name: 'members and claims', follow: followMembersAndClaims, damagedKeys: ['shared/entry/a', 'shared/claim/fleet', 'shared/last/fleet'], intact: ['shared/last/fleet2', {node: 'b', incarnation: 'c'}], expected: 'last-holder-changed',
	},
	{
		name: 'records of the fleet', follow: followFleetRecords, damagedKeys: ['fleet/report/a', 'fleet/vacate/a/b', 'fleet/vacate/a', 'fleet/vacated/a/b', 'fleet/wave/1'], intact: ['fleet/report/desk', report], expected: 'report-changed',
	},
	{
		name: 'jobs of a pool', follow: context => followPool(context, 'desk', 7), damagedKeys: ['inbox/desk/job/a', 'inbox/desk/cancel/a', 'inbox/desk/other'], intact: ['inbox/desk/job/job', job], expected: 'pool-read',
	},
];

/** Lets an entry list and then watch the given records, and returns the events and the number of errors. */
async function followItems(follower: Follower, items: readonly StoreItem[]): Promise<{readonly events: readonly JobEvent[]; readonly errors: readonly string[]}> {
	const events: JobEvent[] = [];
	const errors: string[] = [];
	let watchCount = 0;
	const store = {
		listItems: async (prefix: string) => ({items: prefix.startsWith('state/') ? [] : items, revision: 1}),
		readItem: async () => undefined,
		async watchItems() {
			watchCount += 1;
			return watchCount === 1 ? {items: items.map(item => ({...item, revision: 2})), revision: 2} : new Promise<undefined>(() => {/* Waits for a change that does not come. */});
		},
	} as unknown as StoreClient;
	const stop = follower.follow({
		store,
		pushEvent(event) {
			events.push(event);
		},
		log(level, message, fields) {
			if (fields !== undefined && 'error' in fields) {
				errors.push(`${level} ${message} ${String(fields.error)}`);
			}
		},
		reportIgnoredItem: () => undefined,
		node: 'entry-1',
		incarnation: 'first',
		handleRegistrationLost: () => undefined,
	});
	await new Promise(resolve => {
		setTimeout(resolve, 5);
	});
	stop();
	return {events, errors};
}

const damagedTexts = ['', '{', 'null', '7', '"text"', '[]', '{}', '{"node":7}', '{"pool":"a","waiting":null}', '{"Wave":"x"}', '\u0000\uFFFD'];

// Guards against one damaged record, or one of an entry of another version, that keeps all others from their reader or makes every later tick fail.
describe('a damaged record in the store', () => {
	it.each(followers)('costs only itself: $name', async follower => {
		const [key, value] = follower.intact;
		const intact: StoreItem = {key, value: JSON.stringify(value), revision: 1};
		const createDamaged = (text: string): StoreItem[] => follower.damagedKeys.map(damagedKey => ({key: damagedKey, value: text, revision: 1}));
		for (const text of damagedTexts) {
			// eslint-disable-next-line no-await-in-loop
			const {events, errors} = await followItems(follower, [...createDamaged(text), intact]);
			expect.soft(errors, text).toEqual([]);
			expect.soft(events.map(({kind}) => kind), text).toContain(follower.expected);
		}

		await fc.assert(fc.asyncProperty(fc.json(), async text => {
			const {events, errors} = await followItems(follower, [...createDamaged(text), intact]);
			expect(errors).toEqual([]);
			expect(events.map(({kind}) => kind)).toContain(follower.expected);
		}), {seed: 1, numRuns: 40});
	});
});

const registration = '{"Service":"desk","Address":"10.0.0.1:80","Zone":"a","State":"ready","Capacity":{"Cpu":16000,"MemMb":64000},"Labels":["a","r1"],"RemainingMs":900,"born":1700000000000}';
const values = registration.match(/(?<=[:[,])(?:"[^"]*"(?!:)|\d+)/gu)!;
const oddTexts = ['1e400', '1e308', '-1', '0.5', 'null', '""', '"http"', '[]', '{}', '[[[[1]]]]', '{"__proto__":{"a":1}}', `"${'x'.repeat(20_000)}"`, 'NaN', '', '9007199254740993', '"10.0.0.1:70000"'];
const registrations = fc.oneof(fc.tuple(fc.constantFrom(...values), fc.constantFrom(...oddTexts)).map(([value, text]) => registration.replace(value, text)), fc.json(), fc.string());
const endpointKeys = ['servers/b', 'servers/', 'servers/a/b', 'servers/\uD800', 'servers/__proto__'];

// Guards against an odd registration that takes the endpoints beside it out of use.
it('an odd registration costs only itself', async () => {
	const follower: Follower = {
		name: 'endpoints', follow: followEndpoints, damagedKeys: [], intact: ['', ''], expected: 'endpoints-listed',
	};
	await fc.assert(fc.asyncProperty(fc.array(fc.tuple(fc.constantFrom(...endpointKeys), registrations), {minLength: 1, maxLength: 5}), async odd => {
		const items = [['servers/a', registration] as const, ...odd, ['servers/z', registration] as const].map(([key, value]) => ({key, value, revision: 1}));
		const {events, errors} = await followItems(follower, items);
		expect(errors).toEqual([]);
		const listed = events.find(event => event.kind === 'endpoints-listed');
		const ids = listed?.endpoints.map(({id}) => id);
		expect(ids?.[0]).toBe('a');
		expect(ids?.at(-1)).toBe('z');
		for (const endpoint of listed?.endpoints ?? []) {
			expect(parseJson(JSON.stringify(endpoint))).toEqual(endpoint);
		}
	}), {seed: 1, numRuns: 200});
});
