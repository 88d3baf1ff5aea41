import {setTimeout as delay} from 'node:timers/promises';
import {type JobEvent} from '@pistachiogauge/jobs';
import {type StoreClient} from '@pistachiogauge/platform';
import {describe, expect, it} from 'vitest';
import {followPool} from './follow-pool.js';

type Input = {
	/** Endpoints whose evacuation is requested when the pool is loaded. */
	readonly requested: readonly string[];
	/** The same when the watch lists the requests, which it does after the load if they differ. */
	readonly requestedLater?: readonly string[];
	/** Endpoints whose evacuation has been confirmed. */
	readonly confirmed: readonly string[];
	/** Request that was confirmed; `4-1` is the one that stands. */
	readonly confirmedRequestId?: string;
};

/** Lists what a new owner learns of evacuations, in order: confirmed ones with the pool's records, then requests and withdrawals. */
async function listEvents({requested, requestedLater, confirmed, confirmedRequestId = '4-1'}: Input): Promise<string[]> {
	const events: string[] = [];
	let requestListCount = 0;
	const createRequestItems = (endpointIds: readonly string[]) => endpointIds.map(endpointId => ({
		key: `fleet/vacate/desk/${endpointId}`,
		value: JSON.stringify({
			requestId: '4-1', pool: 'desk', endpointId, machine: 'm', purpose: 'move', dueAt: 0,
		}),
		revision: 1,
	}));
	const itemsByPrefix = new Map([
		['fleet/vacated/desk/', confirmed.map(endpointId => ({key: `fleet/vacated/desk/${endpointId}`, value: JSON.stringify({requestId: confirmedRequestId}), revision: 2}))],
	]);
	const store = {
		async listItems(prefix: string) {
			if (prefix !== 'fleet/vacate/desk/') {
				return {items: itemsByPrefix.get(prefix) ?? [], revision: 3};
			}

			// The watch lists the requests first, the load after the pool's records.
			requestListCount += 1;
			const isWatch = requestListCount === 1;
			await delay(isWatch && requestedLater !== undefined ? 60 : 0);
			return {items: createRequestItems(isWatch ? requestedLater ?? requested : requested), revision: 3};
		},
		readItem: async () => undefined,
		watchItems: async () => new Promise<undefined>(() => {/* Waits for a change that does not come. */}),
	} as unknown as StoreClient;
	const describeEvent: Partial<Record<JobEvent['kind'], (event: never) => string>> = {
		'pool-read': ({evacuatedEndpointIds}: Extract<JobEvent, {kind: 'pool-read'}>) => `loaded with ${evacuatedEndpointIds.join(' ')}`,
		'evacuation-requested': ({request}: Extract<JobEvent, {kind: 'evacuation-requested'}>) => `requested ${request.endpointId}`,
		'evacuation-withdrawn': ({endpointId}: Extract<JobEvent, {kind: 'evacuation-withdrawn'}>) => `withdrawn ${endpointId}`,
	};
	const stop = followPool({
		store,
		pushEvent(event) {
			const text = describeEvent[event.kind]?.(event as never);
			events.push(...(text === undefined ? [] : [text]));
		},
		log() {/* Not needed. */},
		reportIgnoredItem() {/* Not needed. */},
		node: 'e1',
		incarnation: 'first',
		handleRegistrationLost() {/* Not needed. */},
	}, 'desk', 7);
	await delay(120);
	stop();
	return events.sort();
}

// Guards against an endpoint that is never used again, as its evacuation was withdrawn between the reads of the confirmations and of the requests.
const cases: ReadonlyArray<{readonly name: string; readonly expected: readonly string[]} & Input> = [
	{
		name: 'the request still stands', requested: ['a'], confirmed: ['a'], expected: ['loaded with a', 'requested a'],
	},
	{
		name: 'the request is gone', requested: [], confirmed: ['a'], expected: ['loaded with '],
	},
	{
		name: 'the request is gone when the watch lists the requests later', requested: ['a'], requestedLater: ['b'], confirmed: ['a'], expected: ['loaded with a', 'requested b', 'withdrawn a'],
	},
	{
		// Guards against a takeover that does not wait for an endpoint that was used again after its evacuation was withdrawn, as the confirmation was written late.
		name: 'an earlier request was confirmed', requested: ['a'], confirmed: ['a'], confirmedRequestId: '3-9', expected: ['loaded with ', 'requested a'],
	},
];

describe('followPool', () => {
	it.each(cases)('reads evacuations: $name', async ({expected, ...input}) => {
		expect(await listEvents(input)).toEqual(expected);
	});
});
