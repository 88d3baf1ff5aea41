import {createServer} from 'node:http';
import {listen} from '@pistachiogauge/http';

const metricsPath = '/metrics';

/** Serves the metrics page. @returns The function that stops the server. @internal */
export async function serveMetrics(address: string, formatMetrics: () => string): Promise<() => void> {
	const server = createServer((request, response) => {
		const isKnown = request.url === metricsPath;
		response.writeHead(isKnown ? 200 : 404, {'content-type': 'text/plain; version=0.0.4'});
		response.end(isKnown ? formatMetrics() : '');
	});
	await listen(server, address);
	return () => {
		server.closeAllConnections();
		server.close();
	};
}
