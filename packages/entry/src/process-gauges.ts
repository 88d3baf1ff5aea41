import {type EntryState} from '@pistachiogauge/decisions';
import {type Metrics} from '@pistachiogauge/telemetry';

/** Sets the gauges that are read only when the metrics page is requested. @internal */
export function setProcessGauges(metrics: Metrics, state: EntryState): void {
	const {user, system} = process.cpuUsage();
	const {rss, heapUsed} = process.memoryUsage();
	metrics.setGauge('process_cpu_seconds', (user + system) / 1e6);
	metrics.setGauge('process_rss_bytes', rss);
	metrics.setGauge('process_heap_bytes', heapUsed);
	metrics.setGauge('epoch', state.membership.record?.epoch ?? 0);
	metrics.setGauge('bundle_version', state.bundle.current?.version ?? 0);
	metrics.setGauge('links', state.membership.links.size);
	metrics.setGauge('requests_open', state.routing.requests.size);
	metrics.setGauge('attempts_running', state.dispatch.attempts.size);
}
