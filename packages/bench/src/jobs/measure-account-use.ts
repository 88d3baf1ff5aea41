import {addResources, noResources, type Resources} from '@pistachiogauge/jobs';
import {type JobsSimulation} from './jobs-simulation.js';

/** Measures what the tasks of each account occupy on all endpoints that are up, reachable or not. */
export function measureAccountUse({endpoints, getJobAccount}: Pick<JobsSimulation, 'endpoints' | 'getJobAccount'>): Map<string, Resources> {
	const uses = new Map<string, Resources>();
	for (const endpoint of endpoints.values()) {
		for (const {taskId, resources} of endpoint.isUp ? endpoint.runs.values() : []) {
			const account = getJobAccount(taskId.split('.', 1)[0]!);
			if (account !== undefined) {
				uses.set(account, addResources(uses.get(account) ?? noResources, resources));
			}
		}
	}

	return uses;
}
