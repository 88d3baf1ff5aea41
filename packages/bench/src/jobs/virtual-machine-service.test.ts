import {expect, it} from 'vitest';
import {createJobsSimulation} from './jobs-simulation.js';
import {sparePool, type VirtualMoveOutcome} from './virtual-machine-service.js';

type Case = {readonly outcome: VirtualMoveOutcome; readonly answer: string | undefined; readonly pool: string};

const cases: readonly Case[] = [
	{outcome: 'carried-out', answer: 'accepted', pool: 'desk'},
	{outcome: 'answer-lost', answer: undefined, pool: 'desk'},
	{outcome: 'unanswered', answer: undefined, pool: sparePool},
	{outcome: 'limited', answer: 'limited', pool: sparePool},
	{outcome: 'busy', answer: 'busy', pool: sparePool},
];

it.each(cases)('an order to move a machine that is switched off: $outcome', ({outcome, answer, pool}) => {
	const simulation = createJobsSimulation({
		seed: 5, entryCount: 1, pools: {desk: 2}, endpointCapacity: {cpuMillis: 16_000, memoryMb: 64_000, gpus: 0}, spareMachineCount: 1,
	});
	const {machineService} = simulation;
	machineService.outcome = outcome;
	const result = machineService.moveMachine('spare-1', 'desk');
	const hasMoved = pool !== sparePool;
	const during = machineService.listMachines().find(({name}) => name === 'spare-1');
	machineService.outcome = 'limited';
	simulation.runFor(1600);
	const after = machineService.listMachines().find(({name}) => name === 'spare-1');
	expect([result, during?.state, after?.pool, after?.state, after?.endpointId !== undefined]).toEqual([answer, hasMoved ? 'moving' : 'up', pool, 'up', hasMoved]);
});
