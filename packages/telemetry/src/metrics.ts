import {build, type Histogram} from 'hdr-histogram-js';

/** Counters, gauges and quantiles of a process. @public */
export type Metrics = {
	addCount(metric: string, by?: number): void;
	setGauge(metric: string, value: number): void;
	/** Records a value; quantiles are given on the metrics page. */
	recordValue(metric: string, value: number): void;
	/** The metrics in the Prometheus text exposition format. */
	formatMetrics(): string;
};

const prefix = 'pistachiogauge_';
const quantiles = [50, 90, 99, 99.9] as const;

/** Creates an empty set of metrics. @public */
export function createMetrics(): Metrics {
	const counters = new Map<string, number>();
	const gauges = new Map<string, number>();
	const histograms = new Map<string, Histogram>();
	return {
		addCount(metric, by = 1) {
			counters.set(metric, (counters.get(metric) ?? 0) + by);
		},
		setGauge(metric, value) {
			gauges.set(metric, value);
		},
		recordValue(metric, value) {
			const histogram = histograms.get(metric) ?? build({numberOfSignificantValueDigits: 2});
			histograms.set(metric, histogram);
			histogram.recordValue(Math.max(0, Math.round(value)));
		},
		formatMetrics() {
			return [
				...formatSimple(counters, 'counter'),
				...formatSimple(gauges, 'gauge'),
				...[...histograms].flatMap(([metric, histogram]) => formatSummary(metric, histogram)),
			].join('');
		},
	};
}

function formatSimple(values: ReadonlyMap<string, number>, type: 'counter' | 'gauge'): string[] {
	return [...values].map(([metric, value]) => `# TYPE ${prefix}${metric} ${type}\n${prefix}${metric} ${value}\n`);
}

function formatSummary(metric: string, histogram: Histogram): string[] {
	return [
		`# TYPE ${prefix}${metric} summary\n`,
		...quantiles.map(quantile => `${prefix}${metric}{quantile="${quantile / 100}"} ${histogram.getValueAtPercentile(quantile)}\n`),
		`${prefix}${metric}_sum ${histogram.mean * histogram.totalCount}\n`,
		`${prefix}${metric}_count ${histogram.totalCount}\n`,
	];
}
