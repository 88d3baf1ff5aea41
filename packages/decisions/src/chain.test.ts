import {describe, expect, it} from 'vitest';
import {type EntryEvent} from '@pistachiogauge/model';
import {
	emitEffect, passEvent, restartEvent, runChain, type Filter,
} from './chain.js';
import {createRandomSource} from './context.js';
import {type EntryState} from './entry-state.js';

const context = {now: 0, wallTime: 0, random: createRandomSource(1)};
const state = {} as unknown as EntryState;
const tick: EntryEvent = {kind: 'tick'};
const storeLost: EntryEvent = {kind: 'store-lost'};
const countEffect = (metric: string) => emitEffect({kind: 'count', metric, by: 1});

const passing: Filter = {name: 'passing', handlers: {tick: () => [passEvent(storeLost)]}};
const restarting: Filter = {name: 'restarting', handlers: {tick: () => [restartEvent(storeLost)]}};
const throwing: Filter = {
	name: 'throwing',
	handlers: {
		tick() {
			throw new Error('broken');
		},
	},
};
const counting: Filter = {
	name: 'counting',
	handlers: {tick: () => [countEffect('tick')], 'store-lost': () => [countEffect('store-lost')]},
};

const cases = [
	{name: 'every filter sees the input', filters: [counting, counting], expected: ['tick', 'tick']},
	{name: 'a passed event reaches later filters only', filters: [counting, passing, counting], expected: ['tick', 'tick', 'store-lost']},
	{name: 'a restarted event reaches all filters', filters: [counting, restarting], expected: ['tick', 'store-lost']},
	// Guards against a throwing handler ending the process or hiding the event from the other filters.
	{name: 'a throwing handler does not affect other filters', filters: [throwing, counting], expected: ['throwing:tick', 'tick']},
];

describe('runChain', () => {
	it.each(cases)('$name', ({filters, expected}) => {
		const effects = runChain(filters, state, tick, context);
		const seen = effects.map(effect => {
			if (effect.kind === 'handler-failed') {
				return `${effect.filter}:${effect.eventKind}`;
			}

			return effect.kind === 'count' ? effect.metric : effect.kind;
		});
		expect(seen).toEqual(expected);
	});
});
