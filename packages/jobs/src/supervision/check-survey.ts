import {passEvent} from '@pistachiogauge/chain';
import {type DirectoryView} from '../directory/index.js';
import {emitLog, type JobOutput} from '../filter.js';
import {type SupervisedPool, type SupervisionState} from './supervision-state.js';

type State = {readonly supervision: SupervisionState} & DirectoryView;

/**
Ends the survey of a pool once every endpoint on the previous owner's roster has reported its runs and all its ends, or cannot run anything any more. Endpoints that joined later are not waited for: the previous owner starts no task on an endpoint that is not on its roster.

@internal
*/
export function checkSurvey({supervision, directory}: State, pool: SupervisedPool, now: number): JobOutput[] {
	if (pool.surveyedAt !== undefined || directory.listedAt === undefined) {
		return [];
	}

	for (const id of pool.unsurveyedIds) {
		const endpoint = supervision.endpoints.get(id);
		const isGone = pool.evacuatedIds.has(id) && (endpoint?.hasFailedPoll === true || endpoint?.isListed === false);
		if (endpoint === undefined || isGone || endpoint.phase === 'expired' || (endpoint.phase === 'answering' && endpoint.areEndsComplete)) {
			pool.unsurveyedIds.delete(id);
		}
	}

	if (pool.unsurveyedIds.size > 0) {
		return [];
	}

	pool.surveyedAt = now;
	return [
		emitLog('info', 'all runs in pool accounted for after takeover', {
			pool: pool.pool, token: pool.token, waitedMs: Math.round(now - pool.acquiredAt), unreachable: listExpiredEndpoints(supervision, pool.pool),
		}),
		passEvent({kind: 'pool-surveyed', pool: pool.pool}),
	];
}

/** Lists the endpoints of a pool that have not answered until their leases expired. */
function listExpiredEndpoints(supervision: SupervisionState, pool: string): string[] {
	return [...supervision.endpoints.values()].filter(endpoint => endpoint.pool === pool && endpoint.phase === 'expired').map(({id}) => id);
}
