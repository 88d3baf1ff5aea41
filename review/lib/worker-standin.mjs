/* eslint-disable promise/prefer-await-to-then */
import {createServer} from 'node:http';
import {readJson, sendJson} from './http-helpers.mjs';

/** Interval of status reports; an entry that is silent for three of them is removed. */
const heartbeatMs = 1500;
const holdMaxMs = 10_000;
/** Time that a lasting work item takes to be at work. */
const startupMs = 300;

/**
Creates a stand-in for a worker.

@param options.isGuarding - Whether it rejects work items that do not fit.
@param options.stopMs - Time that a stop takes, at most 900 ms.
@param options.getStep - Returns the step of a work item, as the client sent it.
@param options.mayAnswer - Decides for each order: `answer`, `drop` (the link loses it) or `late` (no answer, carried out later).
*/
export function createWorkerStandin({
	id, service, zone, labels, capacity, isGuarding = true, stopMs = 300, store, record, getStep,
	mayAnswer = () => 'answer', lateMs = () => 3000, recordLease,
}) {
	const born = Date.now();
	const bornAt = performance.now();
	const runs = new Map();
	const highestRuns = new Map();
	let ends = [];
	let endCount = 0;
	let token = 0;
	let deadline = 0;
	let leaseTimer;
	let seq = 0;
	let address = '';
	let beat;
	let isUp = true;
	const holds = new Set();
	const getClock = () => Math.floor(performance.now() - bornAt) + 100_000;

	function computeUse() {
		let cpu = 0;
		let memory = 0;
		for (const {step} of runs.values()) {
			cpu += step.Cpu ?? 0;
			memory += step.MemMb ?? 0;
		}

		return {cpu, memory};
	}

	function endRun(task, how) {
		const run = runs.get(task);
		if (!isUp || run === undefined) {
			return;
		}

		clearTimeout(run.timer);
		runs.delete(task);
		highestRuns.set(task, Math.max(highestRuns.get(task) ?? 0, run.run));
		endCount += 1;
		ends.push([endCount, task, run.run, how, '']);
		record('end', {
			worker: id, task, run: run.run, how,
		});
		for (const answer of holds) {
			answer();
		}
	}

	function extendLease(deadlineMs) {
		const limited = Math.min(deadlineMs ?? 0, getClock() + holdMaxMs);
		if (limited <= deadline) {
			return;
		}

		deadline = limited;
		recordLease?.({
			worker: id, token, deadline, clock: getClock(),
		});
		clearTimeout(leaseTimer);
		leaseTimer = setTimeout(() => {
			for (const task of runs.keys()) {
				endRun(task, 'lapsed');
			}
		}, deadline - getClock());
	}

	function getRows() {
		return [...runs].map(([task, {run, startedAt, durationMs}]) => {
			const percent = Math.min(100, Math.floor((100 * (performance.now() - startedAt)) / (durationMs ?? startupMs)));
			return [task, run, '', percent, 0];
		});
	}

	const handlers = {
		hold({DeadlineMs, LastSeen = 0, WaitMs = 0}, reply) {
			extendLease(DeadlineMs);
			ends = ends.filter(([number]) => number > LastSeen);
			const answer = () => {
				clearTimeout(timer);
				holds.delete(answer);
				if (!isUp) {
					return;
				}

				reply(200, {Running: getRows(), Ended: ends.slice(0, 500)});
			};

			const timer = setTimeout(answer, ends.length > 0 ? 0 : WaitMs);
			holds.add(answer);
		},
		'run-start'({Task, Run, Spec, DeadlineMs}, reply) {
			extendLease(DeadlineMs);
			const step = getStep(Task);
			if (runs.get(Task)?.run === Run) {
				reply(200, {});
				return;
			}

			if (getClock() >= DeadlineMs) {
				reply(409, {Reason: 'late'});
				return;
			}

			if (runs.has(Task) || Run <= (highestRuns.get(Task) ?? 0)) {
				reply(409, {Reason: 'old'});
				return;
			}

			const use = computeUse();
			if (isGuarding && (use.cpu + (step.Cpu ?? 0) > capacity.Cpu || use.memory + (step.MemMb ?? 0) > capacity.MemMb)) {
				reply(409, {Reason: 'room'});
				return;
			}

			const durationMs = step.LongRunning === true ? undefined : Number(/ms=(?<ms>\d+)/v.exec(Spec)?.groups.ms ?? 800);
			const run = {
				run: Run, step, startedAt: performance.now(), durationMs,
			};
			runs.set(Task, run);
			if (durationMs !== undefined) {
				run.timer = setTimeout(() => {
					endRun(Task, 'done');
				}, durationMs);
			}

			const {cpu, memory} = computeUse();
			record('start', {
				worker: id, task: Task, run: Run, token, cpu, memory,
			});
			reply(200, {});
		},
		'run-stop'({Task, Run}, reply) {
			const run = runs.get(Task);
			highestRuns.set(Task, Math.max(highestRuns.get(Task) ?? 0, Run));
			if (run !== undefined && run.run <= Run && run.isStopping !== true) {
				run.isStopping = true;
				record('stop', {worker: id, task: Task, run: run.run});
				setTimeout(() => {
					if (runs.get(Task) === run) {
						endRun(Task, 'stopped');
					}
				}, stopMs);
			}

			reply(200, {});
		},
		pace(_body, reply) {
			reply(200, {});
		},
	};

	function carryOut(name, body, reply) {
		if (body.FencingToken < token) {
			reply(409, {Reason: 'fence'});
			return;
		}

		token = body.FencingToken;
		handlers[name](body, reply);
	}

	async function handleRequest(message, response) {
		if (!isUp) {
			return;
		}

		const name = message.url.split('/').at(-1);
		if (name === 'healthz') {
			sendJson(response, 200, {});
			return;
		}

		const body = await readJson(message);
		const reply = (status, fields) => {
			sendJson(response, status, {ClockMs: getClock(), born, ...fields});
		};

		if (message.headers['pistachiogauge-expect-instance'] !== id) {
			reply(421, {});
			return;
		}

		const fate = mayAnswer({worker: id, order: name, token: body.FencingToken ?? 0});
		if (fate === 'answer') {
			carryOut(name, body, reply);
			return;
		}

		record('unanswered', {
			worker: id, order: name, task: body.Task, run: body.Run, fate,
		});
		if (fate === 'late') {
			setTimeout(() => {
				if (isUp) {
					carryOut(name, body, status => {
						record('late', {
							worker: id, order: name, task: body.Task, run: body.Run, status,
						});
					});
				}
			}, lateMs());
		}
	}

	const server = createServer((message, response) => {
		handleRequest(message, response).catch(() => {
			response.destroy();
		});
	});

	function report() {
		seq += 1;
		store.write(`servers/${id}`, {
			Service: service, Address: address, Zone: zone, Version: 'v1', Slots: 8, State: 'ready', ColdRemainingMs: 0,
			Capacity: {...capacity, Gpu: 0}, Labels: labels, ClockMs: getClock(), Seq: seq, born,
		});
	}

	return {
		id,
		runs,
		computeUse,
		isUp: () => isUp,
		async start() {
			await new Promise(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			address = `127.0.0.1:${server.address().port}`;
			report();
			beat = setInterval(report, heartbeatMs);
		},
		/** Crashes for good; the entry in the store goes after three missed status reports. A dark one resets no connection, it is only silent. */
		crash({isDark = false} = {}) {
			isUp = false;
			clearInterval(beat);
			clearTimeout(leaseTimer);
			record('crash', {worker: id, isDark, running: [...runs.keys()]});
			for (const {timer} of runs.values()) {
				clearTimeout(timer);
			}

			runs.clear();
			if (!isDark) {
				server.close();
				server.closeAllConnections();
			}

			setTimeout(() => {
				store.erase(`servers/${id}`);
			}, 3 * heartbeatMs).unref();
		},
		close() {
			isUp = false;
			clearInterval(beat);
			clearTimeout(leaseTimer);
			for (const {timer} of runs.values()) {
				clearTimeout(timer);
			}

			server.close();
			server.closeAllConnections();
		},
		getMachine: () => ({
			Machine: `m-${id}`, Pool: service, State: isUp ? 'up' : 'down', Zone: zone, Labels: labels, Capacity: {...capacity, Gpu: 0}, Id: isUp ? id : undefined,
		}),
	};
}
