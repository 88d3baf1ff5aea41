import {type Observation, type ObservationOf, type StepRequest} from '@pistachiogauge/platform/standins';
import {advisedQueue, mayRunAdvised} from '../odd-jobs.js';
import {listTaskIds} from '../planned-tasks.js';
import {hasFailed} from './check-answers.js';
import {
	type JobRecord, type RunRecord, type TaskRun,
} from './run-record.js';
import {type Violation} from './violation.js';

const sampleMs = 250;
/** Time for which an endpoint has had room twice over. */
const idleMs = 3000;
/** Time from the last run of a long-running task from which `idleMs` counts. */
const restartMs = 6000;
/** Time before `idleMs` that has to be calm as well; `isCalm` adds the rest of it. */
const calmBeforeMs = 1000;

/** An endpoint that is registered and up, with what its runs leave. */
type OpenEndpoint = {readonly id: string; readonly listing: ObservationOf<'endpoint-listed'>; readonly runs: readonly TaskRun[]; readonly cpuMillis: number; readonly memoryMb: number};

type Sample = {readonly at: number; readonly endpoints: readonly OpenEndpoint[]};

/** Work that stands still from `since` on although it could run. */
type Spell = {readonly since: number; lastSeenAt: number; readonly endpoint: string; isBroken: boolean};

/** What stands still in a sample: a job or a long-running task, and an endpoint with room for it. */
type IdleWork = {readonly subject: string; readonly endpoint: string; readonly lastEndedAt: number};

/** A job of which nothing runs, or a long-running task that does not, although its turn has come and an endpoint has room for it twice over. */
export function checkIdle(record: RunRecord): Violation[] {
	const spells = new Map<string, Spell>();
	const violations: Violation[] = [];
	for (const sample of takeSamples(record)) {
		const idle = new Map(listIdleWork(record, sample).map(work => [work.subject, work]));
		for (const [subject, spell] of spells) {
			if (!idle.has(subject)) {
				spells.delete(subject);
				violations.push(...describeSpell(subject, spell));
			}
		}

		for (const [subject, {endpoint, lastEndedAt}] of idle) {
			const spell = spells.get(subject) ?? {
				since: sample.at, lastSeenAt: sample.at, endpoint, isBroken: false,
			};
			spells.set(subject, spell);
			spell.lastSeenAt = sample.at;
			spell.isBroken ||= sample.at >= Math.max(spell.since, lastEndedAt) + idleMs && record.isCalm(sample.at - idleMs - calmBeforeMs, sample.at);
		}
	}

	return [...violations, ...[...spells].flatMap(([subject, spell]) => describeSpell(subject, spell))];
}

function describeSpell(subject: string, {since, lastSeenAt, endpoint, isBroken}: Spell): Violation[] {
	return isBroken ? [{rule: 'lost', at: since, message: `${subject} does not run from ${since} to ${lastSeenAt} ms, though ${endpoint} has room for it twice over`}] : [];
}

function * takeSamples({observations, runs}: RunRecord): Generator<Sample> {
	const listings = new Map<string, ObservationOf<'endpoint-listed'>>();
	const upIds = new Set<string>();
	const handlers: {readonly [Kind in Observation['kind']]?: (observation: ObservationOf<Kind>) => void} = {
		'endpoint-started'({endpoint}) {
			upIds.add(endpoint);
		},
		'endpoint-crashed'({endpoint}) {
			upIds.delete(endpoint);
		},
		'endpoint-listed'(listing) {
			listings.set(listing.endpoint, listing);
		},
		'endpoint-unlisted'({endpoint}) {
			listings.delete(endpoint);
		},
	};
	let nextAt = 0;
	for (const observation of observations) {
		for (; nextAt <= observation.at; nextAt += sampleMs) {
			yield {at: nextAt, endpoints: listOpenEndpoints(listings, upIds, runs, nextAt)};
		}

		(handlers[observation.kind] as ((observation: Observation) => void) | undefined)?.(observation);
	}
}

function listOpenEndpoints(listings: ReadonlyMap<string, ObservationOf<'endpoint-listed'>>, upIds: ReadonlySet<string>, runs: readonly TaskRun[], at: number): OpenEndpoint[] {
	const current = runs.filter(run => isRunning(run, at));
	return [...listings].filter(([id]) => upIds.has(id)).map(([id, listing]) => ({
		id, listing, runs: current.filter(({start}) => start.endpoint === id), cpuMillis: listing.cpuMillis, memoryMb: listing.memoryMb,
	}));
}

function isRunning({start, endedAt}: TaskRun, at: number): boolean {
	return start.at <= at && at < endedAt;
}

function listIdleWork(record: RunRecord, sample: Sample): IdleWork[] {
	return [...record.jobs].flatMap(([jobId, job]) => isOpen(record, job, sample.at) ? listIdleWorkOfJob(record, sample, jobId, job) : []);
}

/** Whether a job is accepted, not cancelled and has not ended for good, and which endpoints may run it is known. */
function isOpen({attemptsByQueue, movedQueues}: RunRecord, job: JobRecord, at: number): boolean {
	return job.acceptedAt <= at && job.cancelSentAt > at && !movedQueues.has(job.job.queue) && !hasFailed(job, attemptsByQueue.get(job.job.queue) ?? 0, at);
}

function listIdleWorkOfJob(record: RunRecord, sample: Sample, jobId: string, jobRecord: JobRecord): IdleWork[] {
	const {job, runs, acceptedAt} = jobRecord;
	const {at} = sample;
	const isTaskDone = (taskId: string) => (runs.get(taskId) ?? []).some(({outcome, endedAt}) => outcome === 'done' && endedAt <= at);
	const isTaskRunning = (taskId: string) => (runs.get(taskId) ?? []).some(run => isRunning(run, at));
	const isStepDone = (step: number) => listTaskIds(job, step).every(taskId => isTaskDone(taskId));
	const isJobRunning = [...runs.keys()].some(taskId => isTaskRunning(taskId));
	const work: IdleWork[] = [];
	for (const [number, step] of job.steps.entries()) {
		if (!step.after.every(before => isStepDone(before)) || (isJobRunning && !step.isLongRunning) || !record.accounts.hasCapFor(jobRecord, step, at)) {
			continue;
		}

		const endpoint = sample.endpoints.find(each => hasRoomTwice(record, each, {
			jobId, queue: job.queue, number, step,
		}));
		const pending = endpoint === undefined ? [] : listTaskIds(job, number).filter(taskId => !isTaskDone(taskId) && !isTaskRunning(taskId));
		for (const taskId of pending) {
			const lastEndedAt = Math.max(acceptedAt, ...(runs.get(taskId) ?? []).map(({endedAt}) => endedAt).filter(endedAt => endedAt <= at));
			work.push(step.isLongRunning
				? {subject: `long-running task ${taskId}`, endpoint: endpoint!.id, lastEndedAt: lastEndedAt + restartMs}
				: {subject: `job ${jobId}`, endpoint: endpoint!.id, lastEndedAt: acceptedAt});
		}
	}

	return work;
}

/** Whether an endpoint can run a task of a step, and has room for two. */
function hasRoomTwice({servicesByQueue, findTask}: RunRecord, {id, listing, runs, cpuMillis, memoryMb}: OpenEndpoint, {jobId, queue, number, step}: {readonly jobId: string; readonly queue: string; readonly number: number; readonly step: StepRequest}): boolean {
	if (listing.service !== servicesByQueue.get(queue) || (step.requiredLabel !== undefined && !listing.labels.includes(step.requiredLabel)) || (queue === advisedQueue && !mayRunAdvised(`${jobId}.0.${number}`, id))) {
		return false;
	}

	const ownCount = runs.filter(({start}) => start.taskId.startsWith(`${jobId}.0.${number}.`)).length;
	const sumUsed = (resource: 'cpuMillis' | 'memoryMb') => runs.reduce((sum, {start}) => sum + (findTask(start.taskId)?.step[resource] ?? 0), 0);
	return ownCount < (step.endpointLimit ?? Number.POSITIVE_INFINITY)
		&& cpuMillis - sumUsed('cpuMillis') >= 2 * step.cpuMillis && memoryMb - sumUsed('memoryMb') >= 2 * step.memoryMb;
}
