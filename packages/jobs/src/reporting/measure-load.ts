import {countPendingTasks, isStepReady, type Job} from '../ledger/index.js';

/** An amount of CPU and memory; memory may be what a pool runs short of first. @internal */
export type Load = {readonly cpuMillis: number; readonly memoryMb: number};

/** Contribution of one job to a report. @internal */
export type JobLoad = {
	readonly used: Load;
	readonly backlog: Load;
	readonly serving: Load;
	readonly endpointMinimum: number;
	readonly hasWork: boolean;
};

/** @internal */
export const noLoad: Load = {cpuMillis: 0, memoryMb: 0};

/** Adds a load, or a multiple of it. @internal */
export function addLoad(left: Load, right: Load, factor = 1): Load {
	return {cpuMillis: left.cpuMillis + (right.cpuMillis * factor), memoryMb: left.memoryMb + (right.memoryMb * factor)};
}

/** Memory in MB that the tasks of a job take for each thousandth of a core. @internal */
export function computeMemoryPerMilli({record: {spec}}: Job): number {
	let cpuMillis = 0;
	let memoryMb = 0;
	for (const {count, room, isFiller} of spec.steps) {
		cpuMillis += isFiller ? 0 : count * room.cpuMillis;
		memoryMb += isFiller ? 0 : count * room.memoryMb;
	}

	return cpuMillis === 0 ? 0 : memoryMb / cpuMillis;
}

/** Measures the load of a job, and adds the endpoints that run its tasks to `busy`. Filler tasks are no load, as they use what others leave. @internal */
export function measureLoad(job: Job, busy: Set<string>): JobLoad {
	let used = noLoad;
	let backlog = noLoad;
	let serving = noLoad;
	let endpointMinimum = 0;
	let hasWork = false;
	for (const step of job.steps.values()) {
		const isReady = isStepReady(step);
		const {spec, tasks} = step;
		hasWork ||= !spec.isLongRunning;
		let runCount = 0;
		for (const task of tasks.started.values()) {
			for (const endpointId of task.runs.values()) {
				busy.add(endpointId);
				runCount += 1;
			}
		}

		const load = spec.isFiller ? noLoad : spec.room;
		used = addLoad(used, load, runCount);
		backlog = addLoad(backlog, load, isReady ? countPendingTasks(step) : 0);
		if (spec.isLongRunning) {
			serving = addLoad(serving, load, tasks.size);
			endpointMinimum = Math.max(endpointMinimum, Math.ceil(tasks.size / (spec.endpointLimit ?? tasks.size)));
		}
	}

	return {
		used, backlog, serving, endpointMinimum, hasWork,
	};
}
