import {describe, expect, it} from 'vitest';
import {type Effect} from '@pistachiogauge/model';
import {createPipeline, type SinkTable} from './pipeline.js';

type TestEvent = 'count' | 'throw-in-decisions' | 'throw-in-sink' | 'push-from-sink';

const effectsByEvent: Readonly<Record<TestEvent, () => readonly Effect[]>> = {
	count: () => [{kind: 'count', metric: 'counted', by: 1}],
	'throw-in-decisions'() {
		throw new Error('broken decision');
	},
	'throw-in-sink': () => [{kind: 'set-readiness', isReady: true}],
	'push-from-sink': () => [{kind: 'set-readiness', isReady: false}, {kind: 'count', metric: 'first', by: 1}],
};

// Guards against an exception in one stage ending the event stream of the whole process.
const cases: Array<{name: string; events: TestEvent[]; expected: string[]}> = [
	{name: 'effects reach their sink', events: ['count'], expected: ['counted']},
	{name: 'the stream continues after an exception in the decisions', events: ['throw-in-decisions', 'count'], expected: ['failed decisions', 'counted']},
	{name: 'the stream continues after an exception in a sink', events: ['throw-in-sink', 'count'], expected: ['failed set-readiness', 'counted']},
	{name: 'an event pushed from a sink is handled after the current one', events: ['push-from-sink'], expected: ['first', 'counted']},
];

describe('createPipeline', () => {
	it.each(cases)('$name', ({events, expected}) => {
		const seen: string[] = [];
		const sinks = {
			count({metric}) {
				seen.push(metric);
			},
			'set-readiness'({isReady}) {
				if (isReady) {
					throw new Error('broken sink');
				}

				pipeline.pushEvent('count');
			},
		} satisfies Partial<SinkTable<Effect>>;
		const pipeline = createPipeline<TestEvent, Effect>({
			applyEvent: event => effectsByEvent[event](),
			sinks: sinks as unknown as SinkTable<Effect>,
			reportFailure(stage) {
				seen.push(`failed ${stage}`);
			},
		});
		for (const event of events) {
			pipeline.pushEvent(event);
		}

		expect(seen).toEqual(expected);
	});
});
