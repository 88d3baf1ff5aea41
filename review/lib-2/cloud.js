import {startJsonServer} from './json-server.js';

/**
Stand-in for the platform's machine service. It carries out what it accepts at once.

@param machines - Rows of `machine`, `pool` and `endpointId`, which is undefined for a machine that is off.
@param onLeft - Called with the id of the worker that ends when its machine is moved or has its upkeep.
@param onJoined - Called with the machine and its pool when it is up again; returns the id of its new worker, or undefined in the spare pool.
@param chooseFault - Called for each order; returns `undefined` for one that is carried out and answered at once, `{status}` for one that is refused, or `{lateMs}` for one that is not answered and carried out after that time.
*/
export async function startCloud({machines: rows, pools, capacity, store, isFencing = false, moveMs = 1500, upkeepMs = 2000, onLeft = () => undefined, onJoined = async () => undefined, observe = () => undefined, chooseFault = () => undefined}) {
	const machines = new Map(rows.map(({machine, pool, endpointId}) => [machine, {
		pool, state: 'up', endpointId, fence: 0, wavesDone: new Set(), wave: undefined,
	}]));

	function takeDown(name, machine, changes, durationMs) {
		if (machine.endpointId !== undefined) {
			onLeft(machine.endpointId);
		}

		Object.assign(machine, {endpointId: undefined, ...changes});
		setTimeout(async () => {
			const endpointId = await onJoined(name, machine.pool);
			Object.assign(machine, {state: 'up', endpointId, wave: undefined});
			observe({kind: 'up', machine: name});
		}, durationMs).unref();
	}

	const orders = {
		'machine-move'(name, machine, {Pool: pool}) {
			if (!pools.includes(pool)) {
				return [400];
			}

			if (machine.pool === pool) {
				return [200];
			}

			if (machine.state !== 'up') {
				return [409, {Reason: 'busy'}];
			}

			takeDown(name, machine, {pool, state: 'moving'}, moveMs);
			return [200];
		},
		'machine-upkeep'(name, machine, {Wave: wave}) {
			const declared = store.read(`op/wave/${wave}`);
			if (declared?.Machines.includes(name) !== true) {
				return [409, {Reason: 'wave'}];
			}

			if (machine.wavesDone.has(wave)) {
				return [200];
			}

			if (machine.state !== 'up') {
				return [409, {Reason: 'busy'}];
			}

			const downCount = [...machines.values()].filter(other => other.wave === wave).length;
			observe({
				kind: 'upkeep', machine: name, wave, downCount, cap: declared.Cap,
			});
			machine.wavesDone.add(wave);
			takeDown(name, machine, {state: 'upkeep', wave}, upkeepMs);
			return [200];
		},
	};

	function carryOut(call) {
		const [order] = call.path;
		const name = call.body.Machine;
		const machine = machines.get(name);
		const fence = Number(call.headers['pistachiogauge-fencing-token'] ?? 0);
		const holder = call.headers['pistachiogauge-duty-holder'];
		if (machine === undefined) {
			call.answer(400);
			return;
		}

		if (isFencing && fence < machine.fence) {
			observe({
				kind: 'fenced', machine: name, order, holder, fence,
			});
			call.answer(409, {Reason: 'fence'});
			return;
		}

		machine.fence = Math.max(machine.fence, fence);
		const [status, body] = orders[order](name, machine, call.body);
		observe({
			kind: 'order', order, machine: name, holder, fence, status, ...body,
		});
		call.answer(status, body);
	}

	const server = await startJsonServer(call => {
		if (call.path[0] === 'machines') {
			call.answer(200, {
				Machines: [...machines].map(([name, {pool, state, endpointId}]) => ({
					Machine: name, Pool: pool, State: state, Zone: 'zone-a', Labels: ['a', 'r1-1'], Capacity: {Cpu: capacity.cpu, MemMb: capacity.memMb, Gpu: 0}, Id: endpointId ?? '',
				})),
				NextToken: '',
			});
			return;
		}

		if (orders[call.path[0]] === undefined) {
			call.answer(400);
			return;
		}

		const fault = chooseFault(call.path[0], call.body);
		if (fault === undefined) {
			carryOut(call);
			return;
		}

		if (fault.status !== undefined) {
			observe({
				kind: 'refused', order: call.path[0], machine: call.body.Machine, status: fault.status,
			});
			call.answer(fault.status);
			return;
		}

		observe({
			kind: 'order without an answer', order: call.path[0], machine: call.body.Machine, lateMs: fault.lateMs,
		});
		setTimeout(carryOut, fault.lateMs, {...call, answer: () => undefined}).unref();
	});
	return {address: server.address, close: server.close, machines};
}
