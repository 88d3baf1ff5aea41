/** Case 13: a tenant's gang finds too little room after the loss of a worker; watches whether the tenant's other jobs run on the idle workers. */
import {
	createClient, createId, isTroubled, pause, runCase, startDeployment,
} from '../lib-3/case.js';

const workerCount = 8;
const wholeWorker = {Cpu: 16_000, MemMb: 1024};
const smallRoom = {Cpu: 4000, MemMb: 1024};
const gangEstimateMs = 60_000;
const jobEstimateMs = 90_000;
const gangMs = 2000;
const jobMs = 8000;
const jobCount = 3;
/** From the loss of the worker until its lease has expired and all is calm. */
const calmAfterMs = 16_000;
const watchMs = 26_000;
/** Rule LOST: nothing of a job runs for 3 s, in which and in the 4 s before all is calm. */
const idleLimitMs = 7000;
const cap = {Cpu: 2 * workerCount * wholeWorker.Cpu, MemMb: 0, Gpu: 0};
const apiKey = 'key-of-the-tenant';

await runCase(import.meta.url, async context => {
	const {record} = context;
	const jobs = new Map();
	const startsByJob = new Map();
	let members = [];
	/** The members of the gang begin to work once all are there; a run that stays alone is not started again here. */
	const gang = {
		join(member) {
			members.push(member);
			for (const each of members.length === workerCount ? members : []) {
				each.begin();
			}
		},
		leave(run) {
			members = members.filter(member => member.run !== run);
		},
	};
	const {workers, deployment} = await startDeployment(context, {
		workerCount,
		getWork(task) {
			const {ms, room, isGang} = jobs.get(task.split('.', 1)[0]);
			return {ms, room, gang: isGang ? gang : undefined};
		},
		observeWorker({
			kind, worker, task, run, how,
		}) {
			if (kind === 'start' || kind === 'end') {
				record(`worker ${worker}: ${kind} of ${task}, run ${run}${how === undefined ? '' : `, ${how}`}`);
			}

			if (kind === 'start') {
				const id = task.split('.', 1)[0];
				startsByJob.set(id, (startsByJob.get(id) ?? 0) + 1);
			}
		},
		configuration: {
			Tenants: [{
				Name: 'tenant-1', Weight: 5, Cap: cap, ApiKeys: [apiKey],
			}],
		},
		settings: {'Bounds.StrictRevoke': 'true', 'Bounds.RevokeMs': '5000'},
	});
	const client = createClient(deployment, record, apiKey);
	const submit = async (job, step) => {
		const id = createId();
		jobs.set(id, job);
		const {status} = await client.submit(id, {Spec: 'render', Steps: [step]});
		return {id, isAccepted: status === 200};
	};

	if (isTroubled) {
		workers.at(-1).crash();
		record(`worker ${workers.at(-1).id} is lost for good`);
	}

	await pause(calmAfterMs);
	const large = await submit({ms: gangMs, room: wholeWorker, isGang: true}, {
		Count: workerCount, ...wholeWorker, EstimateMs: gangEstimateMs, Gang: true,
	});
	record(`job ${large.id} is a gang that needs all ${workerCount} workers`);
	await pause(3000);
	const others = [];
	for (let number = 0; number < jobCount; number++) {
		// eslint-disable-next-line no-await-in-loop
		others.push(await submit({ms: jobMs, room: smallRoom, isGang: false}, {Count: 1, ...smallRoom, EstimateMs: jobEstimateMs}));
	}

	await pause(watchMs);
	const broken = [];
	for (const {id} of others.filter(({isAccepted}) => isAccepted)) {
		// eslint-disable-next-line no-await-in-loop
		const {status, body} = await client.getState(id);
		const startCount = startsByJob.get(id) ?? 0;
		record(`job ${id}: ${startCount} runs begun in ${watchMs} ms, state ${body?.State ?? status ?? 'none'}`);
		if (startCount === 0 && watchMs > idleLimitMs) {
			broken.push(`LOST: job ${id} has had nothing running for ${watchMs / 1000} s, with all workers idle`);
		}
	}

	return broken;
});
