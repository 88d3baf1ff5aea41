// A client hands in a job at a machine that stands still, gives up after its time limit and cancels the job at another machine.
import {setTimeout as delay} from 'node:timers/promises';
import {sendCall} from '../lib-2/client.js';
import {startCloud} from '../lib-2/cloud.js';
import {startEntries} from '../lib-2/entries.js';
import {createManifest} from '../lib-2/manifest.js';
import {runCase} from '../lib-2/run-case.js';
import {createStore} from '../lib-2/store.js';
import {startWorker} from '../lib-2/worker.js';

const capacity = {cpu: 16_000, memMb: 65_536};
const service = 'dispatch';
/** Duration of the work items of both steps; the second step comes after the first one. */
const stepDurationsMs = [6000, 8000];
const prefix = '/puxa400/';
const jobId = '5c0e7a21d94b36f8';
const freezeMs = 4000;
const timeLimitMs = 3000;
const cancelAfterMs = 3700;
const cancelMs = 3000;
const stopMs = 900;
const contactMs = 3000;

await runCase(import.meta.url, async ({record, isTroubled, closers}) => {
	const starts = [];
	const running = new Set();
	const store = createStore();
	closers.push(store.close);
	store.write('op/config', createManifest({version: 4, services: [service], routes: [{name: 'route-plan', prefix, service}]}));
	const observe = ({kind, worker, task, run, how}) => {
		record.add(`worker ${worker}: ${task} run ${run} ${kind}${how === undefined ? '' : ` ${how}`}`);
		if (kind === 'started') {
			starts.push({task, at: record.getNow()});
			running.add(task);
		} else if (kind === 'ended') {
			running.delete(task);
		}
	};

	const machines = [];
	for (const number of [1, 2]) {
		const id = `i-${service}-${number}`;
		// eslint-disable-next-line no-await-in-loop
		const worker = await startWorker({
			id, service, rack: 'r1-1', capacity, store, observe, findTask: task => ({cpu: 4600, memMb: 1024, durationMs: stepDurationsMs[Number(task.split('.')[2])]}),
		});
		closers.push(worker.close);
		machines.push({machine: `m-${number}`, pool: service, endpointId: id});
	}

	const cloud = await startCloud({
		machines, pools: [service], capacity, store,
	});
	closers.push(cloud.close);
	const entries = await startEntries({names: ['front-a-1', 'front-b-1', 'front-c-1'], store, cloudAddress: cloud.address});
	closers.push(entries.close);
	if (!await entries.waitUntilReady()) {
		throw new Error('the entries did not become ready');
	}

	await delay(1500);
	const call = async (entry, method, body) => {
		record.add(`client: ${method} ${prefix}${jobId} to ${entry}`);
		const answer = await sendCall({
			port: entries.getFrontPort(entry), method, path: `${prefix}${jobId}`, body, timeoutMs: timeLimitMs,
		});
		record.add(`client: ${answer.status === 0 ? 'no answer within the time limit' : `${answer.status} ${JSON.stringify(answer.body)}`} from ${entry}`);
		return answer;
	};

	const beganAt = performance.now();
	const waitUntil = async ms => delay(Math.max(0, beganAt + ms - performance.now()));
	if (isTroubled) {
		entries.signal('front-a-1', 'SIGSTOP');
		record.add('front-a-1 stands still');
	}

	const steps = stepDurationsMs.map((durationMs, index) => ({
		Count: 1, Cpu: 4600, MemMb: 1024, EstimateMs: durationMs, ...(index > 0 && {After: [index - 1]}),
	}));
	const submitted = await call('front-a-1', 'POST', {Spec: 'route plan', Steps: steps});
	if (submitted.status !== (isTroubled ? 0 : 200)) {
		throw new Error(`the submission was answered with ${submitted.status}`);
	}

	await waitUntil(cancelAfterMs);
	const cancelled = await call('front-b-1', 'DELETE');
	const cancelledAt = record.getNow();
	if (cancelled.status !== 200 && cancelled.status !== 410) {
		throw new Error(`the cancellation was answered with ${cancelled.status}`);
	}

	await waitUntil(freezeMs);
	if (isTroubled) {
		entries.signal('front-a-1', 'SIGCONT');
		record.add('front-a-1 goes on');
	}

	// Calm for long enough that all machines are in touch, and every work item of the job has to be gone.
	await waitUntil(freezeMs + contactMs + cancelMs + stopMs + 2000);
	const state = await call('front-b-1', 'GET');
	const faults = starts.filter(({at}) => at > cancelledAt + cancelMs).map(({task, at}) => `UNASKED: ${task} was started ${at - cancelledAt} ms after the job's cancelling was acknowledged with ${cancelled.status}`);
	for (const task of running) {
		faults.push(`UNASKED: ${task} runs on ${record.getNow() - cancelledAt} ms after the job's cancelling was acknowledged with ${cancelled.status}; the job is shown as ${state.body.State}`);
	}

	return faults;
});
