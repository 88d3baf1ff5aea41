import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {createAccountPlanner} from './account-planner.js';

const capacity = {cpuMillis: 24_000, memoryMb: 64_000, gpus: 0};
const cases = [1, 2, 3, 4, 5, 6].map(seed => ({seed, changeCount: 100}));

describe('createAccountPlanner', () => {
	// Guards against cancellations at the end of a run with a key that counts for another account, which leave their jobs waiting.
	it.each(cases)('chooses a key that counts for its account after $changeCount changes of seed $seed', ({seed, changeCount}) => {
		const planner = createAccountPlanner({random: createRandomSource(seed), capacity});
		for (let count = 0; count < changeCount; count++) {
			planner.change();
		}

		planner.restore();
		const names = planner.accounts.flatMap(({name}) => Array.from({length: 10}, () => name));
		expect(names.map(name => planner.findOwner(planner.chooseValidKeyOf(name)))).toEqual(names);
	});
});
