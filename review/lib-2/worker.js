import {startJsonServer} from './json-server.js';

const heartbeatMs = 1500;
const holdMaxMs = 10_000;

const maxWaitMs = 2000;
const startupMs = 300;
const endPageSize = 500;
/** Clock of a worker that has been up for some minutes when the case begins. */
const longRunningClockMs = 480_000;

/**
Stand-in for a worker. It carries out orders at once.

@param findTask - Returns what a work item takes (`cpu`, `memMb`) and how long it runs (`durationMs`, undefined for one that lasts), by its name.
@param gangs - What the workers share about gangs, if there are any; `findTask` then returns `gangSize` for a member of one.
@param observe - Called with what the worker sees: starts, ends, rejections.
@param chooseFault - Called for each order; returns `undefined` for one that is carried out and answered at once, or `{lateMs}` for one that is not answered and carried out after that time.
*/
export async function startWorker({id, service, rack, capacity, isGuarding = true, stopMs = 300, store, findTask, observe, gangs, chooseFault = () => undefined}) {
	const runs = new Map();
	const highestRuns = new Map();
	const watchers = new Set();
	let createdAt = performance.now();
	let born = Date.now();
	let ends = [];
	let endCount = 0;
	let leaseUntil = 0;
	let leaseTimer;
	let highestToken = 0;
	let seq = 0;
	let state = 'ready';
	let isClosed = false;
	let isDown = false;
	let lookedAt = 0;
	let isCut = false;
	let firstClockMs = longRunningClockMs;
	const getClock = () => Math.floor(performance.now() - createdAt) + firstClockMs;

	function end(task, how) {
		const run = runs.get(task);
		if (run === undefined) {
			return;
		}

		clearTimeout(run.timer);
		runs.delete(task);
		highestRuns.set(task, Math.max(highestRuns.get(task) ?? 0, run.run));
		endCount += 1;
		ends.push([endCount, task, run.run, how, '']);
		observe({
			kind: 'ended', worker: id, service, task, run: run.run, how,
		});
		gangs?.leave({task, run: run.run, how});
		for (const notify of watchers) {
			notify();
		}
	}

	function checkLease() {
		const leftMs = leaseUntil - getClock();
		if (leftMs > 0) {
			leaseTimer = setTimeout(checkLease, leftMs + 1);
			return;
		}

		for (const task of runs.keys()) {
			end(task, 'lapsed');
		}
	}

	function extendLease(deadlineMs) {
		const limited = Math.min(deadlineMs, getClock() + holdMaxMs);
		if (limited > leaseUntil) {
			leaseUntil = limited;
			clearTimeout(leaseTimer);
			checkLease();
		}
	}

	function isOver(task) {
		const all = [findTask(task), ...[...runs.keys()].map(name => findTask(name))];
		return all.reduce((sum, {cpu}) => sum + cpu, 0) > capacity.cpu || all.reduce((sum, {memMb}) => sum + memMb, 0) > capacity.memMb;
	}

	function start({Task: task, Run: run, Spec: spec, DeadlineMs: deadlineMs}) {
		if (runs.get(task)?.run === run) {
			return undefined;
		}

		if (runs.has(task) || run <= (highestRuns.get(task) ?? 0)) {
			return 'old';
		}

		if (getClock() >= deadlineMs) {
			return 'late';
		}

		if (isGuarding && isOver(task)) {
			return 'room';
		}

		const {durationMs, gangSize} = findTask(task);
		runs.set(task, {
			run,
			startedAt: performance.now(),
			durationMs,
			isStopping: false,
			timer: durationMs === undefined || gangSize !== undefined ? undefined : setTimeout(end, durationMs, task, 'done'),
		});
		observe({
			kind: 'started', worker: id, service, task, run, spec,
		});
		if (gangSize !== undefined) {
			gangs.join({
				task, run, size: gangSize, durationMs,
				end(how) {
					if (runs.get(task)?.run === run) {
						end(task, how);
					}
				},
			});
		}

		return undefined;
	}

	function listRunning() {
		return [...runs].map(([task, {run, startedAt, durationMs}]) => [task, run, '', Math.min(100, Math.floor((100 * (performance.now() - startedAt)) / (durationMs ?? startupMs))), 0]);
	}

	const handlers = {
		hold(body, reply) {
			extendLease(Number(body.DeadlineMs ?? 0));
			ends = ends.filter(([number]) => number > Number(body.LastSeen ?? 0));
			const answer = () => {
				clearTimeout(timer);
				watchers.delete(answer);
				lookedAt = performance.now();
				reply(200, {Running: listRunning(), Ended: ends.slice(0, endPageSize)});
			};

			const timer = setTimeout(answer, ends.length > 0 ? 0 : Math.min(Number(body.WaitMs ?? 0), maxWaitMs));
			watchers.add(answer);
		},
		'run-start'(body, reply) {
			const reason = start(body);
			if (reason !== 'late') {
				extendLease(Number(body.DeadlineMs));
			}

			if (reason !== undefined) {
				observe({
					kind: 'rejected', worker: id, service, task: body.Task, run: body.Run, reason,
				});
			}

			reply(reason === undefined ? 200 : 409, reason === undefined ? {} : {Reason: reason});
		},
		'run-stop'(body, reply) {
			const run = runs.get(body.Task);
			highestRuns.set(body.Task, Math.max(highestRuns.get(body.Task) ?? 0, body.Run));
			if (run !== undefined && run.run <= body.Run && !run.isStopping) {
				run.isStopping = true;
				setTimeout(end, stopMs, body.Task, 'stopped');
			}

			reply(200);
		},
		pace(_body, reply) {
			reply(200);
		},
	};

	/** Carries an order out at the process that is there now. */
	function carryOut(call, isAnswered) {
		if (isDown) {
			return;
		}

		const process = born;
		const token = Number(call.body.FencingToken ?? 0);
		const reply = (status, fields = {}) => {
			if (isAnswered && !isClosed && !isDown && !isCut && process === born) {
				call.answer(status, {ClockMs: getClock(), born, ...fields});
			}
		};

		const handle = handlers[call.path[0]];
		if (handle === undefined) {
			reply(400);
			return;
		}

		if (token < highestToken) {
			reply(409, {Reason: 'fence'});
			return;
		}

		highestToken = token;
		handle(call.body, reply);
	}

	const server = await startJsonServer(call => {
		if (isCut || isDown) {
			return;
		}

		if (call.headers['pistachiogauge-expect-instance'] !== id) {
			call.answer(421);
			return;
		}

		const fault = chooseFault(call.path[0], call.body);
		if (fault === undefined) {
			carryOut(call, true);
			return;
		}

		observe({
			kind: `order ${call.path[0]} without an answer, to be carried out after ${fault.lateMs} ms:`, worker: id, service, task: call.body.Task, run: call.body.Run,
		});
		setTimeout(carryOut, fault.lateMs, call, false);
	});

	function report() {
		if (isCut || isDown) {
			return;
		}

		seq += 1;
		store.write(`servers/${id}`, {
			Service: service, Address: server.address, Zone: 'zone-a', Version: 'v1', Slots: 8, State: state, ColdRemainingMs: 0,
			Capacity: {Cpu: capacity.cpu, MemMb: capacity.memMb, Gpu: 0}, Labels: ['a', rack], ClockMs: getClock(), Seq: seq, born,
		});
	}

	report();
	const beat = setInterval(report, heartbeatMs);
	return {
		id,
		service,
		listRunning: () => [...runs.keys()],
		countRuns: () => runs.size,
		/** Ends all that runs, without a trace, as when the machine is moved or has its upkeep. */
		leave() {
			isClosed = true;
			clearInterval(beat);
			clearTimeout(leaseTimer);
			for (const [task, {run, timer}] of runs) {
				clearTimeout(timer);
				observe({
					kind: 'cut off', worker: id, service, task, run,
				});
			}

			runs.clear();
			server.close();
			setTimeout(() => {
				store.erase(`servers/${id}`);
			}, 3 * heartbeatMs);
		},
		/** When it answered the last look, in monotonic ms. */
		getLookedAt: () => lookedAt,
		/** Neither hears nor says anything, and runs on. */
		cut() {
			isCut = true;
		},
		heal() {
			isCut = false;
			report();
		},
		crash() {
			isDown = true;
			clearTimeout(leaseTimer);
			for (const [task, {run, timer}] of runs) {
				clearTimeout(timer);
				observe({
					kind: 'lost with its worker', worker: id, service, task, run,
				});
			}

			runs.clear();
		},
		/** Starts again under its id; it knows nothing of before, and its counts and its clock start anew. */
		restart() {
			createdAt = performance.now();
			firstClockMs = 0;
			born = Math.max(Date.now(), born + 1);
			highestRuns.clear();
			watchers.clear();
			ends = [];
			endCount = 0;
			leaseUntil = 0;
			highestToken = 0;
			seq = 0;
			isDown = false;
			report();
		},
		drain() {
			state = 'draining';
			report();
		},
		close() {
			isClosed = true;
			clearInterval(beat);
			clearTimeout(leaseTimer);
			for (const {timer} of runs.values()) {
				clearTimeout(timer);
			}

			server.close();
		},
	};
}
