import {chooseItem, getRandomBetween} from '../virtual/simulation.js';
import {chooseEntry, type Fault} from './fault.js';

const recentRequestCount = 60;
const floodRequestCount = 150;

export const callerFaults: readonly Fault[] = [
	{
		name: 'caller-repeat',
		rate: 120,
		minDurationMs: 0,
		maxDurationMs: 0,
		start(cluster) {
			const recent = cluster.callers.requests.slice(-recentRequestCount).filter(sent => !sent.options.isIdempotent);
			const entry = chooseEntry(cluster);
			if (recent.length > 0 && entry !== undefined) {
				const sent = chooseItem(cluster.simulation.random, recent);
				const bodyText = Buffer.from(sent.request.body).toString();
				const isBodyChanged = cluster.simulation.random.getFraction() < 0.02;
				cluster.callers.send(entry, {...sent.options, key: sent.request.key, body: isBodyChanged ? `${bodyText}, changed` : bodyText});
			}

			return undefined;
		},
	},
	{
		name: 'caller-hang-up',
		rate: 40,
		minDurationMs: 0,
		maxDurationMs: 0,
		start(cluster) {
			const recent = cluster.callers.requests.slice(-recentRequestCount).filter(sent => sent.result === undefined);
			if (recent.length > 0) {
				cluster.callers.hangUp(chooseItem(cluster.simulation.random, recent));
			}

			return undefined;
		},
	},
	{
		name: 'flood',
		rate: 0.5,
		minDurationMs: 0,
		maxDurationMs: 0,
		start(cluster) {
			const {simulation, callers} = cluster;
			const service = chooseItem(simulation.random, simulation.bundles.serviceNames);
			for (let index = 0; index < floodRequestCount; index++) {
				simulation.queue.add(getRandomBetween(simulation.random, 0, 1000), () => {
					const entry = chooseEntry(cluster);
					if (entry !== undefined) {
						callers.send(entry, {
							service, requestClass: 'deferrable', isIdempotent: index % 2 === 0, deadlineMs: 3000, team: 'sync',
						});
					}
				});
			}

			return undefined;
		},
	},
];
