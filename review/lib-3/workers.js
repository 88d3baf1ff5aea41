/** Stand-ins for workers: each keeps leases, fence numbers, runs and ends as the protocol says. */
import {randomBytes} from 'node:crypto';
import {readJson, sendJson, startServer} from './http.js';

const maxEndsListed = 500;
const holdMaxMs = 10_000;
const stopMs = 50;
const gangTimeoutMs = 3000;
const reportIntervalMs = 1500;
const defaultCapacity = {Cpu: 16_000, MemMb: 65_536, Gpu: 0};
const zone = 'ank-a';

/**
@param getWork - Returns for a task's name how long a run takes in ms (Infinity: it lasts) and how it ends.
@param observe - Receives what happens: starts, ends and refusals.
*/
export async function startWorker({
	id, pool, store, getWork, observe = () => {}, capacity = defaultCapacity, labels = ['a', 'r1-1'], guards = true, chooseLateMs = () => 0, wrapAddress = async address => address,
}) {
	let life;

	function beginLife() {
		life = {
			born: Date.now(), startedAt: performance.now(), fence: 0, deadline: 0, runs: new Map(), ended: [], nextEnd: 1, highest: new Map(), waiters: new Set(), isUp: true,
		};
	}

	beginLife();
	const getClock = () => Math.round(performance.now() - life.startedAt + 1000);

	function wake() {
		for (const waiter of life.waiters) {
			waiter();
		}
	}

	function endRun(run, how) {
		if (life.runs.get(run.task) !== run) {
			return;
		}

		clearTimeout(run.timer);
		clearTimeout(run.aloneTimer);
		life.runs.delete(run.task);
		life.highest.set(run.task, Math.max(life.highest.get(run.task) ?? 0, run.run));
		const end = [life.nextEnd++, run.task, run.run, how, ''];
		life.ended.push(end);
		observe({
			kind: 'end', worker: id, task: run.task, run: run.run, how, number: end[0],
		});
		wake();
	}

	const lapse = setInterval(() => {
		if (life.runs.size > 0 && getClock() > life.deadline) {
			const lapsed = [...life.runs.values()];
			for (const run of lapsed) {
				endRun(run, 'lapsed');
			}
		}
	}, 20);
	lapse.unref();

	function takeDeadline({DeadlineMs}) {
		if (DeadlineMs !== undefined) {
			life.deadline = Math.max(life.deadline, Math.min(DeadlineMs, getClock() + holdMaxMs));
		}
	}

	function sumUsed(name) {
		let sum = 0;
		for (const run of life.runs.values()) {
			sum += run.room[name] ?? 0;
		}

		return sum;
	}

	function start(body) {
		const {Task, Run, DeadlineMs} = body;
		if (life.runs.get(Task)?.run === Run) {
			takeDeadline(body);
			return [200, {}];
		}

		if (getClock() > DeadlineMs) {
			return [409, {Reason: 'late'}];
		}

		takeDeadline(body);
		if (Run <= (life.highest.get(Task) ?? 0) || life.runs.has(Task)) {
			return [409, {Reason: 'old'}];
		}

		const work = getWork(Task, Run, id);
		const room = work.room ?? {};
		if (guards && ['Cpu', 'MemMb', 'Gpu'].some(name => sumUsed(name) + (room[name] ?? 0) > capacity[name])) {
			return [409, {Reason: 'room'}];
		}

		const run = {
			task: Task, run: Run, room, startedAt: performance.now(), ms: work.ms, isAtWork: work.gang === undefined,
		};
		life.runs.set(Task, run);
		observe({
			kind: 'start', worker: id, task: Task, run: Run, fence: body.FencingToken ?? 0, spec: body.Spec, checkpoint: body.Checkpoint, ticket: body.Ticket,
		});
		const begin = () => {
			run.isAtWork = true;
			clearTimeout(run.aloneTimer);
			run.startedAt = performance.now();
			if (Number.isFinite(work.ms)) {
				run.timer = setTimeout(() => endRun(run, work.how ?? 'done'), work.ms);
			}
		};

		if (work.gang === undefined) {
			begin();
		} else {
			work.gang.join({run, begin, end: how => endRun(run, how)});
			run.aloneTimer = setTimeout(() => {
				if (!run.isAtWork) {
					work.gang.leave(run);
					endRun(run, 'alone');
				}
			}, gangTimeoutMs);
		}

		return [200, {}];
	}

	function stop({Task, Run}) {
		const run = life.runs.get(Task);
		if (run?.run === Run) {
			setTimeout(() => endRun(run, 'stopped'), stopMs);
		} else {
			life.highest.set(Task, Math.max(life.highest.get(Task) ?? 0, Run));
		}

		return [200, {}];
	}

	function computePercent(run) {
		if (!run.isAtWork) {
			return 0;
		}

		return Number.isFinite(run.ms) ? Math.min(99, Math.floor(100 * (performance.now() - run.startedAt) / run.ms)) : 100;
	}

	function list() {
		return {Running: [...life.runs.values()].map(run => [run.task, run.run, '', computePercent(run), run.room.Cpu ?? 0]), Ended: life.ended.slice(0, maxEndsListed)};
	}

	async function hold(body, response) {
		takeDeadline(body);
		const lastSeen = body.LastSeen ?? 0;
		for (const end of life.ended.filter(([number]) => number <= lastSeen)) {
			observe({
				kind: 'noted', worker: id, task: end[1], run: end[2], how: end[3],
			});
		}

		life.ended = life.ended.filter(([number]) => number > lastSeen);
		if ((body.WaitMs ?? 0) > 0 && life.ended.length === 0) {
			await new Promise(resolve => {
				const done = () => {
					clearTimeout(timer);
					life.waiters.delete(done);
					resolve();
				};

				const timer = setTimeout(done, Math.min(2000, body.WaitMs));
				response.on('close', done);
				life.waiters.add(done);
			});
		}

		return [200, list()];
	}

	const handlers = {
		'/pistachiogauge/run-start': start,
		'/pistachiogauge/run-stop': stop,
		'/pistachiogauge/hold': hold,
		'/pistachiogauge/pace': () => [200, {}],
	};

	async function handle(request, response) {
		const body = await readJson(request);
		const handler = handlers[request.url];
		if (!life.isUp || handler === undefined) {
			response.destroy();
			return;
		}

		const lateMs = chooseLateMs(request.url);
		if (lateMs > 0) {
			// Carried out late by whichever life is there then, and never answered.
			setTimeout(() => {
				if (life.isUp && (body.FencingToken ?? 0) >= life.fence) {
					life.fence = body.FencingToken ?? 0;
					observe({
						kind: 'late', worker: id, call: request.url, task: body.Task, run: body.Run,
					});
					handler({...body, WaitMs: 0}, response);
				}
			}, lateMs).unref();
			return;
		}

		if ((request.headers['pistachiogauge-expect-instance'] ?? id) !== id) {
			sendJson(response, 421, {});
			return;
		}

		const current = life;
		if ((body.FencingToken ?? 0) < life.fence) {
			sendJson(response, 409, {ClockMs: getClock(), Reason: 'fence', born: life.born});
			return;
		}

		life.fence = body.FencingToken ?? 0;
		const [status, answer] = await handler(body, response);
		if (current === life && life.isUp) {
			sendJson(response, status, {ClockMs: getClock(), born: life.born, ...answer});
		} else {
			response.destroy();
		}
	}

	const server = await startServer(handle);
	const publicAddress = await wrapAddress(server.address);
	let sequence = 0;
	function report() {
		if (!life.isUp) {
			return;
		}

		sequence += 1;
		store.write(`servers/${id}`, {
			Service: pool, Address: publicAddress, Zone: zone, Version: 'v1', Slots: 8, State: 'ready', ColdRemainingMs: 0, Capacity: capacity, Labels: labels, ClockMs: getClock(), born: life.born, Seq: sequence,
		});
	}

	const heartbeat = setInterval(report, reportIntervalMs);
	heartbeat.unref();
	report();
	return {
		id,
		address: publicAddress,
		getRuns: () => [...life.runs.values()],
		getFence: () => life.fence,
		/** The worker falls silent at once; its entry is removed after three report intervals of silence. */
		crash() {
			for (const run of life.runs.values()) {
				clearTimeout(run.timer);
				clearTimeout(run.aloneTimer);
				observe({
					kind: 'gone', worker: id, task: run.task, run: run.run,
				});
			}

			const lost = life;
			life.isUp = false;
			life.runs.clear();
			setTimeout(() => {
				if (life === lost) {
					store.write(`servers/${id}`);
				}
			}, 3 * reportIntervalMs).unref();
		},
		restart() {
			beginLife();
			sequence = 0;
			report();
		},
		stop() {
			clearInterval(heartbeat);
			clearInterval(lapse);
			server.stop();
		},
	};
}

export const createId = () => randomBytes(8).toString('hex');
