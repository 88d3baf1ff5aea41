/** Case 11: jobs with many work items come at once; watches which processes end by themselves, and whether accepted jobs are answered. */
import {
	createClient, createId, isTroubled, pause, runCase, startDeployment,
} from '../lib-3/case.js';

const jobCount = 14;
const largeItemCount = 20_000;
const smallItemCount = 20;
const runMs = 400;
const room = {Cpu: 1000, MemMb: 256};
const watchMs = 45_000;
/** Rule Fault: three ends on a tenth of the machines in use, two at least. */
const minEnds = 3;
const minMachines = 2;
const finishMs = 14_000;

await runCase(import.meta.url, async context => {
	const {record} = context;
	const ends = new Map();
	const counts = {start: 0, end: 0};
	const {deployment} = await startDeployment(context, {
		workerCount: 6,
		getWork: () => ({ms: runMs, room}),
		observeWorker({kind}) {
			counts[kind] = (counts[kind] ?? 0) + 1;
		},
		observeEntryEnd({name}) {
			ends.set(name, (ends.get(name) ?? 0) + 1);
		},
	});
	const client = createClient(deployment, record);
	const submit = async count => {
		const id = createId();
		const {status} = await client.submit(id, {Spec: 'render', Steps: [{Count: count, ...room, EstimateMs: runMs}]});
		return {id, isAccepted: status === 200};
	};

	const count = isTroubled ? largeItemCount : smallItemCount;
	record(`${jobCount} jobs of ${count} work items each are sent one after the other`);
	const jobs = [];
	for (let number = 0; number < jobCount; number++) {
		// eslint-disable-next-line no-await-in-loop
		jobs.push(await submit(count));
		// eslint-disable-next-line no-await-in-loop
		await pause(200);
	}

	await pause(watchMs - finishMs);
	record(`work items so far: ${counts.start} started, ${counts.end} ended`);
	await pause(finishMs);
	record(`work items at the end: ${counts.start} started, ${counts.end} ended`);
	const accepted = jobs.filter(({isAccepted}) => isAccepted);
	const states = await Promise.all(accepted.map(async ({id}) => client.getState(id)));
	const unansweredCount = states.filter(({status}) => status !== 200).length;
	const faulty = [...ends].filter(([, endCount]) => endCount >= minEnds);
	record(`ends of processes by themselves: ${JSON.stringify(Object.fromEntries(ends))}; ${accepted.length} jobs accepted, ${unansweredCount} of them without a state ${finishMs} ms after the traffic`);
	return [
		...(faulty.length >= minMachines ? [`Fault: processes of ${faulty.length} of 3 machines ended by themselves ${minEnds} times or more`] : []),
		...(unansweredCount > 0 ? [`LOST: ${unansweredCount} of ${accepted.length} accepted jobs get no state`] : []),
	];
});
