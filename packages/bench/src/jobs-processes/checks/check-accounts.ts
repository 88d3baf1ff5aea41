import {
	findExceededComponent, findHighestCap, formatExcess, isKeyRevoked, isKeyValid, type KeyedRequest,
} from '../../accounts/index.js';
import {getStepResources} from './account-record.js';
import {listOf, type RunRecord} from './run-record.js';
import {type Violation} from './violation.js';

/** An answer to a request for a queue that needs a key, or to one that does not. */
type Answer = {readonly entry: string; readonly status: number; readonly subject: string; readonly isKeyed: boolean; readonly request: KeyedRequest};

function listAnswers({observations, accounts, jobs}: RunRecord): Answer[] {
	const isKeyedJob = (jobId: string) => {
		const job = jobs.get(jobId);
		return job === undefined ? undefined : accounts.isKeyed(job.job.queue);
	};

	const calls = [
		...listOf(observations, 'submit-answered').map(call => ({...call, subject: `the submission of job ${call.job.jobId}`, isKeyed: accounts.isKeyed(call.job.queue)})),
		...listOf(observations, 'cancel-answered').map(call => ({...call, subject: `the cancellation of job ${call.jobId}`, isKeyed: isKeyedJob(call.jobId)})),
		...listOf(observations, 'state-answered').map(call => ({...call, subject: `a read of job ${call.jobId}`, isKeyed: isKeyedJob(call.jobId)})),
		...listOf(observations, 'waiting-answered').map(call => ({...call, subject: `a read of queue ${call.queue}`, isKeyed: accounts.isKeyed(call.queue)})),
	];
	return calls.flatMap(({
		entry, status, subject, isKeyed, key, sentAt, at,
	}): Answer[] => isKeyed === undefined
		? []
		: [{
			entry, status, subject, isKeyed, request: {key, sentAt, answeredAt: at},
		}]);
}

/** A request that succeeds although it was sent later than `RevokeMs` after a configuration without its key. */
export function checkRevocation(record: RunRecord): Violation[] {
	return listAnswers(record)
		.filter(({status, isKeyed, request}) => isKeyed && status >= 200 && status < 300 && isKeyRevoked(record.accounts.history, request))
		.map(({entry, status, subject, request}) => ({
			rule: 'revocation', at: request.answeredAt, message: `${entry} answers ${status} to ${subject} with ${request.key ?? 'no key'}, sent at ${request.sentAt} ms, although the key was removed before`,
		}));
}

/** A 401 for a key that has been valid for some time, or for a queue that needs none, by an entry in touch with the store. */
export function checkUnauthorized(record: RunRecord): Violation[] {
	return listAnswers(record)
		.filter(({entry, status, isKeyed, request}) => status === 401 && (!isKeyed || isKeyValid(record.accounts.history, request))
			&& record.isInTouch(entry, request.sentAt) && record.isInTouch(entry, request.answeredAt))
		.map(({entry, subject, request}) => ({
			rule: 'unauthorized', at: request.answeredAt, message: `${entry} answers 401 to ${subject} with ${request.key ?? 'no key'}, sent at ${request.sentAt} ms`,
		}));
}

/** A start while its account has more running than the highest cap that may be in force and the overage. */
export function checkQuota({runs, accounts, findTask}: RunRecord): Violation[] {
	return runs.flatMap((run): Violation[] => {
		const name = accounts.findAccount(run);
		const task = findTask(run.start.taskId);
		if (name === undefined || task === undefined) {
			return [];
		}

		const {at, taskId, endpoint, entry} = run.start;
		const resources = getStepResources(task.step);
		const used = accounts.computeUsedBefore(name, run);
		const cap = findHighestCap(accounts.history, name, at);
		const component = findExceededComponent(used, resources, cap);
		return component === undefined ? [] : [{rule: 'quota', at, message: `start of ${taskId} on ${endpoint} (${entry}), though ${formatExcess(name, component, used, cap)}`}];
	});
}
