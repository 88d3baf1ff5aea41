/** Case 15: the manifest gets a route whose host is written with capitals; watches whether clients that send the same host are served. */
import {
	createId, isTroubled, pause, runCase, startDeployment,
} from '../lib-3/case.js';
import {sendRequest} from '../lib-3/http.js';

const newHost = isTroubled ? 'Lobby7.example' : 'lobby7.example';
const newPrefix = '/kiosk7/';
const room = {Cpu: 500, MemMb: 256};
/** `ConfigApplyMs`, and some more. */
const applyMs = 2000 + 500;
const requestCount = 12;

await runCase(import.meta.url, async context => {
	const {record} = context;
	const {store, deployment} = await startDeployment(context, {
		workerCount: 2,
		getWork: () => ({ms: 200, room}),
		observeWorker({kind, task}) {
			if (kind === 'start') {
				record(`start of ${task}`);
			}
		},
	});
	const manifest = store.read('op/config');
	const [route] = manifest.Routes;
	store.write('op/config', {
		...manifest,
		Version: manifest.Version + 3,
		Routes: [...manifest.Routes, {
			...route, Name: 'r-lobby', Host: newHost, Prefix: newPrefix,
		}],
	});
	record(`version ${manifest.Version + 3} acknowledged, with a route for host ${newHost} and prefix ${newPrefix}`);
	await pause(applyMs);
	const broken = [];
	for (let number = 0; number < requestCount; number++) {
		const index = number % deployment.entries.length;
		const path = `${newPrefix}${createId()}`;
		// eslint-disable-next-line no-await-in-loop
		const {status} = await sendRequest({
			address: deployment.getFront(index), method: 'POST', path, host: newHost, body: {Spec: 'check-in', Steps: [{Count: 1, ...room, EstimateMs: 200}]},
		});
		record(`POST ${path}, host ${newHost}, at ${deployment.entries[index].name}: ${status ?? 'no answer'}`);
		if (status === 404) {
			broken.push(`CONFIG: ${deployment.entries[index].name} answers 404 for a route that is there`);
		}

		// eslint-disable-next-line no-await-in-loop
		await pause(300);
	}

	return [...new Set(broken)];
});
