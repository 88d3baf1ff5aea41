import {chooseItem, getBetween} from '../virtual/world.js';
import {chooseEntry, type Fault} from './fault.js';

const recentRequests = 60;
const floodSize = 150;

export const callerFaults: readonly Fault[] = [
	{
		name: 'caller-repeat',
		rate: 120,
		minMs: 0,
		maxMs: 0,
		start(cluster) {
			const recent = cluster.callers.requests.slice(-recentRequests).filter(sent => !sent.options.isIdempotent);
			const entry = chooseEntry(cluster);
			if (recent.length > 0 && entry !== undefined) {
				const sent = chooseItem(cluster.simulation.random, recent);
				const decoded = Buffer.from(sent.request.body).toString();
				const isOther = cluster.simulation.random.getFraction() < 0.02;
				cluster.callers.send(entry, {...sent.options, key: sent.request.key, body: isOther ? `${decoded}, changed` : decoded});
			}

			return undefined;
		},
	},
	{
		name: 'caller-hang-up',
		rate: 40,
		minMs: 0,
		maxMs: 0,
		start(cluster) {
			const recent = cluster.callers.requests.slice(-recentRequests).filter(sent => sent.result === undefined);
			if (recent.length > 0) {
				cluster.callers.hangUp(chooseItem(cluster.simulation.random, recent));
			}

			return undefined;
		},
	},
	{
		name: 'flood',
		rate: 0.5,
		minMs: 0,
		maxMs: 0,
		start(cluster) {
			const {simulation: world, callers} = cluster;
			const service = chooseItem(world.random, world.bundles.serviceNames);
			for (let index = 0; index < floodSize; index++) {
				world.queue.add(getBetween(world.random, 0, 1000), () => {
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
