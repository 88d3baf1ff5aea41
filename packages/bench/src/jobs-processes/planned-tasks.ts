import {type JobRequest, type StepRequest} from '@pistachiogauge/platform/standins';

/** A task as the plan of the run has it. */
export type PlannedTask = {readonly job: JobRequest; readonly step: StepRequest; readonly failureCount: number; readonly durationMs: number; readonly lifeMs: number | undefined};

const defaultTaskMs = 500;

/** Finds the job and the step of a task id of the form JOB.OCCURRENCE.STEP.INDEX; undefined if no job has such a task. */
export function findPlannedTask(jobs: ReadonlyMap<string, JobRequest>, taskId: string): PlannedTask | undefined {
	const [jobId = '', occurrence, step, index] = taskId.split('.');
	const job = jobs.get(jobId);
	const plannedStep = job?.steps[Number(step)];
	if (job === undefined || plannedStep === undefined || occurrence !== '0' || !(Number(index) < plannedStep.taskCount)) {
		return undefined;
	}

	const readNumber = (name: string): number | undefined => {
		const text = new RegExp(`\\b${name}=(?<number>\\d+)`, 'u').exec(job.payload)?.groups?.number;
		return text === undefined ? undefined : Number(text);
	};

	return {
		job, step: plannedStep, failureCount: readNumber('failures') ?? 0, durationMs: readNumber('ms') ?? defaultTaskMs, lifeMs: readNumber('life'),
	};
}

/** Lists the task ids of a step. */
export function listTaskIds(job: JobRequest, step: number): string[] {
	return Array.from({length: job.steps[step]?.taskCount ?? 0}, (_, index) => `${job.jobId}.0.${step}.${index}`);
}
