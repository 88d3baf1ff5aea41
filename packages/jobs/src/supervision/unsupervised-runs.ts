import {type PoolLedger} from '../ledger/index.js';
import {parseTaskId} from '../model/index.js';
import {type UnsupervisedRun} from './supervision-state.js';

/** Lists what is known of runs whose tasks are not supervised, as their jobs have ended. Jobs without an account are left out. @internal */
export function listUnsupervisedRuns(pool: Pick<PoolLedger, 'jobs' | 'endedJobs'> | undefined, taskIds: readonly string[]): UnsupervisedRun[] {
	const runs: UnsupervisedRun[] = [];
	for (const taskId of taskIds) {
		const id = parseTaskId(taskId);
		const record = id === undefined ? undefined : pool?.jobs.get(id.jobId)?.record;
		const ended = pool?.endedJobs.get(id?.jobId ?? '');
		const account = record?.account ?? ended?.account;
		if (account !== undefined) {
			runs.push({account, resources: record?.spec.steps[id!.step]?.room ?? ended?.rooms?.[id!.step]});
		}
	}

	return runs;
}
