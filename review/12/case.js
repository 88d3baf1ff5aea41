/** Case 12: jobs with many small work items come at once; watches whether each accepted job has work running while its service is idle. */
import {
	createClient, createId, isTroubled, pause, runCase, startDeployment,
} from '../lib-3/case.js';

const jobCount = 5;
const largeItemCount = 16_000;
const smallItemCount = 16;
const runMs = 400;
const workerCount = 6;
const room = {Cpu: 1, MemMb: 4};
const watchMs = 60_000;
const probeIntervalMs = 5000;
/** Rule LOST: nothing of a job runs for 3 s while it could; the seconds before count as well here. */
const idleLimitMs = 14_000;
const capacity = {Cpu: workerCount * 16_000, MemMb: workerCount * 65_536};

await runCase(import.meta.url, async context => {
	const {record} = context;
	/** By job: number of runs, and when the last one began or ended. */
	const runsByJob = new Map();
	const getRuns = id => runsByJob.get(id) ?? {active: 0, starts: 0, lastAt: 0};
	const ends = [];
	const {deployment} = await startDeployment(context, {
		workerCount,
		getWork: () => ({ms: runMs, room}),
		observeWorker({kind, task}) {
			const id = task?.split('.', 1)[0];
			if (kind === 'start' || kind === 'end') {
				const {active, starts} = getRuns(id);
				runsByJob.set(id, {active: active + (kind === 'start' ? 1 : -1), starts: starts + (kind === 'start' ? 1 : 0), lastAt: performance.now()});
			}
		},
		observeEntryEnd: ({name}) => ends.push(name),
	});
	const client = createClient(deployment, record);
	const submit = async count => {
		const id = createId();
		const {status} = await client.submit(id, {Spec: 'scan', Steps: [{Count: count, ...room, EstimateMs: runMs}]});
		return {
			id, count, isAccepted: status === 200, acceptedAt: performance.now(),
		};
	};

	const count = isTroubled ? largeItemCount : smallItemCount;
	record(`${jobCount} jobs of ${count} work items each are sent one after the other`);
	const jobs = [];
	for (let number = 0; number < jobCount; number++) {
		// eslint-disable-next-line no-await-in-loop
		jobs.push(await submit(count));
	}

	for (let elapsedMs = 0; elapsedMs < watchMs; elapsedMs += probeIntervalMs) {
		// eslint-disable-next-line no-await-in-loop
		await pause(probeIntervalMs);
		const used = [...runsByJob.values()].reduce((sum, {active}) => sum + active, 0);
		record(`running now: ${used} work items, that is ${used * room.Cpu} of ${capacity.Cpu} thousandths of a core; runs begun by job: ${jobs.map(({id}) => getRuns(id).starts).join(', ')}`);
	}

	const probe = await submit(2);
	await pause(2000);
	record(`a job of 2 work items sent last: ${getRuns(probe.id).starts} runs begun`);
	const used = [...runsByJob.values()].reduce((sum, {active}) => sum + active, 0);
	const now = performance.now();
	const broken = [];
	for (const {id, isAccepted, acceptedAt} of jobs.filter(job => job.isAccepted)) {
		// eslint-disable-next-line no-await-in-loop
		const {status, body} = await client.getState(id);
		const {active, starts, lastAt} = getRuns(id);
		const idleMs = active > 0 ? 0 : now - Math.max(acceptedAt, lastAt);
		record(`job ${id}: accepted ${isAccepted}, ${starts} runs begun, nothing running for ${Math.round(idleMs)} ms, state ${body?.State ?? status ?? 'none'}`);
		if (body?.State !== 'done' && idleMs > idleLimitMs && used * room.Cpu < capacity.Cpu / 2) {
			broken.push(`LOST: job ${id} has had nothing running for ${Math.round(idleMs / 1000)} s while its service was idle`);
		}
	}

	record(`processes that ended by themselves: ${ends.length}`);
	return broken;
});
