import {createRandomSource} from '@pistachiogauge/chain';
import {expect, it} from 'vitest';
import {applyJobEvent} from '../apply-job-event.js';
import {createJobsState} from '../jobs-state.js';
import {type JobEvent} from '../model/index.js';
import {createTestMachine} from '../testing.test-support.js';

const context = {now: 0, wallTime: 0, random: createRandomSource(1)};
const acquired: JobEvent = {
	kind: 'fleet-acquired', token: 7, previousToken: 6, isSameEntry: false,
};

/** Answers a request for the list of machines that was sent at a time in ms; the machine is in maintenance from 1 s on. */
function answerList(requestedAt: number): JobEvent {
	return {kind: 'machines-listed', requestedAt, machines: [createTestMachine('desk-1', 'desk', {state: requestedAt < 1000 ? 'up' : 'maintenance'})]};
}

// Guards against maintenance beyond a wave's limit, by a slow list of several pages that shows a machine as up after a later list has shown it in maintenance.
const cases: ReadonlyArray<{readonly name: string; readonly events: readonly JobEvent[]; readonly state: 'up' | 'maintenance' | undefined; readonly validAt: number | undefined}> = [
	{
		name: 'the first of two lists arrives last', events: [answerList(1500), answerList(0)], state: 'maintenance', validAt: 1500,
	},
	{
		name: 'the lists arrive in order', events: [answerList(0), answerList(1500)], state: 'maintenance', validAt: 1500,
	},
	{
		name: 'the later list fails', events: [{kind: 'machine-list-failed', requestedAt: 1500}, answerList(0)], state: 'up', validAt: 0,
	},
	{
		name: 'the claim is lost between the two lists', events: [answerList(0), {kind: 'fleet-lost'}, acquired, answerList(1500)], state: 'maintenance', validAt: 1500,
	},
	{
		name: 'the first list arrives after the claim was lost', events: [{kind: 'fleet-lost'}, answerList(0), acquired], state: undefined, validAt: undefined,
	},
];

it.each(cases)('the fleet knows its machines by the latest list when $name', ({events, state, validAt}) => {
	const {fleet, ...others} = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	for (const event of [acquired, ...events]) {
		applyJobEvent({fleet, ...others}, event, context);
	}

	expect(fleet.machines.get('desk-1')?.state).toBe(state);
	expect(fleet.listValidAt).toBe(validAt);
});
