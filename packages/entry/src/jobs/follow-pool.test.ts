import {setTimeout as delay} from 'node:timers/promises';
import {type JobEvent} from '@pistachiogauge/jobs';
import {type StoreClient} from '@pistachiogauge/platform';
import {describe, expect, it} from 'vitest';
import {followPool} from './follow-pool.js';

type Input = {
	/** Endpoints whose evacuation is requested, when that is listed. */
	readonly requested: readonly string[];
	/** Endpoints whose evacuation has been confirmed. */
	readonly confirmed: readonly string[];
	/** Whether the requests are listed after the pool has been loaded. */
	readonly isListedLate: boolean;
};

/** Lists what a new owner learns of evacuations, in order: confirmed ones with the pool's records, then requests and withdrawals. */
async function listEvents({requested, confirmed, isListedLate}: Input): Promise<string[]> {
	const events: string[] = [];
	const itemsByPrefix = new Map([
		['fleet/vacate/desk/', requested.map(endpointId => ({
			key: `fleet/vacate/desk/${endpointId}`,
			value: JSON.stringify({
				requestId: '4-1', pool: 'desk', endpointId, machine: 'm', purpose: 'move', dueAt: 0,
			}),
			revision: 1,
		}))],
		['fleet/vacated/desk/', confirmed.map(endpointId => ({key: `fleet/vacated/desk/${endpointId}`, value: JSON.stringify({requestId: '4-1'}), revision: 2}))],
	]);
	const store = {
		async listItems(prefix: string) {
			await delay(prefix === 'fleet/vacate/desk/' && isListedLate ? 60 : 0);
			return {items: itemsByPrefix.get(prefix) ?? [], revision: 3};
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
		name: 'the request still stands', requested: ['a'], confirmed: ['a'], isListedLate: false, expected: ['loaded with a', 'requested a'],
	},
	{
		name: 'the request is gone when the requests are listed first', requested: [], confirmed: ['a'], isListedLate: false, expected: ['loaded with a', 'withdrawn a'],
	},
	{
		name: 'the request is gone when the requests are listed later', requested: ['b'], confirmed: ['a'], isListedLate: true, expected: ['loaded with a', 'requested b', 'withdrawn a'],
	},
];

describe('followPool', () => {
	it.each(cases)('reads evacuations: $name', async ({expected, ...input}) => {
		expect(await listEvents(input)).toEqual(expected);
	});
});
