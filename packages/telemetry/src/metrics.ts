import {build, type Histogram} from 'hdr-histogram-js';

/**
Counters, gauges and summaries of a process.

The name of a metric may include labels, such as `request_duration_ms{class="urgent"}`. Label values must come from fixed sets, so that the number of time series is bounded.

@public
*/
export type Metrics = {
	addCount(metric: string, by?: number): void;
	setGauge(metric: string, value: number): void;
	/** Records a value of a summary, of which the metrics page shows quantiles. */
	recordValue(metric: string, value: number): void;
	/** Formats all metrics in the Prometheus text exposition format. */
	formatMetrics(): string;
};

type MetricType = 'counter' | 'gauge' | 'summary';

const namePrefix = 'pistachiogauge_';
/** Quantile labels and percentiles. The labels are strings because 99.9 / 100 is not exactly 0.999 in floating-point arithmetic. */
const quantiles = [['0.5', 50], ['0.9', 90], ['0.99', 99], ['0.999', 99.9]] as const;

/** Creates an empty metrics registry. @public */
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
			let histogram = histograms.get(metric);
			if (histogram === undefined) {
				histogram = build({numberOfSignificantValueDigits: 2});
				histograms.set(metric, histogram);
			}

			histogram.recordValue(Math.max(0, Math.round(value)));
		},
		formatMetrics() {
			return [
				...formatFamilies(counters, 'counter', formatSample),
				...formatFamilies(gauges, 'gauge', formatSample),
				...formatFamilies(histograms, 'summary', formatSummary),
			].join('');
		},
	};
}

/** Formats the metrics of one type. All series of the same name are grouped under one type line, as the format requires. */
function formatFamilies<Value>(values: ReadonlyMap<string, Value>, type: MetricType, format: (name: string, labels: string, value: Value) => string): string[] {
	const families = new Map<string, string[]>();
	for (const [metric, value] of values) {
		const [name = '', labels = ''] = metric.replace(/\}$/u, '').split('{', 2);
		const lines = families.get(name) ?? [`# TYPE ${namePrefix}${name} ${type}\n`];
		families.set(name, lines);
		lines.push(format(name, labels, value));
	}

	return [...families.values()].flat();
}

function formatSample(name: string, labels: string, value: number): string {
	return `${namePrefix}${name}${labels === '' ? '' : `{${labels}}`} ${value}\n`;
}

function formatSummary(name: string, labels: string, histogram: Histogram): string {
	const labelPrefix = labels === '' ? '' : `${labels},`;
	return [
		...quantiles.map(([label, percentile]) => formatSample(name, `${labelPrefix}quantile="${label}"`, histogram.getValueAtPercentile(percentile))),
		formatSample(`${name}_sum`, labels, histogram.mean * histogram.totalCount),
		formatSample(`${name}_count`, labels, histogram.totalCount),
	].join('');
}
