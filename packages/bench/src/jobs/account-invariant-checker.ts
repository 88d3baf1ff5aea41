import {
	addResources, parseTaskId, subtractResources, type CallerAction, type CallerAnswer, type Resources,
} from '@pistachiogauge/jobs';
import {
	findExceededComponent, findHighestCap, formatExcess, hasCapLeft, isKeyRevoked, isKeyValid, listAccountNames, type AccountPlan, type AccountsVersion, type KeyedRequest,
} from '../accounts/index.js';
import {type EventQueue} from '../virtual/event-queue.js';
import {type VirtualRun, type VirtualTaskEndpoint} from './virtual-task-endpoint.js';

/**
An invariant of client accounts.

- `revocation`: a submission, read or cancellation succeeds although it was sent later than `RevokeMs` after a configuration without its key was acknowledged.
- `quota`: a task starts while its account has more running on all endpoints, runs that are being stopped included, than its cap and the overage. Of the configurations that may be in force the highest cap counts.
- `unauthorized`: an entry in touch with the store answers a request with 401 although its key has been valid for longer than 3 s.
*/
export type AccountInvariantName = 'revocation' | 'quota' | 'unauthorized';

/** A request to a queue that is not public. */
export type TrackedRequest = {
	readonly action: CallerAction;
	readonly jobId: string;
	readonly key: string | undefined;
	/** Name of the entry that the caller sends it to. */
	readonly node: string;
};

/** Checks the invariants of client accounts from what callers and endpoints observe, and the configurations that the store acknowledged. */
export type AccountInvariantChecker = {
	/** Records that the store has acknowledged a configuration with these accounts. */
	recordAccounts(accounts: readonly AccountPlan[]): void;
	/** Records that a caller sends a request to a queue that is not public. */
	recordRequest(requestId: string, request: TrackedRequest): void;
	/** `isInTouch`: the entry has reached the store, and its watches have delivered, for some seconds. */
	recordAnswer(requestId: string, kind: CallerAnswer['kind'], isInTouch: boolean): void;
	recordStart(endpoint: VirtualTaskEndpoint, run: VirtualRun): void;
	recordEnd(run: VirtualRun): void;
	recordCrash(endpoint: VirtualTaskEndpoint): void;
	/** Accounts that a job may have been accepted for; none for a job of a public queue. */
	listAccountsOf(jobId: string): readonly string[];
	/** Whether the accounts that a job may belong to use less than half of their caps and may start a task of this size besides. */
	hasCapFor(jobId: string, task: Resources): boolean;
};

type SentRequest = TrackedRequest & {readonly sentAt: number; answeredAt: number | undefined};

const noResources: Resources = {cpuMillis: 0, memoryMb: 0, gpus: 0};
const successes: ReadonlySet<CallerAnswer['kind']> = new Set(['accepted', 'status', 'cancelled', 'waiting']);

/** Creates a checker without accounts. */
export function createAccountInvariantChecker(queue: EventQueue, reportViolation: (invariant: AccountInvariantName, message: string) => void): AccountInvariantChecker {
	const history: AccountsVersion[] = [];
	const requests = new Map<string, SentRequest>();
	const submissions = new Map<string, SentRequest>();
	/** Runs of known accounts that go on, and what these have running. */
	const runs = new Map<VirtualRun, {readonly account: string; readonly endpoint: VirtualTaskEndpoint}>();
	const usedByAccount = new Map<string, Resources>();
	const getUsed = (account: string) => usedByAccount.get(account) ?? noResources;
	const createKeyedRequest = ({key, sentAt, answeredAt}: SentRequest): KeyedRequest => ({key, sentAt, answeredAt: answeredAt ?? queue.now});

	function listAccountsOf(jobId: string): readonly string[] {
		const submission = submissions.get(jobId);
		return submission === undefined ? [] : listAccountNames(history, createKeyedRequest(submission));
	}

	function removeRun(run: VirtualRun): void {
		const entry = runs.get(run);
		if (entry !== undefined && runs.delete(run)) {
			usedByAccount.set(entry.account, subtractResources(getUsed(entry.account), run.resources));
		}
	}

	return {
		recordAccounts(accounts) {
			history.push({acknowledgedAt: history.length === 0 ? Number.NEGATIVE_INFINITY : queue.now, accounts});
		},
		recordRequest(requestId, request) {
			const sent: SentRequest = {...request, sentAt: queue.now, answeredAt: undefined};
			requests.set(requestId, sent);
			if (request.action === 'submit') {
				submissions.set(request.jobId, sent);
			}
		},
		recordAnswer(requestId, kind, isInTouch) {
			const request = requests.get(requestId);
			if (request === undefined) {
				return;
			}

			request.answeredAt ??= queue.now;
			const {action, key, node, jobId, sentAt} = request;
			const keyed = createKeyedRequest(request);
			const description = `${node} answers ${kind} to ${action} of job ${jobId} with ${key ?? 'no key'}, sent at ${sentAt.toFixed(1)} ms`;
			if (successes.has(kind) && isKeyRevoked(history, keyed)) {
				reportViolation('revocation', `${description}, although the key was removed before`);
			}

			if (kind === 'unauthorized' && isInTouch && isKeyValid(history, keyed)) {
				reportViolation('unauthorized', `${description}, although the key is valid`);
			}
		},
		recordStart(endpoint, run) {
			const names = listAccountsOf(parseTaskId(run.taskId)?.jobId ?? '');
			const [account] = names;
			// A job whose key was moved between accounts counts for neither.
			if (account === undefined || names.length > 1) {
				return;
			}

			const used = getUsed(account);
			const cap = findHighestCap(history, account, queue.now);
			const component = findExceededComponent(used, run.resources, cap);
			if (component !== undefined) {
				reportViolation('quota', `${run.taskId} starts on ${endpoint.registration.id} by ${run.starter.node}${run.starter.isInTouch ? '' : ', which is out of touch with the store'}, though ${formatExcess(account, component, used, cap)}`);
			}

			runs.set(run, {account, endpoint});
			usedByAccount.set(account, addResources(used, run.resources));
		},
		recordEnd: removeRun,
		recordCrash(endpoint) {
			for (const [run, {endpoint: other}] of runs) {
				if (other === endpoint) {
					removeRun(run);
				}
			}
		},
		listAccountsOf,
		hasCapFor: (jobId, task) => listAccountsOf(jobId).every(account => hasCapLeft(getUsed(account), task, findHighestCap(history, account, queue.now))),
	};
}
