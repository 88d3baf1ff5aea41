import {describe, expect, it} from 'vitest';
import {createMetrics, type Metrics} from './metrics.js';

type FormatCase = {
	readonly name: string;
	readonly record: (metrics: Metrics) => void;
	readonly lines: readonly string[];
};

// Guards against output that Prometheus rejects: a duplicate type line, or series of the same name that are not adjacent.
const cases: readonly FormatCase[] = [
	{
		name: 'a counter',
		record(metrics) {
			metrics.addCount('calls_total');
			metrics.addCount('calls_total', 2);
		},
		lines: ['# TYPE pistachiogauge_calls_total counter', 'pistachiogauge_calls_total 3'],
	},
	{
		name: 'several series of the same name',
		record(metrics) {
			metrics.addCount('sent_total{kind="a"}');
			metrics.addCount('other_total');
			metrics.addCount('sent_total{kind="b"}');
		},
		lines: [
			'# TYPE pistachiogauge_sent_total counter',
			'pistachiogauge_sent_total{kind="a"} 1',
			'pistachiogauge_sent_total{kind="b"} 1',
			'# TYPE pistachiogauge_other_total counter',
			'pistachiogauge_other_total 1',
		],
	},
	{
		name: 'a summary with labels',
		record(metrics) {
			metrics.recordValue('duration_ms{class="urgent"}', 5);
		},
		lines: [
			'# TYPE pistachiogauge_duration_ms summary',
			...['0.5', '0.9', '0.99', '0.999'].map(quantile => `pistachiogauge_duration_ms{class="urgent",quantile="${quantile}"} 5`),
			'pistachiogauge_duration_ms_sum{class="urgent"} 5',
			'pistachiogauge_duration_ms_count{class="urgent"} 1',
		],
	},
];

describe('formatMetrics', () => {
	it.each(cases)('$name', ({record, lines}) => {
		const metrics = createMetrics();
		record(metrics);
		expect(metrics.formatMetrics().trimEnd().split('\n')).toEqual(lines);
	});
});
