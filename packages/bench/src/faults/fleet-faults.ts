import {chooseItem, getRandomBetween, type EndpointMode} from '../virtual/simulation.js';
import {type VirtualCluster} from '../virtual/virtual-cluster.js';
import {chooseInstanceId, type Fault} from './fault.js';
import {setCondition} from './store-faults.js';

function createEndpointModeFault(name: string, mode: EndpointMode, rate: number): Fault {
	return {
		name,
		rate,
		minDurationMs: 200,
		maxDurationMs: 8000,
		start(cluster) {
			const instanceId = chooseInstanceId(cluster);
			cluster.simulation.fleet.setMode(instanceId, mode);
			return () => {
				cluster.simulation.fleet.setMode(instanceId, 'normal');
			};
		},
	};
}

function stopRack(cluster: VirtualCluster): () => void {
	const {fleet, random} = cluster.simulation;
	const {rack} = chooseItem(random, [...fleet.endpoints.values()]).instance;
	const rackEndpoints = [...fleet.endpoints.values()].filter(endpoint => endpoint.instance.rack === rack);
	const isListed = random.getFraction() < 0.5;
	for (const {instance} of rackEndpoints) {
		fleet.setMode(instance.id, 'down');
		fleet.setListed(instance.id, isListed);
	}

	return () => {
		for (const {instance} of rackEndpoints) {
			fleet.setListed(instance.id, true);
			fleet.setMode(instance.id, 'normal');
		}
	};
}

export const fleetFaults: readonly Fault[] = [
	createEndpointModeFault('endpoint-fail', 'fail', 2),
	createEndpointModeFault('endpoint-freeze', 'freeze', 2),
	createEndpointModeFault('endpoint-cut', 'cut', 2),
	createEndpointModeFault('endpoint-truncate', 'truncate', 2),
	createEndpointModeFault('endpoint-down', 'down', 2),
	{
		name: 'rack-loss', rate: 0.5, minDurationMs: 1000, maxDurationMs: 12_000, start: stopRack,
	},
	{
		name: 'instance-leaving',
		rate: 1,
		minDurationMs: 1000,
		maxDurationMs: 10_000,
		start(cluster) {
			const instanceId = chooseInstanceId(cluster);
			cluster.simulation.fleet.setLeaving(instanceId, true);
			return () => {
				cluster.simulation.fleet.setLeaving(instanceId, false);
			};
		},
	},
	{
		name: 'instance-unlisted',
		rate: 1,
		minDurationMs: 1000,
		maxDurationMs: 10_000,
		start(cluster) {
			const instanceId = chooseInstanceId(cluster);
			cluster.simulation.fleet.setListed(instanceId, false);
			return () => {
				cluster.simulation.fleet.setListed(instanceId, true);
			};
		},
	},
	{
		name: 'list-lag',
		rate: 1,
		minDurationMs: 1000,
		maxDurationMs: 8000,
		start: cluster => setCondition(cluster, 'listLagMs', getRandomBetween(cluster.simulation.random, 500, 5000)),
	},
	{
		name: 'list-down', rate: 1, minDurationMs: 1000, maxDurationMs: 8000, start: cluster => setCondition(cluster, 'isListDown', true),
	},
];
