import {applyEvent, type EntryState} from '@pistachiogauge/decisions';
import {storeKeys, type Effect, type EffectOf} from '@pistachiogauge/model';
import {describe, expect, test} from 'vitest';
import {createVirtualCluster, type VirtualCluster} from '../virtual/virtual-cluster.js';
import {type Decide} from '../virtual/simulation.js';
import {allChecks, createMonitor} from './index.js';

type InjectedFault = {
	readonly title: string;
	readonly invariant: string;
	readonly message: RegExp;
	/** Changes the effects that an entry's decisions return. */
	readonly changeEffects: (effects: Effect[], state: EntryState, now: number) => Effect[];
};

const encoder = new TextEncoder();
const permit = {
	reason: 'operator-drain', stage: 'draining', since: 0, by: 'test',
} as const;
const deskAddress = '10.1.0.1:80';

function isSend(effect: Effect): effect is EffectOf<'send-endpoint'> {
	return effect.kind === 'send-endpoint';
}

function mapSends(effects: readonly Effect[], change: (effect: EffectOf<'send-endpoint'>) => Effect[]): Effect[] {
	return effects.flatMap(effect => isSend(effect) ? change(effect) : [effect]);
}

function mapAnswers(effects: readonly Effect[], change: (effect: EffectOf<'answer-caller'>) => Effect[]): Effect[] {
	return effects.flatMap(effect => effect.kind === 'answer-caller' ? change(effect) : [effect]);
}

function addPermits(effects: readonly Effect[], instances: readonly string[]): Effect[] {
	return effects.map(effect => {
		if (effect.kind !== 'write-store' || effect.key !== `${storeKeys.poolsPrefix}desk`) {
			return effect;
		}

		const record = JSON.parse(effect.value) as Record<string, unknown>;
		return {...effect, value: JSON.stringify({...record, permits: Object.fromEntries(instances.map(id => [id, permit]))})};
	});
}

/** Sends of all entries, from which the tests take a send to repeat. */
const recordedSends: Array<EffectOf<'send-endpoint'>> = [];

/** Entries whose effects were changed already. Each entry repeats a send only once, because the answer to the copy is another event that would be changed again. */
const faultyEntryIds = new Set<string>();

function markFirstUse(state: EntryState): boolean {
	const isFirst = !faultyEntryIds.has(state.config.id);
	faultyEntryIds.add(state.config.id);
	return isFirst;
}

const injectedFaults: readonly InjectedFault[] = [
	{
		title: 'a pool record with more permits than the budget',
		invariant: 'budget',
		message: /budget of 1/u,
		changeEffects: effects => addPermits(effects, ['desk-1', 'desk-2']),
	},
	{
		title: 'a reboot without a permit',
		invariant: 'budget',
		message: /without a permit/u,
		changeEffects: effects => mapSends(effects, effect => [effect, {kind: 'reboot-instance', instanceId: 'desk-1'}]),
	},
	{
		title: 'a request to an instance of another pool',
		invariant: 'one-pool',
		message: /recorded in admin/u,
		changeEffects: effects => mapSends(effects, effect => [{...effect, address: '10.1.0.5:80'}]),
	},
	{
		title: 'the answer to another request',
		invariant: 'own-answer',
		message: /another request/u,
		changeEffects: effects => mapAnswers(effects, effect => [{...effect, result: {...effect.result, body: encoder.encode('done job-0')}}]),
	},
	{
		title: 'a truncated answer',
		invariant: 'own-answer',
		message: /a part of its own/u,
		changeEffects: effects => mapAnswers(effects, effect => [{...effect, result: {...effect.result, body: effect.result.body.subarray(1)}}]),
	},
	{
		title: 'two answers to one request',
		invariant: 'own-answer',
		message: /answered twice/u,
		changeEffects: effects => mapAnswers(effects, effect => [effect, effect]),
	},
	{
		title: 'no answer',
		invariant: 'own-answer',
		message: /has no answer/u,
		changeEffects: effects => mapAnswers(effects, () => []),
	},
	{
		title: 'a request that ran and is answered as not run',
		invariant: 'not-run-is-true',
		message: /after it had run/u,
		changeEffects: effects => mapAnswers(effects, effect => [{...effect, result: {...effect.result, outcome: 'not-run'}}]),
	},
	{
		title: 'a request that runs after it was answered as not run',
		invariant: 'not-run-is-true',
		message: /and then ran/u,
		changeEffects: effects => mapSends(effects, effect => [
			{
				kind: 'answer-caller', requestId: effect.request.requestId, result: {
					outcome: 'not-run', status: 503, headers: [], body: new Uint8Array(),
				},
			},
			effect,
		]),
	},
	{
		title: 'a second attempt of a non-idempotent request',
		invariant: 'at-most-once',
		message: /ran as/u,
		changeEffects: effects => mapSends(effects, effect => [effect, {...effect, attemptId: `${effect.attemptId} again`}]),
	},
	{
		title: 'a request to a drained instance',
		invariant: 'drained-gets-nothing',
		message: /after its drain was recorded/u,
		changeEffects: effects => mapSends(addPermits(effects, ['desk-1']), effect => [{...effect, address: deskAddress}]),
	},
	{
		title: 'a reboot while requests run',
		invariant: 'graceful-stop',
		message: /while it ran/u,
		changeEffects(effects, state, now) {
			const isRunning = [...state.dispatch.attempts.values()].some(({instanceId, startedAt}) => instanceId === 'desk-1' && now - startedAt > 10);
			return isRunning && markFirstUse(state) ? [...effects, {kind: 'reboot-instance', instanceId: 'desk-1'}] : effects;
		},
	},
	{
		title: 'an entry that stops before it has answered',
		invariant: 'graceful-stop',
		message: /stopped before it answered/u,
		changeEffects: (effects, state) => state.routing.requests.size > 0 ? [...effects, {kind: 'stop-process', exitCode: 0}] : effects,
	},
	{
		title: 'an entry that returns to a lower bundle version',
		invariant: 'bundle-forward',
		message: /back to 1/u,
		changeEffects(effects, state, now) {
			if (state.bundle.current?.version === 2 && now - state.bundle.appliedAt > 500 && markFirstUse(state)) {
				state.bundle.current = {...state.bundle.current, version: 1};
			}

			return effects;
		},
	},
	{
		title: 'an entry that keeps its old bundle',
		invariant: 'bundle-forward',
		message: /still has version/u,
		changeEffects(effects, state) {
			if (state.config.id === 'e1.1' && state.bundle.current?.version === 2) {
				state.bundle.current = {...state.bundle.current, version: 1};
			}

			return effects;
		},
	},
	{
		title: 'a second entry that sends for a pool',
		invariant: 'one-owner',
		message: /sent r\d+ for desk after/u,
		changeEffects(effects, state, now) {
			recordedSends.push(...effects.filter(effect => isSend(effect)));
			const other = recordedSends.find(({attemptId}) => !attemptId.startsWith(state.config.id));
			return other === undefined || !markFirstUse(state) ? effects : [...effects, {...other, attemptId: `${state.config.id}:copy`, notAfter: now + 500}];
		},
	},
	{
		title: 'too many connections to one endpoint',
		invariant: 'connections',
		message: /connections to desk-1/u,
		changeEffects(effects, state, now) {
			const [request] = recordedSends;
			recordedSends.push(...effects.filter(effect => isSend(effect)));
			return request === undefined || !markFirstUse(state)
				? effects
				: [...effects, ...Array.from({length: 16}, (_, index) => ({
					...request, attemptId: `${now}:${index}`, address: deskAddress, notAfter: now + 500,
				}))];
		},
	},
];

function createCluster(invariant: string, decide: Decide): VirtualCluster {
	const checks = allChecks.filter(check => check.name === invariant);
	return createVirtualCluster({
		seed: 5,
		zones: ['a', 'b', 'c'],
		entryCount: 5,
		pools: [
			{
				name: 'desk', instanceCount: 4, budget: 1, isSpare: false,
			},
			{
				name: 'admin', instanceCount: 2, budget: 1, isSpare: true,
			},
		],
		services: [{name: 'badges', pool: 'desk', queueLimit: 50}],
		decide,
	}, callers => createMonitor(checks, callers));
}

/** Applies two bundles and sends requests to every entry in turn. */
function runCluster(cluster: VirtualCluster): void {
	cluster.run(1200);
	for (const version of [1, 2]) {
		const bundle = cluster.simulation.bundles.createBundle(version, 'ayse');
		cluster.callOperator(cluster.findEntry('e2')!, {command: 'bundle-apply', bundle, nonce: `n${version}`});
		cluster.run(4000);
	}

	for (let index = 0; index < 300 && cluster.simulation.violation === undefined; index++) {
		const entry = cluster.findEntry(`e${1 + (index % 5)}`);
		if (entry !== undefined) {
			cluster.callers.send(entry, {
				service: 'badges', requestClass: 'normal', isIdempotent: false, deadlineMs: 2000,
			});
		}

		cluster.run(30);
	}
}

describe('checks over all entries', () => {
	test.each(injectedFaults)('$invariant catches $title', ({invariant, message, changeEffects}) => {
		recordedSends.length = 0;
		faultyEntryIds.clear();
		const cluster = createCluster(invariant, (state, event, context) => changeEffects(applyEvent(state, event, context), state, context.now));
		runCluster(cluster);
		expect(cluster.simulation.violation).toMatchObject({invariant, message: expect.stringMatching(message) as unknown});
	});

	// A check that reports a violation in a correct system would hide the faults that it has to find.
	test.each(allChecks)('$name holds without a fault', ({name}) => {
		const cluster = createCluster(name, applyEvent);
		runCluster(cluster);
		expect(cluster.simulation.violation).toBeUndefined();
		expect(cluster.callers.requests.filter(({result}) => result?.outcome === 'completed').length).toBeGreaterThan(250);
	});

	// The permission to send must still be valid when the first byte is written, not only when the decision is made.
	test('an attempt whose permission has expired is dropped as not sent', () => {
		const cluster = createCluster('at-most-once', (state, event, context) => mapSends(applyEvent(state, event, context), effect => [{...effect, notAfter: context.now}]));
		runCluster(cluster);
		expect(cluster.simulation.counts.get('sends_dropped')).toBeGreaterThan(0);
		expect([...cluster.simulation.fleet.endpoints.values()].every(({connections}) => [...connections.values()].every(({open}) => open <= 16))).toBe(true);
		expect(cluster.callers.requests.some(({result}) => result?.outcome === 'completed')).toBe(false);
	});
});
