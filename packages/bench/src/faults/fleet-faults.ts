import {chooseItem, getBetween, type EndpointMode} from '../virtual/world.js';
import {type VirtualCluster} from '../virtual/virtual-cluster.js';
import {chooseInstance, type Fault} from './fault.js';
import {setCondition} from './store-faults.js';

function createModeFault(name: string, mode: EndpointMode, rate: number): Fault {
	return {
		name,
		rate,
		minMs: 200,
		maxMs: 8000,
		start(cluster) {
			const instanceId = chooseInstance(cluster);
			cluster.simulation.fleet.setMode(instanceId, mode);
			return () => {
				cluster.simulation.fleet.setMode(instanceId, 'normal');
			};
		},
	};
}

function loseRack(cluster: VirtualCluster): () => void {
	const {fleet, random} = cluster.simulation;
	const {rack} = chooseItem(random, [...fleet.endpoints.values()]).instance;
	const lost = [...fleet.endpoints.values()].filter(endpoint => endpoint.instance.rack === rack);
	const isListed = random.getFraction() < 0.5;
	for (const {instance: listed} of lost) {
		fleet.setMode(listed.id, 'down');
		fleet.setListed(listed.id, isListed);
	}

	return () => {
		for (const {instance: listed} of lost) {
			fleet.setListed(listed.id, true);
			fleet.setMode(listed.id, 'normal');
		}
	};
}

export const fleetFaults: readonly Fault[] = [
	createModeFault('endpoint-fail', 'fail', 2),
	createModeFault('endpoint-freeze', 'freeze', 2),
	createModeFault('endpoint-cut', 'cut', 2),
	createModeFault('endpoint-truncate', 'truncate', 2),
	createModeFault('endpoint-down', 'down', 2),
	{
		name: 'rack-loss', rate: 0.5, minMs: 1000, maxMs: 12_000, start: loseRack,
	},
	{
		name: 'instance-leaving',
		rate: 1,
		minMs: 1000,
		maxMs: 10_000,
		start(cluster) {
			const instanceId = chooseInstance(cluster);
			cluster.simulation.fleet.setLeaving(instanceId, true);
			return () => {
				cluster.simulation.fleet.setLeaving(instanceId, false);
			};
		},
	},
	{
		name: 'instance-unlisted',
		rate: 1,
		minMs: 1000,
		maxMs: 10_000,
		start(cluster) {
			const instanceId = chooseInstance(cluster);
			cluster.simulation.fleet.setListed(instanceId, false);
			return () => {
				cluster.simulation.fleet.setListed(instanceId, true);
			};
		},
	},
	{
		name: 'list-lag',
		rate: 1,
		minMs: 1000,
		maxMs: 8000,
		start: cluster => setCondition(cluster, 'listLagMs', getBetween(cluster.simulation.random, 500, 5000)),
	},
	{
		name: 'list-down', rate: 1, minMs: 1000, maxMs: 8000, start: cluster => setCondition(cluster, 'isListDown', true),
	},
];
