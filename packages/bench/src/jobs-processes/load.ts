import {setTimeout as delay} from 'node:timers/promises';
import {type CallerAnswer, type CallerStandin, type JobRequest} from '@pistachiogauge/platform/standins';
import {type Installation} from './installation.js';
import {type JobPlan} from './run-plan.js';

/** Sends a call to an entry and records the answer. */
type SendCall = (entry: string, callers: CallerStandin) => Promise<CallerAnswer>;

const retryMs = 300;
const maxTries = 5;
const stateIntervalMs = 120;
const waitingIntervalMs = 500;
/** States are asked for of this many of the newest jobs, most of which have ended. */
const askedJobCount = 60;
const finalConcurrency = 8;
const unknownJobShare = 0.03;
const unknownJobId = 'f'.repeat(16);

function isFinal({status}: CallerAnswer): boolean {
	return status !== 0 && status < 500 && status !== 429;
}

function isRejected({status}: CallerAnswer): boolean {
	return status === 429 || status === 503;
}

function chooseEntry({plan, random}: Installation): string {
	return plan.entries[random.getInteger(plan.entries.length)]!;
}

/** Repeats a call at other entries until it is answered. */
async function sendUntilAnswered(installation: Installation, send: SendCall, retries: (answer: CallerAnswer) => boolean): Promise<CallerAnswer> {
	let entry = chooseEntry(installation);
	for (let tries = 1; ; tries++) {
		// eslint-disable-next-line no-await-in-loop
		const answer = await send(entry, installation.callers.get(entry)!);
		if (isFinal(answer) || tries === maxTries || !retries(answer)) {
			return answer;
		}

		// eslint-disable-next-line no-await-in-loop
		await delay(retryMs);
		entry = chooseEntry(installation);
	}
}

async function submitJob(installation: Installation, {job, retriesRejection}: JobPlan, isRepeat: boolean): Promise<CallerAnswer> {
	return sendUntilAnswered(installation, async (entry, callers) => {
		const sentAt = installation.getNowMs();
		const answer = await callers.submit(job);
		installation.observe({
			kind: 'submit-answered', job, isRepeat, entry, sentAt, status: answer.status, key: job.apiKey,
		});
		return answer;
	}, answer => retriesRejection || !isRejected(answer));
}

async function cancelJob(installation: Installation, job: JobRequest): Promise<void> {
	await sendUntilAnswered(installation, async (entry, callers) => {
		const sentAt = installation.getNowMs();
		const key = installation.accountKeys.chooseFor(job.jobId, true);
		const answer = await callers.cancel({...job, apiKey: key});
		installation.observe({
			kind: 'cancel-answered', jobId: job.jobId, entry, sentAt, status: answer.status, key,
		});
		return answer;
	}, () => true);
}

async function requestState(installation: Installation, job: JobRequest, retries: boolean): Promise<void> {
	await sendUntilAnswered(installation, async (entry, callers) => {
		const sentAt = installation.getNowMs();
		const key = installation.accountKeys.chooseFor(job.jobId, !retries);
		const {status, state} = await callers.requestState({...job, apiKey: key});
		installation.observe({
			kind: 'state-answered', jobId: job.jobId, state, entry, sentAt, status, key,
		});
		return {status};
	}, () => retries);
}

async function requestWaiting(installation: Installation, queue: string): Promise<void> {
	const entry = chooseEntry(installation);
	const sentAt = installation.getNowMs();
	const key = installation.accountKeys.chooseAny(queue);
	const {status, waiting} = await installation.callers.get(entry)!.requestWaiting(queue, key);
	installation.observe({
		kind: 'waiting-answered', queue, waiting, entry, sentAt, status, key,
	});
}

/** Submits a job to one entry and cancels it at others after a time, whether the submission has been answered or not. */
async function playOvertaking(installation: Installation, {job, overtaking: {entry, cancelAfterMs}}: JobPlan & Pick<Required<JobPlan>, 'overtaking'>): Promise<void> {
	const submit = async (): Promise<void> => {
		const sentAt = installation.getNowMs();
		const {status} = await installation.callers.get(entry)!.submit(job);
		installation.observe({
			kind: 'submit-answered', job, isRepeat: false, entry, sentAt, status, key: job.apiKey,
		});
	};

	const cancel = async (): Promise<void> => {
		await delay(cancelAfterMs);
		await cancelJob(installation, job);
	};

	await Promise.all([submit(), cancel()]);
}

async function playJob(installation: Installation, jobPlan: JobPlan, onAccepted: (job: JobRequest) => void): Promise<void> {
	const {job, cancelAfterMs, repeatAfterMs, overtaking} = jobPlan;
	if (overtaking !== undefined) {
		await playOvertaking(installation, {...jobPlan, overtaking});
		return;
	}

	const {status} = await submitJob(installation, jobPlan, false);
	if (status !== 200) {
		return;
	}

	onAccepted(job);
	const cancel = async (): Promise<void> => {
		await delay(cancelAfterMs);
		await cancelJob(installation, job);
	};

	const repeat = async (): Promise<void> => {
		await delay(repeatAfterMs);
		await submitJob(installation, jobPlan, true);
	};

	await Promise.all([...(cancelAfterMs === undefined ? [] : [cancel()]), ...(repeatAfterMs === undefined ? [] : [repeat()])]);
}

/** Plays the jobs of the plan and asks for states meanwhile. @returns The accepted jobs. */
export async function playLoad(installation: Installation): Promise<readonly JobRequest[]> {
	const {plan, random} = installation;
	const accepted: JobRequest[] = [];
	const stateTimer = setInterval(() => {
		const recent = accepted.slice(-askedJobCount);
		if (recent.length > 0) {
			const job = recent[random.getInteger(recent.length)]!;
			void requestState(installation, random.getFraction() < unknownJobShare ? {...job, jobId: unknownJobId} : job, false);
		}
	}, stateIntervalMs);
	const waitingTimer = setInterval(() => {
		void requestWaiting(installation, plan.queues[random.getInteger(plan.queues.length)]!.queue);
	}, waitingIntervalMs);
	await Promise.all(plan.jobs.map(async jobPlan => {
		await delay(jobPlan.atMs);
		await playJob(installation, jobPlan, job => {
			accepted.push(job);
		});
	}));
	clearInterval(stateTimer);
	clearInterval(waitingTimer);
	return accepted;
}

/** Asks for the state of each job, at other entries until there is an answer. */
export async function requestFinalStates(installation: Installation, jobs: readonly JobRequest[]): Promise<void> {
	const remaining = [...jobs];
	await Promise.all(Array.from({length: finalConcurrency}, async () => {
		for (let job = remaining.shift(); job !== undefined; job = remaining.shift()) {
			// eslint-disable-next-line no-await-in-loop
			await requestState(installation, job, true);
		}
	}));
}
