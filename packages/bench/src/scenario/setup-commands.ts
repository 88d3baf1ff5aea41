import {allChecks, createMonitor, type Check} from '../checks/index.js';
import {createVirtualCluster, type VirtualCluster} from '../virtual/virtual-cluster.js';
import {type ScenarioCommand, type Mismatch, type ScenarioRun} from './command.js';

const startTimeoutMs = 15_000;
const startPollIntervalMs = 50;
const bundleRetryIntervalMs = 1000;

/** Commands that describe the cluster, and `start`, which starts it. */
export const setupCommands: readonly ScenarioCommand[] = [
	{
		name: 'seed',
		phase: 'setup',
		positionals: {number: {kind: 'count'}},
		options: {},
		run({clusterOptions}, values) {
			clusterOptions.seed = values.getNumber('number');
			return undefined;
		},
	},
	{
		name: 'entries',
		phase: 'setup',
		positionals: {number: {kind: 'count'}},
		options: {zones: {kind: 'count', isOptional: true}},
		declare(values, declarations) {
			declarations.entryCount = values.getNumber('number');
		},
		run({clusterOptions}, values) {
			clusterOptions.entryCount = values.getNumber('number');
			clusterOptions.zones = Array.from({length: values.getNumber('zones', 3)}, (_, index) => `zone-${index + 1}`);
			return undefined;
		},
	},
	{
		name: 'pool',
		phase: 'setup',
		positionals: {name: {kind: 'new-pool'}},
		options: {instances: {kind: 'count'}, budget: {kind: 'count'}, spare: {kind: 'choice', choices: ['yes', 'no'], isOptional: true}},
		declare(values, declarations) {
			for (let index = 1; index <= values.getNumber('instances'); index++) {
				declarations.instances.add(`${values.getText('name')}-${index}`);
			}
		},
		run({clusterOptions}, values) {
			clusterOptions.pools = [...clusterOptions.pools, {
				name: values.getText('name'), instanceCount: values.getNumber('instances'), budget: values.getNumber('budget'), isSpare: values.getText('spare') === 'yes',
			}];
			return undefined;
		},
	},
	{
		name: 'service',
		phase: 'setup',
		positionals: {name: {kind: 'new-service'}},
		options: {pool: {kind: 'pool'}, 'queue-limit': {kind: 'count', isOptional: true}},
		run({clusterOptions}, values) {
			clusterOptions.services = [...clusterOptions.services, {
				name: values.getText('name'), pool: values.getText('pool'), queueLimit: values.getNumber('queue-limit', 100),
			}];
			return undefined;
		},
	},
	{
		name: 'start',
		phase: 'setup',
		positionals: {},
		options: {},
		run(scenario) {
			scenario.cluster = createVirtualCluster(scenario.clusterOptions, callers => createMonitor([...allChecks, createRecorder(scenario)], callers));
			return startCluster(scenario.cluster);
		},
	},
];

/** Records the events that expectations refer to. */
function createRecorder({runs, arrivals, reboots}: ScenarioRun): Check {
	return {
		name: 'recorder',
		createHandlers: () => ({
			'run-started'(simulation, {instanceId, request}) {
				runs.push(request);
				arrivals.push({instanceId, at: simulation.queue.now});
				return undefined;
			},
			'instance-rebooted'(_simulation, {instanceId}) {
				reboots.push(instanceId);
				return undefined;
			},
		}),
	};
}

/** Applies the first bundle and runs until every entry is ready and every pool has a fenced owner, which may send requests. */
function startCluster(cluster: VirtualCluster): Mismatch | undefined {
	const {simulation} = cluster;
	for (let waitedMs = 0; waitedMs < startTimeoutMs; waitedMs += startPollIntervalMs) {
		const entries = [...simulation.entries.values()];
		if (waitedMs % bundleRetryIntervalMs === 0 && waitedMs > 0 && entries.some(entry => entry.state.bundle.current === undefined)) {
			const bundle = simulation.bundles.createBundle(1, 'ayse');
			cluster.callOperator(entries[0]!, {command: 'bundle-apply', bundle, nonce: `start-${waitedMs}`});
		}

		const ownedPools = new Set(entries.flatMap(entry => [...entry.state.fleet.owned].filter(([, owned]) => owned.isFenced).map(([pool]) => pool)));
		if (entries.every(entry => entry.isReady) && simulation.bundles.poolNames.every(pool => ownedPools.has(pool))) {
			return undefined;
		}

		cluster.run(startPollIntervalMs);
	}

	return {expected: `every entry ready and every pool owned within ${startTimeoutMs} ms`, actual: `${[...simulation.entries.values()].filter(entry => entry.isReady).length} entries ready`};
}
