import {allChecks, createMonitor, type Check} from '../checks/index.js';
import {createVirtualCluster, type VirtualCluster} from '../virtual/virtual-cluster.js';
import {type Command, type Mismatch, type ScenarioRun} from './command.js';

const startLimitMs = 15_000;
const startPollMs = 50;
const bundleRetryMs = 1000;

/** Commands that describe the cluster, and the one that starts it. */
export const setupCommands: readonly Command[] = [
	{
		name: 'seed',
		phase: 'setup',
		words: {number: {kind: 'count'}},
		options: {},
		run({plan}, values) {
			plan.seed = values.getNumber('number');
			return undefined;
		},
	},
	{
		name: 'entries',
		phase: 'setup',
		words: {number: {kind: 'count'}},
		options: {zones: {kind: 'count', isOptional: true}},
		declare(values, declarations) {
			declarations.entryCount = values.getNumber('number');
		},
		run({plan}, values) {
			plan.entryCount = values.getNumber('number');
			plan.zones = Array.from({length: values.getNumber('zones', 3)}, (_, index) => `zone-${index + 1}`);
			return undefined;
		},
	},
	{
		name: 'pool',
		phase: 'setup',
		words: {name: {kind: 'new-pool'}},
		options: {instances: {kind: 'count'}, budget: {kind: 'count'}, spare: {kind: 'choice', choices: ['yes', 'no'], isOptional: true}},
		declare(values, declarations) {
			for (let index = 1; index <= values.getNumber('instances'); index++) {
				declarations.instances.add(`${values.getText('name')}-${index}`);
			}
		},
		run({plan}, values) {
			plan.pools = [...plan.pools, {
				name: values.getText('name'), instanceCount: values.getNumber('instances'), budget: values.getNumber('budget'), isSpare: values.getText('spare') === 'yes',
			}];
			return undefined;
		},
	},
	{
		name: 'service',
		phase: 'setup',
		words: {name: {kind: 'new-service'}},
		options: {pool: {kind: 'pool'}, 'queue-limit': {kind: 'count', isOptional: true}},
		run({plan}, values) {
			plan.services = [...plan.services, {
				name: values.getText('name'), pool: values.getText('pool'), queueLimit: values.getNumber('queue-limit', 100),
			}];
			return undefined;
		},
	},
	{
		name: 'start',
		phase: 'setup',
		words: {},
		options: {},
		run(scenario) {
			scenario.cluster = createVirtualCluster(scenario.plan, callers => createMonitor([...allChecks, createRecorder(scenario)], callers));
			return startCluster(scenario.cluster);
		},
	},
];

/** Keeps what expectations look at. */
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

/** Applies the first bundle and runs until every entry is ready and every pool has an owner that may send. */
function startCluster(cluster: VirtualCluster): Mismatch | undefined {
	const {simulation} = cluster;
	for (let waitedMs = 0; waitedMs < startLimitMs; waitedMs += startPollMs) {
		const entries = [...simulation.entries.values()];
		if (waitedMs % bundleRetryMs === 0 && waitedMs > 0 && entries.some(entry => entry.state.bundle.current === undefined)) {
			const bundle = simulation.bundles.createBundle(1, 'ayse');
			cluster.callOperator(entries[0]!, {command: 'bundle-apply', bundle, nonce: `start-${waitedMs}`});
		}

		const served = new Set(entries.flatMap(entry => [...entry.state.fleet.owned].filter(([, owned]) => owned.isFenced).map(([pool]) => pool)));
		if (entries.every(entry => entry.isReady) && simulation.bundles.poolNames.every(pool => served.has(pool))) {
			return undefined;
		}

		cluster.run(startPollMs);
	}

	return {expected: `every entry ready and every pool owned within ${startLimitMs} ms`, seen: `${[...simulation.entries.values()].filter(entry => entry.isReady).length} entries ready`};
}
